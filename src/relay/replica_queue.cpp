/** \file
 * Implements replica_queue.
 */
#include "relay/replica_queue.h"

#include <cmath>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

// Calls of one model that are tried without success before the others are left waiting. Those
// differ at most in the replicas they have tried.
constexpr std::size_t max_failed_admissions = 4;

std::string to_text(const replica_selection& found)
{
    return std::to_string(found.serving) + " replicas, " + std::to_string(found.full) + " full, " +
           std::to_string(found.stalled) + " stalled, " + std::to_string(found.excluded) +
           " excluded" +
           (found.cold > 0 ? ", " + std::to_string(found.cold) + " of the full ones cold" : "");
}

} // namespace

struct replica_queue::waiter {
    waiter(const asio::any_io_executor& executor, replica_queue_request queued)
        : wake(executor), request(std::move(queued))
    {
    }

    timer wake;
    replica_queue_request request;
    std::optional<replica_queue_result> result;
};

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
                             replica_queue_settings settings)
    : executor_(std::move(executor)), balancer_(balancer), settings_(settings)
{
}

std::optional<replica_queue_result> replica_queue::try_admit(const replica_queue_request& request)
{
    const time_point now = monotonic_clock::now();
    replica_selection found = balancer_.choose(request.wanted, request.fill_limit, now);
    replica_queue_result result;
    if (found.serving == 0) {
        result.outcome = replica_queue_outcome::no_replica;
        result.paused_until = found.paused_until;
        return result;
    }
    if (!found.selected) {
        return std::nullopt;
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
    record_admission(model_queues_[request.wanted.service + "/" + request.wanted.model],
                     monotonic_clock::now());
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
    model_queue& queue = model_queues_[request.wanted.service + "/" + request.wanted.model];
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

void replica_queue::admit_waiting()
{
    if (admitting_ || closed_) {
        return; // An admitted call that fails immediately calls this function again.
    }
    admitting_ = true;
    for (auto& [name, queue] : model_queues_) {
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
