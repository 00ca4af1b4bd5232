/** \file
 * Implements replica_queue.
 */
#include "relay/replica_queue.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

// Calls of one model that are tried without success before the others are left waiting. Those
// differ at most in the replicas they have tried.
constexpr std::size_t max_failed_admissions = 4;

// Between two reviews of the calls that wait for a model; peers report at twice this interval.
constexpr duration review_interval = 50ms;

std::string to_text(const replica_selection& found)
{
    return std::to_string(found.serving) + " replicas, " + std::to_string(found.full) + " full, " +
           std::to_string(found.stalled) + " stalled, " + std::to_string(found.excluded) +
           " excluded" +
           (found.cold > 0 ? ", " + std::to_string(found.cold) + " of the full ones cold" : "");
}

std::string name_of(const replica_request& wanted)
{
    return wanted.service + "/" + wanted.model;
}

} // namespace

struct replica_queue::waiter {
    waiter(const asio::any_io_executor& executor, replica_queue_request queued)
        : wake(executor), request(std::move(queued))
    {
    }

    timer wake;
    replica_queue_request request;
    call_rank rank; // As of its place in the queue.
    std::optional<replica_queue_result> result;
};

rank_counts replica_queue::counts_of(const waiter_map& waiters)
{
    rank_counts counts;
    for (const auto& [id, waiting] : waiters) {
        if (waiting->request.overload && !waiting->result) {
            ++counts[waiting->rank];
        }
    }
    return counts;
}

const char* to_text(replica_queue_outcome outcome)
{
    switch (outcome) {
    case replica_queue_outcome::admitted:
        return "admitted";
    case replica_queue_outcome::no_replica:
        return "no replica serves the model";
    case replica_queue_outcome::too_many_waiting:
        return "too many calls wait for the model";
    case replica_queue_outcome::waited_too_long:
        return "no replica had a free slot in time";
    }
    return "unknown";
}

replica_queue::replica_queue(asio::any_io_executor executor, replica_balancer& balancer,
                             replica_queue_settings settings, random_source random)
    : executor_(std::move(executor)), balancer_(balancer), settings_(settings),
      random_(std::move(random))
{
}

std::optional<replica_queue_result> replica_queue::try_admit(const replica_queue_request& request)
{
    const time_point now = monotonic_clock::now();
    double fill_limit = request.fill_limit;
    const std::string name = name_of(request.wanted);
    std::optional<call_rank> rank;
    if (request.overload) {
        rank = rank_of(*request.overload, now);
        fill_limit = rank_fill_limit(*rank, model_queues_[name].load.earlier_arrived(*rank, now),
                                     balancer_.batch_slots(request.wanted.service));
    }
    replica_selection found = balancer_.choose(request.wanted, fill_limit, now);
    replica_queue_result result;
    result.rank = rank;
    if (found.serving == 0) {
        result.outcome = replica_queue_outcome::no_replica;
        result.paused_until = found.paused_until;
        return result;
    }
    if (!found.selected || (rank && found.open_slots <= peers_.before(name, *rank, now))) {
        return std::nullopt; // The free slots are for the earlier ranks that wait at other nodes.
    }
    if (rank) {
        model_queues_[name].load.note_admission(*rank, now);
        report("started", *rank);
    }
    result.outcome = replica_queue_outcome::admitted;
    if (balancer_.on_chosen) {
        balancer_.on_chosen(found.selected->replica, now);
    }
    result.slot = std::make_unique<replica_balancer::call>(balancer_, found.selected->replica.epoch,
                                                           request.wanted.prompt_tokens, now);
    result.selected = std::move(found.selected);
    return result;
}

std::optional<replica_queue_result> replica_queue::admit_now(const replica_queue_request& request)
{
    if (closed_) {
        return std::nullopt;
    }
    auto result = try_admit(request);
    if (!result || result->outcome != replica_queue_outcome::admitted) {
        return std::nullopt;
    }
    record_admission(model_queues_[name_of(request.wanted)], monotonic_clock::now());
    return result;
}

void replica_queue::record_admission(model_queue& queue, time_point now)
{
    const double window = std::chrono::duration<double>(settings_.rate_window).count();
    const double passed = std::chrono::duration<double>(now - queue.rate_at).count();
    queue.admissions_per_s = queue.admissions_per_s * std::exp(-passed / window) + 1 / window;
    queue.rate_at = now;
}

bool replica_queue::must_refuse(const model_queue& queue, const replica_queue_request& request,
                                time_point now) const
{
    if (queue.waiters.size() >= settings_.max_waiting) {
        return true;
    }
    const double max_wait = std::chrono::duration<double>(request.wait_until - now).count();
    const double ahead = queue.order.expected_calls_ahead(request.team, 1);
    // Without recent admissions the wait can't be estimated; the call may wait.
    return queue.admissions_per_s > 1 && ahead / queue.admissions_per_s > max_wait;
}

asio::awaitable<replica_queue_result> replica_queue::admit(replica_queue_request request)
{
    if (request.overload) {
        co_return co_await admit_by_rank(std::move(request));
    }
    model_queue& queue = model_queues_[name_of(request.wanted)];
    const time_point now = monotonic_clock::now();
    if (queue.waiters.empty() && !closed_) {
        if (auto result = try_admit(request)) {
            record_admission(queue, now);
            co_return std::move(*result);
        }
    }
    replica_queue_result refused;
    refused.replica_summary = to_text(balancer_.choose(request.wanted, request.fill_limit, now));
    if (request.wait_until <= now || closed_) {
        refused.outcome = replica_queue_outcome::waited_too_long;
        co_return refused;
    }
    if (!request.is_failover && must_refuse(queue, request, now)) {
        refused.outcome = replica_queue_outcome::too_many_waiting;
        co_return refused;
    }
    const std::uint64_t id = next_id_++;
    queued_call queued;
    queued.id = id;
    queued.tenant = request.team;
    queued.priority = request.urgency;
    queued.deadline = request.wait_until;
    auto waiting = std::make_shared<waiter>(executor_, std::move(request));
    queue.order.push(queued);
    queue.waiters[id] = waiting;
    waiting->wake.expires_at(waiting->request.wait_until);
    co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    queue.waiters.erase(id);
    queue.order.remove(id);
    if (waiting->result) {
        co_return std::move(*waiting->result);
    }
    refused.outcome = replica_queue_outcome::waited_too_long;
    co_return refused;
}

asio::awaitable<replica_queue_result> replica_queue::admit_by_rank(replica_queue_request request)
{
    const std::string name = name_of(request.wanted);
    model_queue& queue = model_queues_[name];
    const time_point now = monotonic_clock::now();
    const overload_terms terms = *request.overload;
    const call_rank rank = rank_of(terms, now);
    queue.load.note_arrival(rank, now);
    const rank_counts waiting_here = counts_of(queue.waiters);
    const bool is_first = waiting_here.empty() || rank < waiting_here.begin()->first;
    if (is_first && !closed_) {
        if (auto result = try_admit(request)) {
            co_return std::move(*result);
        }
    }
    queued_call queued;
    queued.id = next_id_++;
    queued.tenant = request.team;
    queued.deadline = terms.start_by;
    queued.delay = queue_delay(terms);
    const auto wait_as = [&](const call_rank& judged) {
        queued_call placed = queued;
        placed.priority = queue_priority(judged);
        const auto ahead = static_cast<double>(queue.order.calls_ahead(placed));
        return wait_of(name, queue, judged, ahead, now);
    };
    const std::optional<duration> wait = wait_as(rank);
    const std::optional<duration> late_wait = wait_as({call_standing::late, rank.priority});
    const bool is_full =
        queue.waiters.size() >= settings_.max_waiting ||
        queue.order.size_of(request.team) >=
            queue.order.max_queued_of(request.team, queued.share, settings_.max_waiting);
    if (terms.start_by <= now || closed_ || (is_full && !terms.has_started) ||
        should_refuse(terms, wait, late_wait, now)) {
        report("refused", rank);
        co_return refusal(request, replica_queue_outcome::too_many_waiting, late_wait, now);
    }
    report("waiting", rank);
    queued.priority = queue_priority(rank);
    auto waiting = std::make_shared<waiter>(executor_, std::move(request));
    waiting->rank = rank;
    queue.order.push(queued);
    queue.waiters[queued.id] = waiting;
    waiting->wake.expires_at(terms.start_by);
    co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    queue.waiters.erase(queued.id);
    queue.order.remove(queued.id);
    if (waiting->result) {
        co_return std::move(*waiting->result);
    }
    report("given_up", waiting->rank);
    co_return refusal(waiting->request, replica_queue_outcome::waited_too_long, std::nullopt,
                      monotonic_clock::now());
}

/** \return the expected wait of a call for the named model.
 * \param local_ahead calls of this node that go before it.
 */
std::optional<duration> replica_queue::wait_of(const std::string& name, const model_queue& queue,
                                               const call_rank& rank, double local_ahead,
                                               time_point now) const
{
    double earlier_here = 0;
    double same_here = 0;
    for (const auto& [other, calls] : counts_of(queue.waiters)) {
        earlier_here += other < rank ? calls : 0;
        same_here += other == rank ? calls : 0;
    }
    // Of the calls of its rank elsewhere, as many go before it as here by the shares of teams.
    const double same_ahead = std::clamp(local_ahead - earlier_here, 0.0, same_here);
    const double part = same_here > 0 ? same_ahead / same_here : 1;
    const std::size_t slash = name.find('/');
    const std::uint32_t running =
        balancer_.running_calls_of_model(name.substr(0, slash), name.substr(slash + 1), now);
    rank_load load;
    load.calls_ahead =
        local_ahead + peers_.before(name, rank, now) + part * peers_.at(name, rank, now);
    load.admissions_per_s = running / std::chrono::duration<double>(queue.load.mean_held()).count();
    load.share = queue.load.share_from(rank, now);
    return expected_wait(load);
}

/** \param wait the expected wait, which is logged and bounds the Retry-After. */
replica_queue_result replica_queue::refusal(const replica_queue_request& request,
                                            replica_queue_outcome outcome,
                                            std::optional<duration> wait, time_point now)
{
    const call_rank rank = rank_of(*request.overload, now);
    const replica_selection found = balancer_.choose(request.wanted, 1, now);
    replica_queue_result refused;
    refused.outcome = found.serving == 0 ? replica_queue_outcome::no_replica : outcome;
    refused.paused_until = found.paused_until;
    refused.rank = rank;
    refused.retry_after = overload_retry_after(rank, wait, request.overload->deadline - now,
                                               random_fraction(random_));
    refused.replica_summary = to_text(found) + ", rank " + to_text(rank) + ", expected wait " +
                              (wait ? to_ms_text(*wait) + " ms" : std::string("unknown"));
    return refused;
}

/** Gives the waiting calls their present rank, and refuses those that are no longer expected to
 * start in time.
 */
void replica_queue::review_waiting(const std::string& name, model_queue& queue, time_point now)
{
    if (queue.waiters.empty() || now - queue.reviewed_at < review_interval) {
        return;
    }
    queue.reviewed_at = now;
    for (const auto& [id, waiting] : queue.waiters) {
        if (waiting->request.overload && !waiting->result) {
            waiting->rank = rank_of(*waiting->request.overload, now);
            queue.order.set_priority(id, queue_priority(waiting->rank));
        }
    }
    double ahead = 0;
    for (const std::uint64_t id : queue.order.ids()) {
        const auto found = queue.waiters.find(id);
        if (found == queue.waiters.end() || found->second->result) {
            continue;
        }
        waiter& waiting = *found->second;
        const auto& terms = waiting.request.overload;
        if (!terms) {
            ++ahead;
            continue;
        }
        const auto wait = wait_of(name, queue, waiting.rank, ahead, now);
        std::optional<duration> late_wait = wait;
        if (waiting.rank.standing == call_standing::in_time) {
            const call_rank late{call_standing::late, waiting.rank.priority};
            late_wait = wait_of(name, queue, late, ahead, now);
        }
        if (!should_give_up(*terms, wait, late_wait, now)) {
            ++ahead;
            continue;
        }
        report("given_up", waiting.rank);
        waiting.result =
            refusal(waiting.request, replica_queue_outcome::too_many_waiting, late_wait, now);
        waiting.wake.cancel();
        queue.order.remove(id);
    }
}

void replica_queue::report(const char* decision, const call_rank& rank) const
{
    if (on_decision) {
        on_decision(decision, rank);
    }
}

void replica_queue::note_held(const std::string& service, const std::string& model, duration held)
{
    model_queues_[service + "/" + model].load.note_held(held);
}

waiting_counts replica_queue::own_waiting() const
{
    waiting_counts waiting;
    for (const auto& [name, queue] : model_queues_) {
        if (rank_counts counts = counts_of(queue.waiters); !counts.empty()) {
            waiting[name] = std::move(counts);
        }
    }
    return waiting;
}

void replica_queue::admit_waiting()
{
    if (admitting_ || closed_) {
        return; // An admitted call that fails immediately calls this function again.
    }
    admitting_ = true;
    for (auto& [name, queue] : model_queues_) {
        review_waiting(name, queue, monotonic_clock::now());
        std::vector<queued_call> without_slot;
        while (const auto next = queue.order.pop()) {
            const auto found = queue.waiters.find(next->id);
            if (found == queue.waiters.end()) {
                continue;
            }
            auto result = try_admit(found->second->request);
            if (!result) {
                without_slot.push_back(*next);
                if (without_slot.size() >= max_failed_admissions) {
                    break;
                }
                continue;
            }
            record_admission(queue, monotonic_clock::now());
            found->second->result = std::move(result);
            found->second->wake.cancel();
        }
        for (const queued_call& call : without_slot) {
            queue.order.push(call);
        }
    }
    admitting_ = false;
}

void replica_queue::close()
{
    closed_ = true;
    for (const auto& [name, queue] : model_queues_) {
        for (const auto& [id, waiting] : queue.waiters) {
            waiting->wake.cancel();
        }
    }
}

std::size_t replica_queue::waiting() const
{
    std::size_t count = 0;
    for (const auto& [name, queue] : model_queues_) {
        count += queue.waiters.size();
    }
    return count;
}

} // namespace chervildyke
