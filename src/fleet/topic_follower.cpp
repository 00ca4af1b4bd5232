/** \file
 * Implements topic_follower.
 */
#include "fleet/topic_follower.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/milliseconds.h"

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

/** Logs a read whose answer can't be used.
 * \return false, the result of the read.
 */
bool topic_follower::fail_read(const char* call, const std::string& reason)
{
    last_read_failed_ = true;
    follower_log.write("read_failed", {{"topic", topic_}, {"call", call}, {"reason", reason}});
    return false;
}

/** Logs a read that the log could delay. One that returns records although it took the whole wait
 * was not ended by the append of these records.
 */
void topic_follower::log_long_poll(std::uint64_t from, const keyed_records& read, duration wait,
                                   duration took) const
{
    const bool late = !read.records.empty() && took >= wait;
    follower_log.write("long_poll_ended", {{"topic", topic_},
                                           {"from", std::to_string(from)},
                                           {"records", std::to_string(read.records.size())},
                                           {"wait_ms", to_ms_text(wait)},
                                           {"took_ms", to_ms_text(took)},
                                           {"late", late ? "yes" : "no"}});
}

void topic_follower::note_success()
{
    if (last_read_failed_) {
        follower_log.write("store_regained", {{"topic", topic_}});
        last_read_failed_ = false;
    }
}

bool topic_follower::note_era(std::uint64_t era)
{
    if (era <= newest_era_) {
        return false;
    }
    newest_era_ = era;
    loaded_ = false;
    return true;
}

boost::asio::awaitable<bool> topic_follower::load()
{
    const duration requested_at = time_since_boot();
    auto newest = co_await log_.read_latest(topic_);
    if (!newest) {
        hooks_.outage(monotonic_clock::now());
        co_return fail_read("newest", newest.failure().reason);
    }
    // An outdated answer must not move the follower back before what it has applied.
    if (newest->end() < position_ || newest->era < newest_era_) {
        co_return fail_read("newest", "the log ends before what was read");
    }
    newest_era_ = newest->era;
    if (newest->era != position_.era && confirmed_at_) {
        follower_log.write("era_began", {{"topic", topic_},
                                         {"era", std::to_string(newest->era)},
                                         {"next_offset", std::to_string(newest->next_offset)},
                                         {"era_before", std::to_string(position_.era)},
                                         {"offset_before", std::to_string(position_.offset)}});
    }
    hooks_.replace(*newest);
    position_ = newest->end();
    confirmed_at_ = requested_at;
    loaded_ = true;
    note_success();
    follower_log.write("topic_loaded", {{"topic", topic_},
                                        {"records", std::to_string(newest->records.size())},
                                        {"era", std::to_string(position_.era)},
                                        {"next_offset", std::to_string(position_.offset)}});
    co_return true;
}

bool topic_follower::apply_records(const keyed_records& records)
{
    if (!loaded_ || records.era > position_.era) {
        return false;
    }
    if (records.era < position_.era) {
        return true;
    }
    keyed_records new_records;
    for (const keyed_record& record : records.records) {
        const std::uint64_t expected = position_.offset + new_records.records.size();
        if (record.offset < expected) {
            continue;
        }
        if (record.offset > expected) {
            return false;
        }
        new_records.records.push_back(record);
    }
    if (!new_records.records.empty()) {
        position_.offset += new_records.records.size();
        new_records.next_offset = position_.offset;
        new_records.era = position_.era;
        hooks_.apply(new_records);
    }
    return true;
}

void topic_follower::confirm(log_position end, duration age)
{
    if (!loaded_ || end.era != position_.era || position_.offset < end.offset) {
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
    // After an outage the log may end where it did before, in another era: it would delay its
    // answer.
    wait = last_read_failed_ ? duration::zero() : wait;
    const duration requested_at = time_since_boot();
    const time_point due = monotonic_clock::now() + wait;
    const std::uint64_t from = position_.offset;
    auto read = co_await log_.read(topic_, from, wait);
    if (read && wait > duration::zero()) {
        log_long_poll(from, *read, wait, time_since_boot() - requested_at);
    }
    if (!read) {
        const shared_log_failure& failed = read.failure();
        if (failed.code == shared_log_error::trimmed) {
            follower_log.write(
                "topic_trimmed",
                {{"topic", topic_}, {"next_offset", std::to_string(position_.offset)}});
            loaded_ = false;
            co_return co_await load();
        }
        if (!last_read_failed_) {
            follower_log.write("store_lost", {{"topic", topic_}, {"reason", failed.reason}});
        }
        last_read_failed_ = true;
        const time_point now = monotonic_clock::now();
        hooks_.outage(wait > duration::zero() ? std::min(due, now) : now);
        co_return false;
    }
    if (read->era < newest_era_) {
        co_return fail_read("read", "the answer is from an earlier era");
    }
    note_success();
    // A restored log may have grown past the position: its records there are not the next ones of
    // what was read.
    note_era(read->era);
    if (!loaded_) { // A peer may have shown the new era during the read.
        co_return co_await load();
    }
    // The log returns no record only if none was appended during the whole wait.
    const bool waited = read->records.empty() && time_since_boot() - requested_at >= wait;
    const duration confirmed_at = waited ? requested_at + wait : requested_at;
    // A read that began later may have ended before this one.
    confirmed_at_ = std::max(confirmed_at_.value_or(confirmed_at), confirmed_at);
    co_return apply_records(*read); // Records from peers may have been applied during the read.
}

} // namespace chervildyke
