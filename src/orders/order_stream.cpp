/** \file
 * Implements the reading of an order stream and the batched appends to it.
 */
#include "orders/order_stream.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const logger order_log("orders");

constexpr std::uint32_t read_limit = 1024; // Records in one read.
constexpr duration min_retry_delay = 20ms;
constexpr duration max_retry_delay = 1s;

/** The wait before an append without a reply is repeated: time to read the record back. */
constexpr duration unclear_append_retry_delay = 250ms;

constexpr duration max_append_interval = 100ms;

/** How long a batch is kept for reading its record back after the last append. */
constexpr duration lost_record_timeout = 60s;

/** Waits until the timer expires or is cancelled. */
asio::awaitable<void> wait_until_expiry(timer& waited)
{
    boost::system::error_code ignored;
    co_await waited.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/** Lets the timer expire now, so that current and later waits on it end at once. */
void expire_now(timer& waited)
{
    waited.expires_at(time_point::min());
}

} // namespace

/** A claim or settlement that waits to be appended and read back. */
struct order_stream::pending_request {
    explicit pending_request(const asio::any_io_executor& executor) : completion_timer(executor) {}

    std::optional<schema::order_claim> claim;
    std::optional<schema::order_settlement> settlement;
    std::optional<schema::claim_verdict> verdict;
    std::optional<bool> kept;
    bool maybe_appended = false; // Only for claims.
    bool timed_out = false;
    timer completion_timer; // Expires at completion or at the timeout.

    bool is_completed() const { return verdict || kept; }
    void complete(schema::claim_verdict result)
    {
        verdict = std::move(result);
        expire_now(completion_timer);
    }
    void complete(bool result)
    {
        kept = result;
        expire_now(completion_timer);
    }
};

/** The claims and settlements of one record. */
struct order_stream::batch {
    explicit batch(const asio::any_io_executor& executor) : retry_timer(executor) {}

    schema::order_record record;
    std::string payload;
    std::vector<request_handle> claims;
    std::vector<request_handle> settlements;
    bool was_read_back = false;
    bool any_append_unclear = false; // An append without a reply may have taken effect.
    duration retry_delay = min_retry_delay;
    timer retry_timer; // Expires early when the record is read back.

    bool has_waiting_requests() const
    {
        const auto is_waiting = [](const request_handle& request) { return !request->timed_out; };
        return std::any_of(claims.begin(), claims.end(), is_waiting) ||
               std::any_of(settlements.begin(), settlements.end(), is_waiting);
    }
    void set_maybe_appended(bool maybe)
    {
        for (const request_handle& request : claims) {
            request->maybe_appended = maybe;
        }
    }
};

order_stream::order_stream(asio::any_io_executor executor, order_stream_settings settings,
                           log_client log, random_source random)
    : executor_(std::move(executor)), settings_(std::move(settings)), log_(std::move(log)),
      random_(std::move(random)), window_ms_(settings_.window_ms),
      append_interval_(settings_.batch_delay), append_timer_(executor_),
      second_read_timer_(executor_), retry_timer_(executor_)
{
}

void order_stream::start()
{
    asio::co_spawn(executor_, read_loop(shared_from_this()), asio::detached);
    asio::co_spawn(executor_, second_read_loop(shared_from_this()), asio::detached);
    asio::co_spawn(executor_, append_loop(shared_from_this()), asio::detached);
}

void order_stream::stop()
{
    stopped_ = true;
    expire_now(append_timer_);
    expire_now(second_read_timer_);
    expire_now(retry_timer_);
}

asio::awaitable<schema::claim_verdict> order_stream::claim(schema::order_claim claim,
                                                           duration timeout)
{
    const auto self = shared_from_this();
    if (auto settled = table_.settled_verdict(claim); settled && caught_up_) {
        co_return *settled;
    }
    std::string error = check_append_preconditions(claim);
    if (!error.empty()) {
        co_return make_verdict(claim, schema::claim_refused, std::move(error));
    }
    const auto request = std::make_shared<pending_request>(executor_);
    request->claim = claim;
    co_await await_completion(request, timeout);
    if (request->verdict) {
        co_return *request->verdict;
    }
    if (request->maybe_appended) {
        co_return make_verdict(
            claim, schema::claim_undecided,
            "the claim may be in the log, but was not read back within its timeout");
    }
    co_return make_verdict(claim, schema::claim_refused,
                           "the claim was not appended to the log within its timeout");
}

asio::awaitable<schema::settle_reply> order_stream::settle(schema::order_settlement settlement,
                                                           duration timeout)
{
    const auto self = shared_from_this();
    const auto request = std::make_shared<pending_request>(executor_);
    request->settlement = std::move(settlement);
    co_await await_completion(request, timeout);
    schema::settle_reply reply;
    reply.set_kept(request->kept.value_or(false));
    if (!request->kept) {
        reply.set_reason("the settlement was not read back from the log within its timeout");
    }
    else if (!*request->kept) {
        reply.set_reason("the key is held or settled by another attempt");
    }
    co_return reply;
}

asio::awaitable<void> order_stream::await_completion(request_handle request, duration timeout)
{
    request->completion_timer.expires_after(timeout);
    enqueue(request);
    co_await wait_until_expiry(request->completion_timer);
    request->timed_out = !request->is_completed();
}

/** \return why no claim of the key can be appended now; empty when it can. */
std::string order_stream::check_append_preconditions(const schema::order_claim& claim) const
{
    if (log_unavailable_) {
        return "the log is unavailable";
    }
    if (!caught_up_ || window_ms_ == 0) {
        return "the order stream has not been read to its end yet";
    }
    if (table_.is_uncertain(claim.tenant(), claim.key())) {
        return "the records read so far do not cover the claim window of this key";
    }
    return {};
}

void order_stream::enqueue(request_handle request)
{
    queue_.push_back(std::move(request));
    expire_now(append_timer_);
}

asio::awaitable<void> order_stream::append_loop(std::shared_ptr<order_stream> self)
{
    while (!stopped_) {
        const bool may_append =
            !queue_.empty() && appends_in_flight_ < settings_.max_appends_in_flight;
        if (may_append && monotonic_clock::now() >= next_append_at_) {
            const batch_handle sent = next_batch();
            if (sent) {
                next_append_at_ = monotonic_clock::now() + append_interval_;
                ++appends_in_flight_;
                asio::co_spawn(executor_, append_batch(self, sent), asio::detached);
            }
            continue;
        }
        append_timer_.expires_at(may_append ? next_append_at_ : time_point::max());
        co_await wait_until_expiry(append_timer_);
    }
}

/** Moves requests from the queue into a batch and serializes its record.
 * \return null when no request waits.
 */
order_stream::batch_handle order_stream::next_batch()
{
    const auto new_batch = std::make_shared<batch>(executor_);
    while (!queue_.empty() &&
           new_batch->claims.size() + new_batch->settlements.size() < settings_.max_batch_items) {
        const request_handle request = std::move(queue_.front());
        queue_.pop_front();
        if (request->timed_out) {
            continue;
        }
        if (request->claim) {
            *new_batch->record.add_claims() = *request->claim;
            new_batch->claims.push_back(request);
        }
        else {
            *new_batch->record.add_settlements() = *request->settlement;
            new_batch->settlements.push_back(request);
        }
    }
    if (new_batch->claims.empty() && new_batch->settlements.empty()) {
        return nullptr;
    }
    new_batch->record.set_id(random_id(random_));
    new_batch->record.set_writer(settings_.writer);
    new_batch->record.set_format(order_record_format);
    new_batch->record.set_written_at_ms(wall_clock_ms());
    new_batch->record.set_window_ms(window_ms_);
    new_batch->payload = new_batch->record.SerializeAsString();
    return new_batch;
}

/** Appends one record, with retries until an append succeeds, the record is read back or all its
 * requests have timed out. Repeated appends have the same record id, so readers drop duplicates.
 */
asio::awaitable<void>
order_stream::append_batch([[maybe_unused]] std::shared_ptr<order_stream> self, batch_handle sent)
{
    batches_[sent->record.id()] = sent;
    bool had_effect = false;
    while (!stopped_ && !sent->was_read_back && !had_effect && sent->has_waiting_requests()) {
        sent->set_maybe_appended(true);
        const auto result = co_await log_.append(settings_.stream, sent->payload);
        had_effect = handle_append_result(*sent, result);
        if (!had_effect && !sent->was_read_back) {
            sent->retry_timer.expires_after(sent->retry_delay);
            sent->retry_delay = std::min(2 * sent->retry_delay, max_retry_delay);
            co_await wait_until_expiry(sent->retry_timer);
        }
    }
    --appends_in_flight_;
    expire_now(append_timer_);
    if (!sent->was_read_back) {
        sent->retry_timer.expires_after(lost_record_timeout);
        co_await wait_until_expiry(sent->retry_timer);
    }
    batches_.erase(sent->record.id());
}

/** \return whether the append took effect for certain. */
bool order_stream::handle_append_result(batch& sent, const external_result<log_offset>& result)
{
    if (result) {
        append_interval_ = std::max(append_interval_ * 15 / 16, settings_.batch_delay);
        acknowledge_settlements(sent);
        return true;
    }
    const external_error code = result.failure().code;
    if (code == external_error::unknown_outcome) {
        sent.retry_delay = std::max(sent.retry_delay, unclear_append_retry_delay);
        sent.any_append_unclear = true;
        return false;
    }
    if (code == external_error::overloaded) {
        append_interval_ = std::min(append_interval_ * 5 / 4, max_append_interval);
        sent.retry_delay = append_interval_;
    }
    else {
        log_unavailable_ = true;
        order_log.warning("Append to ", settings_.stream, " failed: ", result.failure().reason);
    }
    if (!sent.any_append_unclear) {
        sent.set_maybe_appended(false);
    }
    return false;
}

/** Completes the appended settlements that are certain to be kept before they are read back. This
 * holds for the winner of a key: only a settlement of the same attempt can precede its own.
 */
void order_stream::acknowledge_settlements(batch& sent)
{
    for (const request_handle& request : sent.settlements) {
        const schema::order_settlement& settlement = *request->settlement;
        if (!request->is_completed() && table_.will_keep(settlement)) {
            request->complete(true);
        }
    }
}

asio::awaitable<void> order_stream::read_loop([[maybe_unused]] std::shared_ptr<order_stream> self)
{
    duration retry_delay = min_retry_delay;
    bool records_arriving = false;
    while (!stopped_) {
        const duration wait = caught_up_ ? settings_.poll_wait : duration::zero();
        const log_offset from = position_;
        const time_point started = monotonic_clock::now();
        if (records_arriving) {
            second_read_timer_.expires_after(read_round_trip_ / 2);
        }
        const auto read = co_await log_.read(settings_.stream, from, read_limit, wait);
        if (stopped_) {
            co_return;
        }
        if (!read) {
            log_unavailable_ = true;
            retry_timer_.expires_after(retry_delay);
            retry_delay = std::min(2 * retry_delay, max_retry_delay);
            co_await wait_until_expiry(retry_timer_);
            continue;
        }
        retry_delay = min_retry_delay;
        log_unavailable_ = false;
        read_round_trip_ = std::min({monotonic_clock::now() - started, 2 * read_round_trip_ + 1ms,
                                     duration(max_read_round_trip)});
        records_arriving = !read->records.empty();
        apply_records(*read, from);
    }
}

/** Starts a second read half a round trip after the first while records keep arriving. Without it,
 * a record that just missed a read would wait for a whole round trip.
 */
asio::awaitable<void>
order_stream::second_read_loop([[maybe_unused]] std::shared_ptr<order_stream> self)
{
    while (!stopped_) {
        second_read_timer_.expires_at(time_point::max());
        co_await wait_until_expiry(second_read_timer_);
        while (!stopped_ && second_read_timer_.expiry() > monotonic_clock::now()) {
            co_await wait_until_expiry(second_read_timer_); // read_loop set a later time.
        }
        if (stopped_) {
            co_return;
        }
        const log_offset from = position_;
        const auto read = co_await log_.read(settings_.stream, from, read_limit, duration::zero());
        if (read && !stopped_) {
            apply_records(*read, from);
        }
    }
}

/** Applies the records of one read. Two reads may overlap, so records that were applied before are
 * skipped.
 */
void order_stream::apply_records(const log_read& read, log_offset from)
{
    if (settings_.window_ms == 0) {
        window_ms_ = read.retention_ms / 2;
    }
    if (read.first_offset > position_ || read.next_offset < from) {
        order_log.info("Records of ", settings_.stream, " from offset ", position_,
                       " on are no longer in the log; its oldest offset is ", read.first_offset);
        table_.mark_history_lost(read.next_offset, read.retention_ms);
        position_ = std::min(std::max(read.first_offset, position_), read.next_offset);
    }
    if (from > position_) {
        return; // The other read found the log truncated, so the records in between are missing.
    }
    for (const log_record& stored : read.records) {
        if (stored.offset < position_) {
            continue;
        }
        position_ = stored.offset + 1;
        schema::order_record record;
        if (!record.ParseFromString(stored.payload)) {
            order_log.error("A record of ", settings_.stream, " at offset ", stored.offset,
                            " can't be parsed and is skipped");
            continue;
        }
        complete_batch(record.id(), table_.apply(record, stored.offset, stored.appended_at_ms));
    }
    caught_up_ = position_ >= read.next_offset;
}

/** Completes the requests of a batch of this process with the verdicts on its record. */
void order_stream::complete_batch(const std::string& record_id, const record_verdicts& verdicts)
{
    const auto found = batches_.find(record_id);
    if (found == batches_.end() || found->second->was_read_back || verdicts.duplicate) {
        return;
    }
    batch& read_batch = *found->second;
    read_batch.was_read_back = true;
    for (std::size_t i = 0; i < read_batch.claims.size(); ++i) {
        schema::claim_verdict verdict = verdicts.claims.at(i);
        const schema::order_claim& claim = *read_batch.claims[i]->claim;
        if (verdict.result() == schema::claim_refused &&
            table_.is_uncertain(claim.tenant(), claim.key())) {
            // It may have won for readers with more history.
            verdict.set_result(schema::claim_undecided);
        }
        read_batch.claims[i]->complete(std::move(verdict));
    }
    for (std::size_t i = 0; i < read_batch.settlements.size(); ++i) {
        read_batch.settlements[i]->complete(verdicts.settlements.at(i));
    }
    expire_now(read_batch.retry_timer);
}

} // namespace chervildyke
