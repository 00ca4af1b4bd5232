/** \file
 * Implements topic_follower.
 */
#include "fleet/topic_follower.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/milliseconds.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log follower_log("follower");

} // namespace

topic_follower::topic_follower(shared_log log, std::string topic, topic_hooks hooks)
    : log_(std::move(log)), topic_(std::move(topic)), hooks_(std::move(hooks))
{
}

std::optional<duration> topic_follower::age() const
{
    if (!proof_) {
        return std::nullopt;
    }
    return time_since_boot() - proof_->as_of();
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
    unreached_end_.reset();
    return true;
}

/** Records where the topic ended. The copy is up to date as of then once it has reached that end,
 * also if the topic has grown meanwhile.
 */
void topic_follower::note_end(const observed_end& observed)
{
    if (const auto proof = freshness_proof::make(position_, observed)) {
        renew_proof(*proof);
    }
    else if (!unreached_end_) {
        unreached_end_ = observed;
    }
}

/** Must be called whenever the position has changed. */
void topic_follower::check_unreached_end()
{
    if (!unreached_end_) {
        return;
    }
    if (const auto proof = freshness_proof::make(position_, *unreached_end_)) {
        unreached_end_.reset();
        renew_proof(*proof);
        follower_log.write("unread_records_ended", {{"topic", topic_},
                                                    {"end", std::to_string(position_.offset)},
                                                    {"age_ms", to_ms_text(*age())}});
    }
}

/** A read that began later may have ended before the one of this proof. */
void topic_follower::renew_proof(const freshness_proof& proof)
{
    if (!proof_ || proof.position().era > proof_->position().era ||
        proof.as_of() > proof_->as_of()) {
        proof_ = proof;
    }
}

asio::awaitable<bool> topic_follower::load()
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
    if (newest->era != position_.era && proof_) {
        follower_log.write("era_began", {{"topic", topic_},
                                         {"era", std::to_string(newest->era)},
                                         {"next_offset", std::to_string(newest->next_offset)},
                                         {"era_before", std::to_string(position_.era)},
                                         {"offset_before", std::to_string(position_.offset)}});
    }
    hooks_.replace(*newest);
    position_ = newest->end();
    loaded_ = true;
    unreached_end_.reset();
    note_end({newest->end(), requested_at});
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
        check_unreached_end();
    }
    return true;
}

void topic_follower::confirm(log_position end, duration age)
{
    if (!loaded_) {
        return;
    }
    const observed_end observed{end, time_since_boot() - age, log_observer::peer};
    if (const auto proof = freshness_proof::make(position_, observed)) {
        renew_proof(*proof);
    }
}

/** \param due when the answer was due at the latest.
 * \return true if the whole topic could be read instead.
 */
asio::awaitable<bool> topic_follower::handle_failed_read(shared_log_failure failed, time_point due)
{
    if (failed.code == shared_log_error::trimmed) {
        follower_log.write("topic_trimmed",
                           {{"topic", topic_}, {"next_offset", std::to_string(position_.offset)}});
        loaded_ = false;
        co_return co_await load();
    }
    if (!last_read_failed_) {
        follower_log.write("store_lost", {{"topic", topic_}, {"reason", failed.reason}});
    }
    last_read_failed_ = true;
    hooks_.outage(std::min(due, monotonic_clock::now()));
    co_return false;
}

/** Reads records from the position on, as many as the log puts into one answer. */
asio::awaitable<bool> topic_follower::read_part(duration wait)
{
    const duration requested_at = time_since_boot();
    const time_point due = monotonic_clock::now() + wait;
    const std::uint64_t from = position_.offset;
    auto read = co_await log_.read(topic_, from, wait);
    if (!read) {
        const time_point failed_at = wait > duration::zero() ? due : monotonic_clock::now();
        co_return co_await handle_failed_read(read.failure(), failed_at);
    }
    const keyed_records& records = read->records;
    if (wait > duration::zero()) {
        log_long_poll(from, records, wait, time_since_boot() - requested_at);
    }
    if (records.era < newest_era_) {
        co_return fail_read("read", "the answer is from an earlier era");
    }
    // A restored log may have grown past the position: its records there are not the next ones of
    // what was read.
    note_era(records.era);
    if (!loaded_) { // A peer may have shown the new era during the read.
        co_return co_await load();
    }
    if (read->topic_end < from) {
        co_return fail_read("read", "the log ends before what was read");
    }
    note_success();
    if (records.records.empty() && read->topic_end > from) {
        follower_log.write("records_withheld", {{"topic", topic_},
                                                {"from", std::to_string(from)},
                                                {"topic_end", std::to_string(read->topic_end)}});
        co_return co_await load();
    }
    if (read->topic_end > records.next_offset) {
        follower_log.write("partial_read", {{"topic", topic_},
                                            {"from", std::to_string(from)},
                                            {"next_offset", std::to_string(records.next_offset)},
                                            {"topic_end", std::to_string(read->topic_end)}});
    }
    // The log returns no record only if none was appended during the whole wait.
    const bool waited = records.records.empty() && time_since_boot() - requested_at >= wait;
    const bool applied = apply_records(records); // Those of peers may have come during the read.
    note_end({{records.era, read->topic_end}, waited ? requested_at + wait : requested_at});
    co_return applied;
}

asio::awaitable<bool> topic_follower::read_once(duration wait)
{
    if (!loaded_) {
        co_return co_await load();
    }
    // After an outage the log may end where it did before, in another era: it would delay its
    // answer.
    wait = last_read_failed_ ? duration::zero() : wait;
    bool read = co_await read_part(wait);
    const std::optional<observed_end> end = unreached_end_;
    while (read && end && unreached_end_ == end) {
        read = co_await read_part(duration::zero());
    }
    co_return read;
}

} // namespace chervildyke
