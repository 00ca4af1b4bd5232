/** \file
 * Implements recent_records.
 */
#include "relay/recent_records.h"

#include <algorithm>

#include <boost/range/adaptor/reversed.hpp>

namespace chervildyke {

namespace {

// Keys and values in one message to a peer. A datagram carries 64 KB; a node's link has 20 Mbit/s.
constexpr std::size_t max_bytes = 8192;

} // namespace

void recent_records::add(const keyed_records& records, time_point now)
{
    if (records.era != era_) {
        records_.clear();
        era_ = records.era;
    }
    for (const keyed_record& record : records.records) {
        records_.emplace_back(now, record);
    }
    while (!records_.empty() && now - records_.front().first > keep_for_) {
        records_.pop_front();
    }
}

std::vector<keyed_record> recent_records::at(time_point now, std::uint64_t era) const
{
    std::vector<keyed_record> newest;
    if (era != era_) {
        return newest;
    }
    std::size_t bytes = 0;
    for (const auto& [added_at, record] : boost::adaptors::reverse(records_)) {
        bytes += record.key.size() + (record.value ? record.value->size() : 0);
        if (now - added_at > keep_for_ || bytes > max_bytes) {
            break;
        }
        newest.push_back(record);
    }
    std::reverse(newest.begin(), newest.end());
    return newest;
}

} // namespace chervildyke
