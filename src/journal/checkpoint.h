/** \file
 * Defines how a snapshot is cut into journal records and put together again.
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

/** Cuts a snapshot into chunks.
 * \param id tells the chunks of one checkpoint from those of others.
 * \param chunk_bytes the most that one chunk carries.
 * \return the chunks in order; at least one.
 */
std::vector<schema::checkpoint_chunk> split_snapshot(const schema::state_snapshot& snapshot,
                                                     const std::string& id,
                                                     std::size_t chunk_bytes);

/** Puts chunks together, in any order and with second copies, while several writers interleave. */
class checkpoint_assembler {
  public:
    /** Takes one chunk.
     * \return the snapshot, when this chunk was the last one missing.
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
