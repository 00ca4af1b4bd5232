/** \file
 * Implements the read side of journal_node: from the log and from other members.
 */
#include "journal/journal_node.h"

#include <algorithm>

#include <boost/asio/experimental/awaitable_operators.hpp>

#include "base/hash.h"
#include "base/log.h"
#include "journal/journal_proposal.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const logger journal_log("journal");

/** How long the log may lag behind a member before records are fetched from the member. */
constexpr duration max_log_lag = 500ms;

/** After a longer outage of the log a checkpoint is written at once. */
constexpr duration min_outage_for_checkpoint = 5s;

log_record to_log_record(const schema::placed_record& placed)
{
    return {placed.offset(), placed.payload(), 0};
}

} // namespace

journal_node::journal_node(journal_options options, journal_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      state_(std::make_shared<const fleet_state>()), confirmed_at_(monotonic_clock::now()),
      window_(options_.max_kept_records, options_.max_kept_bytes),
      checkpoint_at_(monotonic_clock::now())
{
}

asio::awaitable<void> journal_node::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (follow_log() && follow_members() && write_checkpoints());
}

bool journal_node::fresh() const
{
    return ready_ && !diverged_ && state_->supports_format() &&
           monotonic_clock::now() - confirmed_at_ < options_.freshness_bound;
}

asio::awaitable<void> journal_node::follow_log()
{
    while (true) {
        const bool answered = co_await read_once();
        if (answered) {
            retry_delay_ = 0s;
            continue;
        }
        const duration delay = next_retry_delay();
        co_await sleep_for(delay);
    }
}

/** Exponential backoff up to the maximum delay, with jitter so that members do not retry at the
 * same time.
 */
duration journal_node::next_retry_delay()
{
    retry_delay_ = std::clamp(retry_delay_ * 2, options_.min_retry_delay, options_.max_retry_delay);
    const double factor = 0.5 + random_fraction(hooks_.random) / 2;
    return std::chrono::duration_cast<duration>(retry_delay_ * factor);
}

/** \return false when the reader should wait before the next read. */
asio::awaitable<bool> journal_node::read_once()
{
    const bool verify = verify_last_ && last_hash_ && state_->offset() > 0;
    const log_offset from = verify ? state_->offset() : state_->offset() + 1;
    const read_position before{state_->offset(), last_hash_};
    const duration wait = started_ && log_reachable_ ? options_.read_wait : 0s;
    auto read = co_await hooks_.log.read(options_.stream, from, options_.read_limit, wait);
    if (!read) {
        if (log_reachable_ || !outage_since_) {
            journal_log.warning("Reading the log failed: ", read.failure().reason, ".");
            outage_since_ = monotonic_clock::now();
        }
        log_reachable_ = false;
        verify_last_ = true;
        co_return false;
    }
    on_log_read(*read);
    if (!matches_log(*read, before)) {
        co_return false;
    }
    verify_last_ = false;
    if (!started_ && read->first_offset <= 1) {
        started_ = true;
    }
    if (!started_ || read->first_offset > state_->offset() + 1) {
        const log_offset first = read->first_offset;
        bool restored = co_await restore_from_checkpoint(first);
        if (!restored) {
            restored = co_await restore_from_member(first - 1);
        }
        co_return restored;
    }
    apply_records(read->records);
    if (!state_->supports_format()) {
        co_return false;
    }
    if (state_->offset() + 1 >= read->next_offset) {
        confirmed_at_ = monotonic_clock::now();
        ready_ = true;
    }
    co_return true;
}

void journal_node::on_log_read(const log_read& read)
{
    log_reachable_ = true;
    retention_ = std::chrono::milliseconds(read.retention_ms);
    first_offset_ = read.first_offset;
    if (outage_since_) {
        const duration outage = monotonic_clock::now() - *outage_since_;
        journal_log.info("The log is readable again.");
        checkpoint_wanted_ = checkpoint_wanted_ || outage > min_outage_for_checkpoint;
        outage_since_.reset();
    }
}

/** Checks that the log still contains the record that was applied last, and sets diverged_ if not.
 * \return false when the log has lost or replaced applied records.
 */
bool journal_node::matches_log(const log_read& read, const read_position& before)
{
    bool same = read.next_offset > before.offset;
    for (const log_record& record : read.records) {
        if (record.offset == before.offset && before.hash) {
            same = same && placement_hash(record.payload) == *before.hash;
        }
    }
    if (!same && !diverged_) {
        journal_log.error(
            "The log has lost or replaced records that were applied here up to offset ",
            before.offset, "; its next offset is ", read.next_offset,
            ". No further records are applied.");
    }
    diverged_ = diverged_ || !same;
    return !diverged_;
}

/** Reads the log from its oldest record until it finds a complete checkpoint after which no record
 * is missing, and installs it.
 * \param first the oldest record that the log keeps.
 * \return false when there is no such checkpoint.
 */
asio::awaitable<bool> journal_node::restore_from_checkpoint(log_offset first)
{
    checkpoint_assembler assembler;
    std::vector<log_record> records;
    log_offset from = first;
    while (true) {
        auto read = co_await hooks_.log.read(options_.stream, from, options_.read_limit, 0s);
        if (!read || read->first_offset > from || read->records.empty()) {
            co_return false;
        }
        for (const log_record& record : read->records) {
            schema::journal_record parsed;
            records.push_back(record);
            if (!parsed.ParseFromString(record.payload) || !parsed.has_checkpoint()) {
                continue;
            }
            const auto snapshot = assembler.add(parsed.checkpoint());
            if (snapshot && snapshot->offset() + 1 >= first && install_snapshot(*snapshot)) {
                on_checkpoint_found(snapshot->offset(), record.appended_at_ms);
                apply_records(records);
                co_return true;
            }
        }
        from = read->records.back().offset + 1;
    }
}

/** Fetches and installs a member's state.
 * \param at_least the lowest acceptable offset.
 * \return false when no member has such a state.
 */
asio::awaitable<bool> journal_node::restore_from_member(log_offset at_least)
{
    if (!hooks_.fetch_snapshot) {
        co_return false;
    }
    auto snapshot = co_await hooks_.fetch_snapshot();
    if (!snapshot || snapshot->format() == 0 || snapshot->offset() < at_least) {
        co_return false;
    }
    co_return install_snapshot(*snapshot);
}

/** Replaces the state by a snapshot.
 * \return false when the snapshot is invalid or not newer than the state.
 */
bool journal_node::install_snapshot(const schema::state_snapshot& snapshot)
{
    if (started_ && snapshot.offset() <= state_->offset()) {
        return false;
    }
    auto next = fleet_state::from_snapshot(snapshot);
    if (!next) {
        journal_log.error("A snapshot is invalid: ", next.failure().reason, ".");
        return false;
    }
    state_ = *next;
    started_ = true;
    last_hash_.reset();
    window_.reset(state_->offset());
    journal_log.info("Installed a snapshot at offset ", state_->offset(), ".");
    publish_state();
    return true;
}

void journal_node::apply_records(const std::vector<log_record>& records)
{
    fleet_state_builder builder(*state_);
    for (const log_record& raw : records) {
        if (raw.offset <= builder.current().offset() || !builder.current().supports_format()) {
            continue;
        }
        schema::journal_record record;
        const bool readable = record.ParseFromString(raw.payload);
        const record_outcome outcome = readable ? builder.apply(record, raw.offset)
                                                : builder.apply_payload(raw.payload, raw.offset);
        window_.push(raw.offset, raw.payload);
        last_hash_ = placement_hash(raw.payload);
        on_record_applied(record, raw, outcome);
    }
    if (builder.current().offset() > state_->offset()) {
        state_ = builder.build();
        publish_state();
    }
}

void journal_node::on_record_applied(const schema::journal_record& record, const log_record& raw,
                                     const record_outcome& outcome)
{
    if (outcome.code == rejection_reason::unreadable) {
        journal_log.error("The record at offset ", raw.offset,
                          " is rejected by all readers: ", outcome.reason, ".");
    }
    if (record.has_checkpoint()) {
        const auto snapshot = assembler_.add(record.checkpoint());
        if (snapshot) {
            on_checkpoint_found(snapshot->offset(), raw.appended_at_ms);
        }
    }
    const auto pending = proposals_.find(record.id());
    if (pending != proposals_.end()) {
        pending->second->resolve(proposal_outcome{raw.offset, outcome});
    }
    for (const record_hook& hook : record_hooks_) {
        hook(record, raw.offset, outcome);
    }
}

void journal_node::publish_state()
{
    if (!state_->supports_format()) {
        journal_log.error("The journal has format ", state_->format(),
                          "; this program supports up to ", newest_supported_format,
                          ". It applies no further records.");
    }
    for (const state_hook& hook : state_hooks_) {
        hook(state_);
    }
}

asio::awaitable<void> journal_node::follow_members()
{
    while (true) {
        co_await sleep_for(options_.member_poll_interval);
        const auto highest =
            hooks_.highest_member_offset ? hooks_.highest_member_offset() : std::nullopt;
        if (!started_ && !log_reachable_) {
            co_await restore_from_member(0);
        }
        if (!highest || !started_) {
            continue;
        }
        const bool was_behind = behind_;
        behind_ = *highest > state_->offset();
        if (!behind_ && !log_reachable_) {
            confirmed_at_ = monotonic_clock::now();
            ready_ = true;
        }
        if (!behind_) {
            continue;
        }
        behind_since_ = was_behind ? behind_since_ : monotonic_clock::now();
        if (monotonic_clock::now() - behind_since_ >= max_log_lag) {
            co_await fetch_from_member();
        }
    }
}

/** Fetches and applies the records that follow the state from a member, or the member's state when
 * it has dropped those records.
 * \return false when nothing was received.
 */
asio::awaitable<bool> journal_node::fetch_from_member()
{
    if (!hooks_.fetch_records || diverged_) {
        co_return false;
    }
    schema::record_request request;
    request.set_stream(options_.stream);
    request.set_from_offset(state_->offset() + 1);
    auto batch = co_await hooks_.fetch_records(request);
    if (!batch) {
        co_return false;
    }
    if (batch->gap()) {
        co_return co_await restore_from_member(state_->offset() + 1);
    }
    std::vector<log_record> records;
    for (const schema::placed_record& placed : batch->records()) {
        records.push_back(to_log_record(placed));
    }
    apply_records(records);
    co_return true;
}

schema::record_batch journal_node::serve_records(const schema::record_request& request) const
{
    return window_.read(request);
}

schema::state_snapshot journal_node::serve_snapshot() const
{
    return started_ && !diverged_ ? state_->to_snapshot() : schema::state_snapshot();
}

} // namespace chervildyke
