/** \file
 * Implements admission over one fair_queue for each team.
 */
#include "routing/admission.h"

#include <algorithm>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/scope_guard.h"
#include "routing/wait_estimate.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr std::size_t default_max_queued_calls = 256;
constexpr duration min_retry_after = 1s;
constexpr double rate_burst_seconds = 1.0; // Size of a burst, in seconds of the rate.

struct waiter {
    explicit waiter(const asio::any_io_executor& executor) : wake(executor) {}
    timer wake;
    enum class outcome { waiting, admitted, refused } result = outcome::waiting;
};

struct team_queue_state {
    fair_queue queue;
    std::uint32_t in_use = 0;
    wait_estimate wait;
};

queued_call make_queued_call(const admission_request& request)
{
    queued_call call;
    call.tenant = request.tenant;
    call.share = request.share;
    call.priority = request.priority;
    call.deadline = request.deadline;
    return call;
}

struct tenant_usage {
    std::uint32_t in_use = 0; // Calls admitted or queued.
    double rate_tokens = 0;
    time_point filled_at{}; // When the token bucket was last refilled; unset without a rate limit.
};

} // namespace

struct admission::state : std::enable_shared_from_this<admission::state> {
    asio::any_io_executor executor;
    capacity_hook capacity;
    std::map<std::string, team_queue_state> teams;
    std::map<std::string, tenant_usage> tenants;
    std::map<std::uint64_t, waiter*> waiters;
    std::uint64_t next_id = 0;
    std::size_t admitted = 0;

    std::optional<admission_refusal> check_tenant(const admission_request& request);
    bool take_rate_token(const admission_request& request, tenant_usage& usage) const;
    std::optional<admission_refusal> check_queue(const admission_request& request,
                                                 const team_queue_state& team,
                                                 std::uint32_t capacity_now) const;
    asio::awaitable<bool> wait_in_queue(const admission_request& request, team_queue_state& team);
    admission_ticket_ptr issue_ticket(const admission_request& request, team_queue_state& team);
    void release_slot(const std::string& team, const std::string& tenant, duration held);
    void release_tenant(const std::string& tenant);
    void admit_waiting(const std::string& name, team_queue_state& team);
};

bool admission::state::take_rate_token(const admission_request& request, tenant_usage& usage) const
{
    if (request.max_calls_per_second == 0) {
        return true;
    }
    const time_point now = monotonic_clock::now();
    const double rate = request.max_calls_per_second;
    const double passed = std::chrono::duration<double>(now - usage.filled_at).count();
    usage.rate_tokens =
        std::min(usage.rate_tokens + passed * rate, std::max(1.0, rate * rate_burst_seconds));
    usage.filled_at = now;
    if (usage.rate_tokens < 1.0) {
        return false;
    }
    usage.rate_tokens -= 1.0;
    return true;
}

std::optional<admission_refusal> admission::state::check_tenant(const admission_request& request)
{
    tenant_usage& usage = tenants[request.tenant];
    if (request.max_concurrent_calls > 0 && usage.in_use >= request.max_concurrent_calls) {
        return admission_refusal{admission_error::tenant_concurrency,
                                 "the tenant has reached its limit of concurrent calls",
                                 min_retry_after};
    }
    if (!take_rate_token(request, usage)) {
        return admission_refusal{admission_error::tenant_rate,
                                 "the tenant exceeds its limit of calls per second",
                                 min_retry_after};
    }
    return std::nullopt;
}

std::optional<admission_refusal> admission::state::check_queue(const admission_request& request,
                                                               const team_queue_state& team,
                                                               std::uint32_t capacity_now) const
{
    const std::size_t max_queued =
        request.max_queued_calls > 0 ? request.max_queued_calls : default_max_queued_calls;
    const queued_call call = make_queued_call(request);
    const wait_estimate::capacity available{capacity_now, team.in_use};
    const duration retry_after =
        std::max(min_retry_after, team.wait.mean_wait(team.queue, call, available));
    if (team.queue.size_of(request.tenant) >=
        team.queue.max_queued_of(request.tenant, request.share, max_queued)) {
        return admission_refusal{admission_error::queue_full,
                                 "the tenant's share of the team's queue is full", retry_after};
    }
    const time_point now = monotonic_clock::now();
    const duration longest = request.deadline - now - team.wait.max_service_time();
    if (team.wait.max_wait(team.queue, call, available, longest, now) > longest) {
        return admission_refusal{admission_error::deadline_unreachable,
                                 "the team is not expected to answer the call by its deadline",
                                 retry_after};
    }
    return std::nullopt;
}

admission_ticket_ptr admission::state::issue_ticket(const admission_request& request,
                                                    team_queue_state& team)
{
    ++team.in_use;
    ++admitted;
    return std::make_unique<admission_ticket>(shared_from_this(), request.team, request.tenant);
}

void admission::state::release_slot(const std::string& name, const std::string& tenant,
                                    duration held)
{
    team_queue_state& team = teams[name];
    --team.in_use;
    --admitted;
    team.wait.note_service_time(held);
    release_tenant(tenant);
    admit_waiting(name, team);
}

void admission::state::release_tenant(const std::string& tenant)
{
    tenant_usage& usage = tenants[tenant];
    --usage.in_use;
    if (usage.in_use == 0 && usage.filled_at == time_point{}) {
        tenants.erase(tenant); // A tenant without a rate limit has no other state.
    }
}

void admission::state::admit_waiting(const std::string& name, team_queue_state& team)
{
    const std::uint32_t capacity_now = capacity(name);
    while (team.in_use < capacity_now) {
        const auto next = team.queue.pop();
        if (!next) {
            return;
        }
        waiter& waiting = *waiters.at(next->id);
        const bool in_time = monotonic_clock::now() + team.wait.service_time() <= next->deadline;
        waiting.result = in_time ? waiter::outcome::admitted : waiter::outcome::refused;
        if (in_time) {
            ++team.in_use;
            ++admitted;
        }
        waiting.wake.cancel();
    }
}

asio::awaitable<bool> admission::state::wait_in_queue(const admission_request& request,
                                                      team_queue_state& team)
{
    waiter waiting(executor);
    queued_call call = make_queued_call(request);
    call.id = ++next_id;
    team.queue.push(call);
    waiters.emplace(call.id, &waiting);
    const scope_guard remove_waiter([&] {
        waiters.erase(call.id);
        team.queue.remove(call.id);
    });
    scope_guard release_unused_slot([&] {
        if (waiting.result == waiter::outcome::admitted) {
            --team.in_use; // The task was cancelled after it was admitted and before it resumed.
            --admitted;
            admit_waiting(request.team, team);
        }
    });
    // The call is refused as soon as it can no longer be answered by its deadline.
    waiting.wake.expires_at(
        std::max(request.deadline - team.wait.service_time(), monotonic_clock::now()));
    admit_waiting(request.team, team);
    if (waiting.result == waiter::outcome::waiting) {
        co_await waiting.wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    release_unused_slot.dismiss();
    co_return waiting.result == waiter::outcome::admitted;
}

admission::admission(asio::any_io_executor executor, capacity_hook capacity)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->capacity = std::move(capacity);
}

admission::~admission() = default;

asio::awaitable<admission_decision> admission::admit(admission_request request)
{
    const auto self = state_;
    admission_decision decision;
    if (auto refusal = self->check_tenant(request)) {
        decision.refusal = std::move(*refusal);
        co_return decision;
    }
    team_queue_state& team = self->teams[request.team];
    const std::uint32_t capacity_now = self->capacity(request.team);
    if (capacity_now == 0) {
        decision.refusal = {admission_error::no_capacity, "the team has no serving replica",
                            min_retry_after};
        co_return decision;
    }
    ++self->tenants[request.tenant].in_use;
    scope_guard release_on_refusal([&] { self->release_tenant(request.tenant); });
    if (team.in_use < capacity_now && team.queue.size() == 0) {
        team.wait.note_arrival(request.tenant, request.priority, monotonic_clock::now());
        decision.ticket = self->issue_ticket(request, team);
        release_on_refusal.dismiss();
        co_return decision;
    }
    if (auto refusal = self->check_queue(request, team, capacity_now)) {
        decision.refusal = std::move(*refusal);
        co_return decision;
    }
    decision.within_share = team.queue.size_of(request.tenant) == 0;
    const time_point queued_at = monotonic_clock::now();
    team.wait.note_arrival(request.tenant, request.priority, queued_at);
    const bool was_admitted = co_await self->wait_in_queue(request, team);
    decision.waited = monotonic_clock::now() - queued_at;
    if (was_admitted) {
        decision.ticket = std::make_unique<admission_ticket>(self, request.team, request.tenant);
        release_on_refusal.dismiss();
        co_return decision;
    }
    decision.refusal = {admission_error::deadline_unreachable,
                        "the call can no longer be answered by its deadline", min_retry_after};
    co_return decision;
}

void admission::capacity_changed()
{
    for (auto& [name, team] : state_->teams) {
        state_->admit_waiting(name, team);
    }
}

std::size_t admission::waiting() const
{
    return state_->waiters.size();
}

std::size_t admission::admitted() const
{
    return state_->admitted;
}

duration admission::mean_service_time(const std::string& team) const
{
    const auto found = state_->teams.find(team);
    return found == state_->teams.end() ? wait_estimate().service_time()
                                        : found->second.wait.service_time();
}

admission_ticket::admission_ticket(std::shared_ptr<admission::state> owner, std::string team,
                                   std::string tenant)
    : owner_(std::move(owner)), team_(std::move(team)), tenant_(std::move(tenant)),
      admitted_at_(monotonic_clock::now())
{
}

admission_ticket::~admission_ticket()
{
    owner_->release_slot(team_, tenant_, monotonic_clock::now() - admitted_at_);
}

} // namespace chervildyke
