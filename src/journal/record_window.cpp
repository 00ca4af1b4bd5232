/** \file
 * Implements the window of the newest raw records.
 */
#include "journal/record_window.h"

#include <algorithm>

namespace chervildyke {

namespace {

constexpr std::size_t max_batch_bytes = 1U << 20U;
constexpr std::uint32_t max_batch_records = 1024;

} // namespace

void record_window::reset(log_offset covered)
{
    records_.clear();
    bytes_ = 0;
    first_ = covered + 1;
    next_ = covered + 1;
}

void record_window::push(log_offset offset, std::string payload)
{
    bytes_ += payload.size();
    records_.push_back({offset, std::move(payload), 0});
    next_ = offset + 1;
    while (records_.size() > max_records_ || bytes_ > max_bytes_) {
        bytes_ -= records_.front().payload.size();
        first_ = records_.front().offset + 1;
        records_.pop_front();
    }
}

schema::record_batch record_window::read(const schema::record_request& request) const
{
    schema::record_batch batch;
    batch.set_next_offset(next_);
    batch.set_gap(request.from_offset() < first_);
    if (batch.gap()) {
        return batch;
    }
    const std::uint32_t limit =
        request.limit() == 0 ? max_batch_records : std::min(request.limit(), max_batch_records);
    std::size_t bytes = 0;
    for (const log_record& record : records_) {
        if (record.offset < request.from_offset()) {
            continue;
        }
        const bool full = static_cast<std::uint32_t>(batch.records_size()) == limit;
        if (full || (bytes > 0 && bytes + record.payload.size() > max_batch_bytes)) {
            batch.set_next_offset(record.offset);
            break;
        }
        bytes += record.payload.size();
        schema::placed_record* placed = batch.add_records();
        placed->set_offset(record.offset);
        placed->set_payload(record.payload);
    }
    return batch;
}

} // namespace chervildyke
