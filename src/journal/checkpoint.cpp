/** \file
 * Implements the splitting and the reassembly of checkpoints.
 */
#include "journal/checkpoint.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t max_partials = 8;    // Checkpoints in assembly; the oldest one is dropped.
constexpr std::uint32_t max_chunks = 4096; // Chunks in one checkpoint.

} // namespace

std::vector<schema::checkpoint_chunk> split_snapshot(const schema::state_snapshot& snapshot,
                                                     const std::string& id, std::size_t chunk_bytes)
{
    const std::string bytes = snapshot.SerializeAsString();
    const std::size_t count =
        std::max<std::size_t>(1, (bytes.size() + chunk_bytes - 1) / chunk_bytes);
    std::vector<schema::checkpoint_chunk> chunks(count);
    for (std::size_t i = 0; i < count; ++i) {
        chunks[i].set_checkpoint_id(id);
        chunks[i].set_index(static_cast<std::uint32_t>(i));
        chunks[i].set_count(static_cast<std::uint32_t>(count));
        chunks[i].set_covers_offset(snapshot.offset());
        chunks[i].set_part(bytes.substr(i * chunk_bytes, chunk_bytes));
    }
    return chunks;
}

checkpoint_assembler::partial&
checkpoint_assembler::find_or_start(const schema::checkpoint_chunk& chunk)
{
    const auto same = [&](const partial& item) { return item.id == chunk.checkpoint_id(); };
    const auto found = std::find_if(partials_.begin(), partials_.end(), same);
    if (found != partials_.end()) {
        return *found;
    }
    if (partials_.size() == max_partials) {
        partials_.pop_front();
    }
    partials_.push_back({chunk.checkpoint_id(), chunk.count(), {}});
    return partials_.back();
}

std::optional<schema::state_snapshot>
checkpoint_assembler::add(const schema::checkpoint_chunk& chunk)
{
    if (chunk.count() == 0 || chunk.count() > max_chunks || chunk.index() >= chunk.count()) {
        return std::nullopt;
    }
    partial& target = find_or_start(chunk);
    if (target.count != chunk.count() ||
        !target.parts.emplace(chunk.index(), chunk.part()).second ||
        target.parts.size() < target.count) {
        return std::nullopt;
    }
    std::string bytes;
    for (const auto& [index, part] : target.parts) {
        bytes += part;
    }
    schema::state_snapshot snapshot;
    const bool readable =
        snapshot.ParseFromString(bytes) && snapshot.offset() == chunk.covers_offset();
    target.parts.clear();
    return readable ? std::optional(std::move(snapshot)) : std::nullopt;
}

} // namespace chervildyke
