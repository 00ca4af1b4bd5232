/** \file
 * Implements the append side of journal_node: proposals and checkpoints.
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

const logger journal_log("journal");

constexpr duration checkpoint_check_interval = 1s;
constexpr int max_append_attempts = 20; // For each checkpoint chunk.

/** How many checkpoints the preferred writer appends in each retention time of the log. */
constexpr int checkpoints_per_retention = 4;

/** Any other process writes the checkpoint once it is older than this multiple of the interval. */
constexpr double backup_interval_factor = 1.25;

bool is_retryable(external_error code)
{
    return code == external_error::not_sent || code == external_error::overloaded;
}

duration scaled(duration span, double factor)
{
    return std::chrono::duration_cast<duration>(span * factor);
}

} // namespace

asio::awaitable<journal_result<proposal_outcome>>
journal_node::propose(schema::journal_record change, duration timeout)
{
    if (!fresh()) {
        journal_failure not_fresh{journal_error::not_ready,
                                  "the state is not fresh; expected a recent confirmation by the "
                                  "log or a member"};
        co_return not_fresh;
    }
    if (change.id().empty()) {
        change.set_id(random_id(hooks_.random));
    }
    change.set_writer(options_.writer);
    change.set_format(state_->format());
    change.set_written_at_ms(wall_clock_ms());
    const std::string id = change.id();
    const auto executor = co_await asio::this_coro::executor;
    const auto pending = std::make_shared<proposal>(executor, monotonic_clock::now() + timeout);
    proposals_[id] = pending;
    const scope_guard remove_pending([this, id] { proposals_.erase(id); });
    const journal_failure failed = co_await append_change(pending, change.SerializeAsString());
    if (pending->outcome) {
        co_return *pending->outcome;
    }
    if (failed.code == journal_error::not_appended) {
        co_return failed;
    }
    boost::system::error_code ignored;
    co_await pending->resolved.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    if (pending->outcome) {
        co_return *pending->outcome;
    }
    const std::string reason = failed.reason.empty()
                                   ? "the record was appended but not read back before the timeout"
                                   : failed.reason;
    journal_failure unknown{journal_error::unknown_outcome, reason};
    co_return unknown;
}

/** Retries the append while the log has certainly not stored the record. An append that may have
 * succeeded is not repeated.
 * \return journal_error::none when the record is stored, unknown_outcome when it may be, and
 * not_appended when it is not.
 */
asio::awaitable<journal_failure> journal_node::append_change(std::shared_ptr<proposal> pending,
                                                             std::string payload)
{
    duration delay = options_.min_retry_delay;
    while (true) {
        auto appended = co_await hooks_.log.append(options_.stream, payload);
        if (appended) {
            co_return journal_failure{};
        }
        const external_failure& error = appended.failure();
        if (error.code == external_error::unknown_outcome) {
            co_return journal_failure{journal_error::unknown_outcome, error.reason};
        }
        const duration jittered = scaled(delay, 0.5 + random_fraction(hooks_.random));
        const bool in_time = monotonic_clock::now() + jittered < pending->deadline;
        if (!is_retryable(error.code) || !in_time) {
            co_return journal_failure{journal_error::not_appended, error.reason};
        }
        co_await sleep_for(jittered);
        delay = std::min(delay * 2, options_.max_retry_delay);
    }
}

void journal_node::on_checkpoint_found(log_offset covers, std::uint64_t appended_at_ms)
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
                                             : retention_ / checkpoints_per_retention;
}

bool journal_node::checkpoint_due() const
{
    const bool able = options_.writes_checkpoints && ready_ && log_reachable_ && !diverged_ &&
                      state_->supports_format() && state_->offset() > 0 &&
                      state_->offset() + 1 >= first_offset_;
    if (!able) {
        return false;
    }
    const bool preferred = !hooks_.is_preferred_checkpointer || hooks_.is_preferred_checkpointer();
    const duration interval = checkpoint_interval();
    const duration age = monotonic_clock::now() - checkpoint_at_;
    const bool lost =
        first_offset_ > 1 && (!checkpoint_covers_ || *checkpoint_covers_ + 1 < first_offset_);
    const bool late = age >= scaled(interval, backup_interval_factor);
    return late || (preferred && (lost || checkpoint_wanted_ || age >= interval));
}

asio::awaitable<void> journal_node::write_checkpoints()
{
    while (true) {
        co_await sleep_for(checkpoint_check_interval);
        if (checkpoint_due()) {
            const bool written = co_await write_checkpoint();
            if (!written) {
                journal_log.warning(
                    "A checkpoint could not be written; the next check tries again.");
            }
        }
    }
}

/** \return false when a chunk could not be appended; the next attempt writes a new checkpoint. */
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
        bool is_appended = false;
        for (int i = 0; i < max_append_attempts && !is_appended; ++i) {
            auto appended = co_await hooks_.log.append(options_.stream, payload);
            is_appended = appended.has_value();
            if (!is_appended && !is_retryable(appended.failure().code)) {
                break;
            }
            if (!is_appended) {
                co_await sleep_for(options_.min_retry_delay);
            }
        }
        if (!is_appended) {
            co_return false;
        }
    }
    journal_log.info("Wrote a checkpoint of offset ", snapshot.offset(), " in ", chunks.size(),
                     " chunks.");
    checkpoint_at_ = monotonic_clock::now();
    checkpoint_wanted_ = false;
    co_return true;
}

} // namespace chervildyke
