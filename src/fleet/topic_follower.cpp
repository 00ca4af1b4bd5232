/** \file
 * Implements topic_follower.
 */
#include "fleet/topic_follower.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace chervildyke {

namespace {

const event_log follower_log("follower");

} // namespace

topic_follower::topic_follower(shared_log log, std::string topic, topic_hooks hooks)
    : log_(std::move(log)), topic_(std::move(topic)), hooks_(std::move(hooks))
{
}

std::optional<duration> topic_follower::age() const
{
    if (!confirmed_at_) {
        return std::nullopt;
    }
    return time_since_boot() - *confirmed_at_;
}

boost::asio::awaitable<bool> topic_follower::load()
{
    const duration requested_at = time_since_boot();
    auto newest = co_await log_.read_latest(topic_);
    if (!newest) {
        follower_log.write(
            "read_failed",
            {{"topic", topic_}, {"call", "newest"}, {"reason", newest.failure().reason}});
        hooks_.outage();
        co_return false;
    }
    // An outdated answer must not move the follower back before what it has applied.
    if (newest->next_offset < next_offset_) {
        follower_log.write("read_failed", {{"topic", topic_},
                                           {"call", "newest"},
                                           {"reason", "the log ends before what was read"}});
        co_return false;
    }
    hooks_.replace(*newest);
    next_offset_ = newest->next_offset;
    confirmed_at_ = requested_at;
    loaded_ = true;
    follower_log.write("topic_loaded", {{"topic", topic_},
                                        {"records", std::to_string(newest->records.size())},
                                        {"next_offset", std::to_string(next_offset_)}});
    co_return true;
}

bool topic_follower::apply_records(const keyed_records& records)
{
    if (!loaded_) {
        return false;
    }
    keyed_records new_records;
    for (const keyed_record& record : records.records) {
        if (record.offset < next_offset_ + new_records.records.size()) {
            continue;
        }
        if (record.offset > next_offset_ + new_records.records.size()) {
            return false;
        }
        new_records.records.push_back(record);
    }
    if (!new_records.records.empty()) {
        new_records.next_offset = next_offset_ + new_records.records.size();
        next_offset_ = new_records.next_offset;
        hooks_.apply(new_records);
    }
    return true;
}

void topic_follower::confirm(std::uint64_t end, duration age)
{
    if (!loaded_ || next_offset_ < end) {
        return;
    }
    const duration read_at = time_since_boot() - age;
    confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, read_at) : read_at;
}

boost::asio::awaitable<bool> topic_follower::read_once(duration wait)
{
    if (!loaded_) {
        co_return co_await load();
    }
    const duration requested_at = time_since_boot();
    auto read = co_await log_.read(topic_, next_offset_, wait);
    if (!read) {
        const shared_log_failure& failed = read.failure();
        if (failed.code == shared_log_error::trimmed) {
            follower_log.write("topic_trimmed",
                               {{"topic", topic_}, {"next_offset", std::to_string(next_offset_)}});
            loaded_ = false;
            co_return co_await load();
        }
        if (!last_read_failed_) {
            follower_log.write("store_lost", {{"topic", topic_}, {"reason", failed.reason}});
        }
        last_read_failed_ = true;
        hooks_.outage();
        co_return false;
    }
    if (last_read_failed_) {
        follower_log.write("store_regained", {{"topic", topic_}});
        last_read_failed_ = false;
    }
    // The log returns no record only if none was appended during the whole wait.
    const bool waited = read->records.empty() && time_since_boot() - requested_at >= wait;
    confirmed_at_ = waited ? requested_at + wait : requested_at;
    co_return apply_records(*read); // Records from peers may have been applied during the read.
}

} // namespace chervildyke
