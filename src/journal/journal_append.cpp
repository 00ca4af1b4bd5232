/** \file
 * Implements what a journal_node appends: proposals and checkpoints.
 */
#include <algorithm>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "base/scope_guard.h"
#include "journal/journal_node.h"
#include "journal/journal_proposal.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const part_log journal_log("journal");

constexpr duration checkpoint_check_interval = 1s;
constexpr int checkpoint_retries = 20;

/** The writer renews a checkpoint after this share of the retention; others step in later. */
constexpr int retention_parts_per_checkpoint = 4;
constexpr double stand_in_share = 1.25;

bool worth_retrying(external_error code)
{
    return code == external_error::not_sent || code == external_error::overloaded;
}

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

asio::awaitable<journal_result<proposal_verdict>>
journal_node::propose(schema::journal_record change, duration timeout)
{
    if (!fresh()) {
        journal_failure cut_off{journal_error::not_ready, "the state is not fresh"};
        co_return cut_off;
    }
    if (change.id().empty()) {
        change.set_id(random_id(hooks_.random));
    }
    change.set_writer(options_.writer);
    change.set_format(state_->format());
    change.set_written_at_ms(wall_clock_ms());
    const std::string id = change.id();
    const auto executor = co_await asio::this_coro::executor;
    const auto entry = std::make_shared<proposal>(executor, monotonic_clock::now() + timeout);
    proposals_[id] = entry;
    const scope_guard forget([this, id] { proposals_.erase(id); });
    const journal_failure failed = co_await append_change(entry, change.SerializeAsString());
    if (entry->verdict_seen) {
        co_return *entry->verdict_seen;
    }
    if (failed.code == journal_error::not_appended) {
        co_return failed;
    }
    boost::system::error_code ignored;
    co_await entry->changed.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (entry->verdict_seen) {
        co_return *entry->verdict_seen;
    }
    const std::string reason =
        failed.reason.empty() ? "the record was not read back in time" : failed.reason;
    journal_failure unclear{journal_error::unclear, reason};
    co_return unclear;
}

/** Appends until the log has taken the record or may have; never a second time after that.
 * \return journal_error::none when it stands, unclear when it may, not_appended when not.
 */
asio::awaitable<journal_failure> journal_node::append_change(std::shared_ptr<proposal> entry,
                                                             std::string payload)
{
    duration pause = options_.shortest_retry;
    while (true) {
        auto appended = co_await hooks_.log.append(options_.stream, payload);
        if (appended) {
            co_return journal_failure{};
        }
        const external_failure& below = appended.last_reason();
        if (below.code == external_error::unclear) {
            co_return journal_failure{journal_error::unclear, below.reason};
        }
        const duration jittered = scaled(pause, 0.5 + random_fraction(hooks_.random));
        const bool in_time = monotonic_clock::now() + jittered < entry->deadline;
        if (!worth_retrying(below.code) || !in_time) {
            co_return journal_failure{journal_error::not_appended, below.reason};
        }
        co_await sleep_for(jittered);
        pause = std::min(pause * 2, options_.longest_retry);
    }
}

void journal_node::note_checkpoint(log_offset covers, std::uint64_t appended_at_ms)
{
    if (checkpoint_covers_ && covers < *checkpoint_covers_) {
        return;
    }
    const std::uint64_t now_ms = wall_clock_ms();
    const bool has_age = appended_at_ms > 0 && appended_at_ms < now_ms;
    const duration age = std::chrono::milliseconds(has_age ? now_ms - appended_at_ms : 0);
    checkpoint_covers_ = covers;
    checkpoint_at_ = monotonic_clock::now() - age;
    checkpoint_wanted_ = false;
}

duration journal_node::checkpoint_interval() const
{
    return options_.checkpoint_interval > 0s ? options_.checkpoint_interval
                                             : retention_ / retention_parts_per_checkpoint;
}

bool journal_node::checkpoint_due() const
{
    const bool able = options_.writes_checkpoints && ready_ && log_reachable_ && !diverged_ &&
                      state_->can_judge() && state_->offset() > 0 &&
                      state_->offset() + 1 >= first_offset_;
    if (!able) {
        return false;
    }
    const bool preferred = !hooks_.am_checkpointer || hooks_.am_checkpointer();
    const duration interval = checkpoint_interval();
    const duration age = monotonic_clock::now() - checkpoint_at_;
    const bool lost =
        first_offset_ > 1 && (!checkpoint_covers_ || *checkpoint_covers_ + 1 < first_offset_);
    const bool late = age >= scaled(interval, stand_in_share);
    return late || (preferred && (lost || checkpoint_wanted_ || age >= interval));
}

asio::awaitable<void> journal_node::write_checkpoints()
{
    while (true) {
        co_await sleep_for(checkpoint_check_interval);
        if (checkpoint_due()) {
            const bool written = co_await write_checkpoint();
            if (!written) {
                journal_log.warning("A checkpoint could not be written.");
            }
        }
    }
}

/** \return false when a chunk could not be appended; the next try starts anew. */
asio::awaitable<bool> journal_node::write_checkpoint()
{
    const schema::state_snapshot snapshot = state_->to_snapshot();
    const auto chunks =
        split_snapshot(snapshot, random_id(hooks_.random), options_.checkpoint_chunk_bytes);
    for (const schema::checkpoint_chunk& chunk : chunks) {
        schema::journal_record record;
        record.set_id(random_id(hooks_.random));
        record.set_writer(options_.writer);
        record.set_format(state_->format());
        record.set_written_at_ms(wall_clock_ms());
        *record.mutable_checkpoint() = chunk;
        const std::string payload = record.SerializeAsString();
        bool standing = false;
        for (int i = 0; i < checkpoint_retries && !standing; ++i) {
            auto appended = co_await hooks_.log.append(options_.stream, payload);
            standing = appended.has_value();
            if (!standing && !worth_retrying(appended.last_reason().code)) {
                break;
            }
            if (!standing) {
                co_await sleep_for(options_.shortest_retry);
            }
        }
        if (!standing) {
            co_return false;
        }
    }
    journal_log.info("A checkpoint at offset ", snapshot.offset(), " was written in ",
                     chunks.size(), " chunks.");
    checkpoint_at_ = monotonic_clock::now();
    checkpoint_wanted_ = false;
    co_return true;
}

} // namespace chervildyke
