/** \file
 * Implements following, batching and reading back.
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

const part_log order_log("orders");

constexpr std::uint32_t read_limit = 1024;
constexpr duration shortest_pause = 20ms;
constexpr duration longest_pause = 1s;
constexpr duration read_back_wait = 250ms; // Before an append without a reply is made again.
constexpr duration longest_append_interval = 100ms;
constexpr duration lost_record_timeout = 60s;

/** Waits until the timer expires or is cancelled. */
asio::awaitable<void> wait_on(timer& waited)
{
    boost::system::error_code ignored;
    co_await waited.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

/** Ends the wait on a timer, also one that starts later. */
void release(timer& waited)
{
    waited.expires_at(time_point::min());
}

} // namespace

/** One claim or settlement on its way into the stream. */
struct order_stream::waiter {
    explicit waiter(const asio::any_io_executor& executor) : answered(executor) {}

    std::optional<schema::order_claim> claim;
    std::optional<schema::order_settlement> settlement;
    std::optional<schema::claim_verdict> verdict;
    std::optional<bool> kept;
    bool maybe_appended = false;
    bool abandoned = false;
    timer answered;

    bool is_answered() const { return verdict || kept; }
    void answer(schema::claim_verdict given)
    {
        verdict = std::move(given);
        release(answered);
    }
    void answer(bool given)
    {
        kept = given;
        release(answered);
    }
};

/** What goes into one record. */
struct order_stream::batch {
    explicit batch(const asio::any_io_executor& executor) : judged(executor) {}

    schema::order_record record;
    std::string payload;
    std::vector<waiter_handle> claims;
    std::vector<waiter_handle> settlements;
    bool is_judged = false;
    bool unclear = false; // Some append may have taken effect.
    duration pause = shortest_pause;
    timer judged;

    bool wanted() const
    {
        const auto waits = [](const waiter_handle& waiting) { return !waiting->abandoned; };
        return std::any_of(claims.begin(), claims.end(), waits) ||
               std::any_of(settlements.begin(), settlements.end(), waits);
    }
    void set_maybe_appended(bool maybe)
    {
        for (const waiter_handle& waiting : claims) {
            waiting->maybe_appended = maybe;
        }
    }
};

order_stream::order_stream(asio::any_io_executor executor, order_stream_settings settings,
                           log_client log, random_source random)
    : executor_(std::move(executor)), settings_(std::move(settings)), log_(std::move(log)),
      random_(std::move(random)), window_ms_(settings_.window_ms),
      append_interval_(settings_.batch_delay), wake_(executor_), between_(executor_),
      pause_(executor_)
{
}

void order_stream::start()
{
    asio::co_spawn(executor_, follow(shared_from_this()), asio::detached);
    asio::co_spawn(executor_, follow_between(shared_from_this()), asio::detached);
    asio::co_spawn(executor_, append_batches(shared_from_this()), asio::detached);
}

void order_stream::stop()
{
    stopped_ = true;
    release(wake_);
    release(between_);
    release(pause_);
}

asio::awaitable<schema::claim_verdict> order_stream::claim(schema::order_claim claim,
                                                           duration timeout)
{
    const auto self = shared_from_this();
    if (auto settled = table_.settled_verdict(claim); settled && caught_up_) {
        co_return *settled;
    }
    std::string fault = fault_before_append(claim);
    if (!fault.empty()) {
        co_return make_verdict(claim, schema::claim_refused, std::move(fault));
    }
    const auto waiting = std::make_shared<waiter>(executor_);
    waiting->claim = claim;
    co_await await_answer(waiting, timeout);
    if (waiting->verdict) {
        co_return *waiting->verdict;
    }
    if (waiting->maybe_appended) {
        co_return make_verdict(claim, schema::claim_undecided,
                               "the log did not show the claim in time");
    }
    co_return make_verdict(claim, schema::claim_refused, "the log took no claim in time");
}

asio::awaitable<schema::settle_reply> order_stream::settle(schema::order_settlement settlement,
                                                           duration timeout)
{
    const auto self = shared_from_this();
    const auto waiting = std::make_shared<waiter>(executor_);
    waiting->settlement = std::move(settlement);
    co_await await_answer(waiting, timeout);
    schema::settle_reply reply;
    reply.set_kept(waiting->kept.value_or(false));
    if (!waiting->kept) {
        reply.set_reason("the log did not show the settlement in time");
    }
    else if (!*waiting->kept) {
        reply.set_reason("the key is held or settled by another attempt");
    }
    co_return reply;
}

asio::awaitable<void> order_stream::await_answer(waiter_handle waiting, duration timeout)
{
    waiting->answered.expires_after(timeout);
    enqueue(waiting);
    co_await wait_on(waiting->answered);
    waiting->abandoned = !waiting->is_answered();
}

std::string order_stream::fault_before_append(const schema::order_claim& claim) const
{
    if (log_trouble_) {
        return "the log can't be reached";
    }
    if (!caught_up_ || window_ms_ == 0) {
        return "the order stream is not read to its end yet";
    }
    if (table_.is_uncertain(claim.tenant(), claim.key())) {
        return "the records read so far do not cover the claim window of this key";
    }
    return {};
}

void order_stream::enqueue(waiter_handle waiting)
{
    queue_.push_back(std::move(waiting));
    release(wake_);
}

asio::awaitable<void> order_stream::append_batches(std::shared_ptr<order_stream> self)
{
    while (!stopped_) {
        const bool may_append = !queue_.empty() && appends_in_flight_ < settings_.max_appends;
        if (may_append && monotonic_clock::now() >= next_append_) {
            const batch_handle sent = next_batch();
            if (sent) {
                next_append_ = monotonic_clock::now() + append_interval_;
                ++appends_in_flight_;
                asio::co_spawn(executor_, append_batch(self, sent), asio::detached);
            }
            continue;
        }
        wake_.expires_at(may_append ? next_append_ : time_point::max());
        co_await wait_on(wake_);
    }
}

order_stream::batch_handle order_stream::next_batch()
{
    const auto made = std::make_shared<batch>(executor_);
    while (!queue_.empty() &&
           made->claims.size() + made->settlements.size() < settings_.max_batch) {
        const waiter_handle waiting = std::move(queue_.front());
        queue_.pop_front();
        if (waiting->abandoned) {
            continue;
        }
        if (waiting->claim) {
            *made->record.add_claims() = *waiting->claim;
            made->claims.push_back(waiting);
        }
        else {
            *made->record.add_settlements() = *waiting->settlement;
            made->settlements.push_back(waiting);
        }
    }
    if (made->claims.empty() && made->settlements.empty()) {
        return nullptr;
    }
    made->record.set_id(random_id(random_));
    made->record.set_writer(settings_.writer);
    made->record.set_format(order_record_format);
    made->record.set_written_at_ms(wall_clock_ms());
    made->record.set_window_ms(window_ms_);
    made->payload = made->record.SerializeAsString();
    return made;
}

/** Appends one record until it is judged or nobody waits for it. A second copy has the same record
 * id, so readers drop it.
 */
asio::awaitable<void>
order_stream::append_batch([[maybe_unused]] std::shared_ptr<order_stream> self, batch_handle sent)
{
    batches_[sent->record.id()] = sent;
    bool had_effect = false;
    while (!stopped_ && !sent->is_judged && !had_effect && sent->wanted()) {
        sent->set_maybe_appended(true);
        const auto result = co_await log_.append(settings_.stream, sent->payload);
        had_effect = take_append_result(*sent, result);
        if (!had_effect && !sent->is_judged) {
            sent->judged.expires_after(sent->pause);
            sent->pause = std::min(2 * sent->pause, longest_pause);
            co_await wait_on(sent->judged);
        }
    }
    --appends_in_flight_;
    release(wake_);
    if (!sent->is_judged) {
        sent->judged.expires_after(lost_record_timeout);
        co_await wait_on(sent->judged);
    }
    batches_.erase(sent->record.id());
}

/** \return true when the append had effect for certain. */
bool order_stream::take_append_result(batch& sent, const external_result<log_offset>& result)
{
    if (result) {
        append_interval_ = std::max(append_interval_ * 15 / 16, settings_.batch_delay);
        acknowledge_settlements(sent);
        return true;
    }
    const external_error code = result.last_reason().code;
    if (code == external_error::unclear) {
        sent.pause = std::max(sent.pause, read_back_wait);
        sent.unclear = true;
        return false;
    }
    if (code == external_error::overloaded) {
        append_interval_ = std::min(append_interval_ * 5 / 4, longest_append_interval);
        sent.pause = append_interval_;
    }
    else {
        log_trouble_ = true;
        order_log.warning("Append to ", settings_.stream, " failed: ", result.last_reason().reason);
    }
    if (!sent.unclear) {
        sent.set_maybe_appended(false);
    }
    return false;
}

/** The settlement of a key's known winner is kept once it stands in the stream; nothing can come
 * before it but the same attempt's own.
 */
void order_stream::acknowledge_settlements(batch& sent)
{
    for (const waiter_handle& waiting : sent.settlements) {
        const schema::order_settlement& settlement = *waiting->settlement;
        if (!waiting->is_answered() && table_.will_keep(settlement)) {
            waiting->answer(true);
        }
    }
}

asio::awaitable<void> order_stream::follow([[maybe_unused]] std::shared_ptr<order_stream> self)
{
    duration pause = shortest_pause;
    bool busy = false;
    while (!stopped_) {
        const duration wait = caught_up_ ? settings_.poll_wait : duration::zero();
        const log_offset from = position_;
        const time_point began = monotonic_clock::now();
        if (busy) {
            between_.expires_after(read_time_ / 2);
        }
        const auto read = co_await log_.read(settings_.stream, from, read_limit, wait);
        if (stopped_) {
            co_return;
        }
        if (!read) {
            log_trouble_ = true;
            pause_.expires_after(pause);
            pause = std::min(2 * pause, longest_pause);
            co_await wait_on(pause_);
            continue;
        }
        pause = shortest_pause;
        log_trouble_ = false;
        read_time_ = std::min(
            {monotonic_clock::now() - began, 2 * read_time_ + 1ms, duration(longest_read_time)});
        busy = !read->records.empty();
        take_records(*read, from);
    }
}

/** While records come all the time, a record that just missed a read would wait for a whole round
 * trip. So a second read starts half a round trip after the first.
 */
asio::awaitable<void>
order_stream::follow_between([[maybe_unused]] std::shared_ptr<order_stream> self)
{
    while (!stopped_) {
        between_.expires_at(time_point::max());
        co_await wait_on(between_);
        while (!stopped_ && between_.expiry() > monotonic_clock::now()) {
            co_await wait_on(between_); // The first reader set it anew.
        }
        if (stopped_) {
            co_return;
        }
        const log_offset from = position_;
        const auto read = co_await log_.read(settings_.stream, from, read_limit, duration::zero());
        if (read && !stopped_) {
            take_records(*read, from);
        }
    }
}

/** Two reads may overlap, so records that were taken already are passed over. */
void order_stream::take_records(const log_read& read, log_offset from)
{
    if (settings_.window_ms == 0) {
        window_ms_ = read.retention_ms / 2;
    }
    if (read.first_offset > position_ || read.next_offset < from) {
        order_log.info("Records of ", settings_.stream, " from offset ", position_,
                       " are gone; the first kept is ", read.first_offset);
        table_.mark_history_lost(read.next_offset, read.retention_ms);
        position_ = std::min(std::max(read.first_offset, position_), read.next_offset);
    }
    if (from > position_) {
        return; // Records in between are missing, since the other read found the log cut back.
    }
    for (const log_record& placed : read.records) {
        if (placed.offset < position_) {
            continue;
        }
        position_ = placed.offset + 1;
        schema::order_record record;
        if (!record.ParseFromString(placed.payload)) {
            order_log.error("A record of ", settings_.stream, " at offset ", placed.offset,
                            " can't be read and is ignored");
            continue;
        }
        take_verdicts(record.id(), table_.apply(record, placed.offset, placed.appended_at_ms));
    }
    caught_up_ = position_ >= read.next_offset;
}

void order_stream::take_verdicts(const std::string& record_id, const record_verdicts& verdicts)
{
    const auto found = batches_.find(record_id);
    if (found == batches_.end() || found->second->is_judged || verdicts.duplicate) {
        return;
    }
    batch& judged = *found->second;
    judged.is_judged = true;
    for (std::size_t i = 0; i < judged.claims.size(); ++i) {
        schema::claim_verdict verdict = verdicts.claims.at(i);
        const schema::order_claim& claim = *judged.claims[i]->claim;
        if (verdict.result() == schema::claim_refused &&
            table_.is_uncertain(claim.tenant(), claim.key())) {
            verdict.set_result(schema::claim_undecided); // It may have won for other readers.
        }
        judged.claims[i]->answer(std::move(verdict));
    }
    for (std::size_t i = 0; i < judged.settlements.size(); ++i) {
        judged.settlements[i]->answer(verdicts.settlements.at(i));
    }
    release(judged.judged);
}

} // namespace chervildyke
