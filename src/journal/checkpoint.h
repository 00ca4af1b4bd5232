/** \file
 * Defines how a state snapshot is split into checkpoint chunks and reassembled from them.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "external/log_client.h"
#include "journal.pb.h"

namespace chervildyke {

/** Splits a serialized snapshot into chunks.
 * \param snapshot the state to write.
 * \param id identifies the checkpoint that each chunk belongs to.
 * \param chunk_bytes the maximum payload of one chunk.
 * \return the chunks in order; at least one.
 */
std::vector<schema::checkpoint_chunk> split_snapshot(const schema::state_snapshot& snapshot,
                                                     const std::string& id,
                                                     std::size_t chunk_bytes);

/** Reassembles snapshots from chunks. Chunks may arrive in any order, may be duplicated, and may be
 * interleaved with the chunks of other checkpoints.
 */
class checkpoint_assembler {
  public:
    /** Adds one chunk.
     * \return the snapshot, when this chunk was the last one missing and the snapshot can be
     * parsed.
     */
    std::optional<schema::state_snapshot> add(const schema::checkpoint_chunk& chunk);

  private:
    struct partial {
        std::string id;
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    partial& find_or_start(const schema::checkpoint_chunk& chunk);

    std::deque<partial> partials_;
};

} // namespace chervildyke
