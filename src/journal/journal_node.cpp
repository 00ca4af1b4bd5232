/** \file
 * Implements following the journal, from the log and through members.
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

const part_log journal_log("journal");

constexpr duration hand_on_patience = 500ms; // How long the log may lag behind a member.
constexpr duration noticed_outage = 5s;      // After a longer one a checkpoint is written at once.

log_record to_log_record(const schema::placed_record& placed)
{
    return {placed.offset(), placed.payload(), 0};
}

} // namespace

journal_node::journal_node(journal_options options, journal_hooks hooks)
    : options_(std::move(options)), hooks_(std::move(hooks)),
      state_(std::make_shared<const fleet_state>()), confirmed_at_(monotonic_clock::now()),
      window_(options_.kept_records, options_.kept_bytes), checkpoint_at_(monotonic_clock::now())
{
}

asio::awaitable<void> journal_node::run()
{
    using namespace asio::experimental::awaitable_operators;
    co_await (follow() && hand_on() && write_checkpoints());
}

bool journal_node::fresh() const
{
    return ready_ && !diverged_ && state_->can_judge() &&
           monotonic_clock::now() - confirmed_at_ < options_.freshness_bound;
}

asio::awaitable<void> journal_node::follow()
{
    while (true) {
        const bool answered = co_await read_once();
        if (answered) {
            pause_ = 0s;
            continue;
        }
        const duration pause = next_pause();
        co_await sleep_for(pause);
    }
}

/** Doubles up to the longest pause, with jitter so that members do not retry together. */
duration journal_node::next_pause()
{
    pause_ = std::clamp(pause_ * 2, options_.shortest_retry, options_.longest_retry);
    const double share = 0.5 + random_fraction(hooks_.random) / 2;
    return std::chrono::duration_cast<duration>(pause_ * share);
}

/** \return false when the reader should pause before the next read. */
asio::awaitable<bool> journal_node::read_once()
{
    const bool verify = verify_last_ && last_hash_ && state_->offset() > 0;
    const log_offset from = verify ? state_->offset() : state_->offset() + 1;
    const read_position before{state_->offset(), last_hash_};
    const duration wait = started_ && log_reachable_ ? options_.read_wait : 0s;
    auto read = co_await hooks_.log.read(options_.stream, from, options_.read_limit, wait);
    if (!read) {
        if (log_reachable_ || !outage_since_) {
            journal_log.warning("The log can't be read: ", read.last_reason().reason, ".");
            outage_since_ = monotonic_clock::now();
        }
        log_reachable_ = false;
        verify_last_ = true;
        co_return false;
    }
    note_read(*read);
    if (!matches_log(*read, before)) {
        co_return false;
    }
    verify_last_ = false;
    if (!started_ && read->first_offset <= 1) {
        started_ = true;
    }
    if (!started_ || read->first_offset > state_->offset() + 1) {
        const log_offset first = read->first_offset;
        bool bridged = co_await start_from_log(first);
        if (!bridged) {
            bridged = co_await start_from_member(first - 1);
        }
        co_return bridged;
    }
    apply_records(read->records);
    if (!state_->can_judge()) {
        co_return false;
    }
    if (state_->offset() + 1 >= read->next_offset) {
        confirmed_at_ = monotonic_clock::now();
        ready_ = true;
    }
    co_return true;
}

void journal_node::note_read(const log_read& read)
{
    log_reachable_ = true;
    retention_ = std::chrono::milliseconds(read.retention_ms);
    first_offset_ = read.first_offset;
    if (outage_since_) {
        const duration outage = monotonic_clock::now() - *outage_since_;
        journal_log.info("The log can be read.");
        checkpoint_wanted_ = checkpoint_wanted_ || outage > noticed_outage;
        outage_since_.reset();
    }
}

/** Tells a log that lost or replaced applied records from one that only moved on. */
bool journal_node::matches_log(const log_read& read, const read_position& before)
{
    bool same = read.next_offset > before.offset;
    for (const log_record& record : read.records) {
        if (record.offset == before.offset && before.hash) {
            same = same && placement_hash(record.payload) == *before.hash;
        }
    }
    if (!same && !diverged_) {
        journal_log.error("The log lost records that were applied here up to offset ",
                          before.offset, "; its next offset is ", read.next_offset,
                          ". Nothing is taken from it.");
    }
    diverged_ = diverged_ || !same;
    return !diverged_;
}

/** Looks for a checkpoint after which no record is missing, from the oldest kept record on. */
asio::awaitable<bool> journal_node::start_from_log(log_offset first)
{
    checkpoint_assembler assembler;
    std::vector<log_record> held;
    log_offset from = first;
    while (true) {
        auto read = co_await hooks_.log.read(options_.stream, from, options_.read_limit, 0s);
        if (!read || read->first_offset > from || read->records.empty()) {
            co_return false;
        }
        for (const log_record& record : read->records) {
            schema::journal_record parsed;
            held.push_back(record);
            if (!parsed.ParseFromString(record.payload) || !parsed.has_checkpoint()) {
                continue;
            }
            const auto snapshot = assembler.add(parsed.checkpoint());
            if (snapshot && snapshot->offset() + 1 >= first && adopt(*snapshot)) {
                note_checkpoint(snapshot->offset(), record.appended_at_ms);
                apply_records(held);
                co_return true;
            }
        }
        from = read->records.back().offset + 1;
    }
}

/** Takes a member's state.
 * \param at_least the lowest offset of use.
 */
asio::awaitable<bool> journal_node::start_from_member(log_offset at_least)
{
    if (!hooks_.fetch_snapshot) {
        co_return false;
    }
    auto snapshot = co_await hooks_.fetch_snapshot();
    if (!snapshot || snapshot->format() == 0 || snapshot->offset() < at_least) {
        co_return false;
    }
    co_return adopt(*snapshot);
}

/** Puts a snapshot in the place of the state, unless it is older. */
bool journal_node::adopt(const schema::state_snapshot& snapshot)
{
    if (started_ && snapshot.offset() <= state_->offset()) {
        return false;
    }
    auto next = fleet_state::from_snapshot(snapshot);
    if (!next) {
        journal_log.error("A snapshot can't be used: ", next.last_reason().reason, ".");
        return false;
    }
    state_ = *next;
    started_ = true;
    last_hash_.reset();
    window_.reset(state_->offset());
    journal_log.info("The state starts from a snapshot at offset ", state_->offset(), ".");
    publish_state();
    return true;
}

void journal_node::apply_records(const std::vector<log_record>& records)
{
    fleet_state_builder builder(*state_);
    for (const log_record& raw : records) {
        if (raw.offset <= builder.current().offset() || !builder.current().can_judge()) {
            continue;
        }
        schema::journal_record record;
        const bool readable = record.ParseFromString(raw.payload);
        const verdict v = readable ? builder.apply(record, raw.offset)
                                   : builder.apply_payload(raw.payload, raw.offset);
        window_.push(raw.offset, raw.payload);
        last_hash_ = placement_hash(raw.payload);
        note_judged(record, raw, v);
    }
    if (builder.current().offset() > state_->offset()) {
        state_ = builder.build();
        publish_state();
    }
}

void journal_node::note_judged(const schema::journal_record& record, const log_record& raw,
                               const verdict& v)
{
    if (v.why == void_reason::unreadable) {
        journal_log.error("The record at offset ", raw.offset, " is void for all: ", v.reason, ".");
    }
    if (record.has_checkpoint()) {
        const auto snapshot = assembler_.add(record.checkpoint());
        if (snapshot) {
            note_checkpoint(snapshot->offset(), raw.appended_at_ms);
        }
    }
    const auto waiting = proposals_.find(record.id());
    if (waiting != proposals_.end()) {
        waiting->second->answer(proposal_verdict{raw.offset, v});
    }
    for (const record_hook& hook : record_hooks_) {
        hook(record, raw.offset, v);
    }
}

void journal_node::publish_state()
{
    if (!state_->can_judge()) {
        journal_log.error("The journal has format ", state_->format(),
                          ", which this program does not know. It applies nothing more.");
    }
    for (const state_hook& hook : state_hooks_) {
        hook(state_);
    }
}

asio::awaitable<void> journal_node::hand_on()
{
    while (true) {
        co_await sleep_for(options_.hand_on_interval);
        const auto highest = hooks_.members_highest ? hooks_.members_highest() : std::nullopt;
        if (!started_ && !log_reachable_) {
            co_await start_from_member(0);
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
        if (monotonic_clock::now() - behind_since_ >= hand_on_patience) {
            co_await follow_member();
        }
    }
}

/** Fetches what a member has and this process has not. */
asio::awaitable<bool> journal_node::follow_member()
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
        co_return co_await start_from_member(state_->offset() + 1);
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
