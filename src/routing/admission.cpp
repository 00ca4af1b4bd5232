/** \file
 * Implements admission over one fair_queue for each team.
 */
#include "routing/admission.h"

#include <algorithm>
#include <optional>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/scope_guard.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr std::size_t default_queue_places = 256;
constexpr duration default_hold = 500ms; // Before any call has ended.
constexpr double new_hold_share = 0.05;
constexpr duration min_retry_after = 1s;
constexpr double wait_margin = 1.1; // Over the estimate, so that calls let in are not late.
constexpr double new_ratio_share = 0.05;
constexpr double rate_burst_s = 1.0; // Seconds of the rate that may come at once.

struct waiter {
    explicit waiter(const asio::any_io_executor& executor) : wake(executor) {}
    timer wake;
    enum class verdict { waiting, admitted, refused } verdict = verdict::waiting;
};

struct team_state {
    fair_queue queue;
    std::uint32_t in_use = 0;
    double mean_hold_ns = static_cast<double>(default_hold.count());
    double wait_ratio = 1.0; // Of measured waits to their estimates.

    void note_wait(double ratio)
    {
        wait_ratio += new_ratio_share * (std::clamp(ratio, 0.5, 4.0) - wait_ratio);
    }
    duration hold() const { return duration(static_cast<std::int64_t>(mean_hold_ns)); }
};

struct tenant_usage {
    std::uint32_t in_use = 0; // Admitted or waiting.
    double tokens = 0;
    time_point filled_at{};
};

} // namespace

struct admission::state : std::enable_shared_from_this<admission::state> {
    asio::any_io_executor executor;
    capacity_hook capacity;
    std::map<std::string, team_state> teams;
    std::map<std::string, tenant_usage> tenants;
    std::map<std::uint64_t, waiter*> waiters;
    std::uint64_t next_id = 0;
    std::size_t admitted = 0;

    std::optional<admission_refusal> check_tenant(const admission_request& request);
    bool take_rate(const admission_request& request, tenant_usage& usage) const;
    std::optional<admission_refusal> check_queue(const admission_request& request,
                                                 const team_state& team, std::uint32_t room) const;
    asio::awaitable<bool> wait_in_queue(const admission_request& request, team_state& team);
    admission_ticket_ptr admit(const admission_request& request, team_state& team);
    void leave(const std::string& team, const std::string& tenant, duration held);
    void release_tenant(const std::string& tenant);
    void let_in(const std::string& name, team_state& team);
};

bool admission::state::take_rate(const admission_request& request, tenant_usage& usage) const
{
    if (request.max_calls_per_second == 0) {
        return true;
    }
    const time_point now = monotonic_clock::now();
    const double rate = request.max_calls_per_second;
    const double passed = std::chrono::duration<double>(now - usage.filled_at).count();
    usage.tokens = std::min(usage.tokens + passed * rate, std::max(1.0, rate * rate_burst_s));
    usage.filled_at = now;
    if (usage.tokens < 1.0) {
        return false;
    }
    usage.tokens -= 1.0;
    return true;
}

std::optional<admission_refusal> admission::state::check_tenant(const admission_request& request)
{
    tenant_usage& usage = tenants[request.tenant];
    if (request.max_concurrent_calls > 0 && usage.in_use >= request.max_concurrent_calls) {
        return admission_refusal{admission_error::tenant_concurrency,
                                 "the tenant has as many calls in progress as it may",
                                 min_retry_after};
    }
    if (!take_rate(request, usage)) {
        return admission_refusal{admission_error::tenant_rate,
                                 "the tenant calls faster than it may", min_retry_after};
    }
    return std::nullopt;
}

std::optional<admission_refusal> admission::state::check_queue(const admission_request& request,
                                                               const team_state& team,
                                                               std::uint32_t room) const
{
    const std::size_t places =
        request.max_queued_calls > 0 ? request.max_queued_calls : default_queue_places;
    const double before = team.queue.calls_before(request.tenant, request.share) + 1.0;
    const double wait_ns = before * team.mean_hold_ns / room * team.wait_ratio * wait_margin;
    const duration wait(static_cast<std::int64_t>(wait_ns));
    const duration retry_after = std::max(min_retry_after, wait);
    if (team.queue.size_of(request.tenant) >=
        team.queue.places_of(request.tenant, request.share, places)) {
        return admission_refusal{admission_error::queue_full, "too many calls wait for this team",
                                 retry_after};
    }
    if (monotonic_clock::now() + wait + team.hold() > request.deadline) {
        return admission_refusal{admission_error::too_late,
                                 "the team can't answer this call by its deadline", retry_after};
    }
    return std::nullopt;
}

admission_ticket_ptr admission::state::admit(const admission_request& request, team_state& team)
{
    ++team.in_use;
    ++admitted;
    return std::make_unique<admission_ticket>(shared_from_this(), request.team, request.tenant);
}

void admission::state::leave(const std::string& name, const std::string& tenant, duration held)
{
    team_state& team = teams[name];
    --team.in_use;
    --admitted;
    team.mean_hold_ns += new_hold_share * (static_cast<double>(held.count()) - team.mean_hold_ns);
    release_tenant(tenant);
    let_in(name, team);
}

void admission::state::release_tenant(const std::string& tenant)
{
    tenant_usage& usage = tenants[tenant];
    --usage.in_use;
    if (usage.in_use == 0 && usage.filled_at == time_point{}) {
        tenants.erase(tenant); // Nothing to remember of a tenant without a rate.
    }
}

void admission::state::let_in(const std::string& name, team_state& team)
{
    const std::uint32_t room = capacity(name);
    while (team.in_use < room) {
        const auto next = team.queue.pop();
        if (!next) {
            return;
        }
        waiter& waiting = *waiters.at(next->id);
        const bool in_time = monotonic_clock::now() + team.hold() <= next->deadline;
        waiting.verdict = in_time ? waiter::verdict::admitted : waiter::verdict::refused;
        if (in_time) {
            ++team.in_use;
            ++admitted;
        }
        waiting.wake.cancel();
    }
}

asio::awaitable<bool> admission::state::wait_in_queue(const admission_request& request,
                                                      team_state& team)
{
    waiter waiting(executor);
    queued_call call;
    call.id = ++next_id;
    call.tenant = request.tenant;
    call.share = request.share;
    call.priority = request.priority;
    call.deadline = request.deadline;
    team.queue.push(call);
    waiters.emplace(call.id, &waiting);
    const scope_guard forget([&] {
        waiters.erase(call.id);
        team.queue.remove(call.id);
    });
    scope_guard give_back([&] {
        if (waiting.verdict == waiter::verdict::admitted) {
            --team.in_use; // The task was cancelled between being let in and going on.
            --admitted;
            let_in(request.team, team);
        }
    });
    // Refused as soon as it can no longer be answered by its deadline.
    waiting.wake.expires_at(std::max(request.deadline - team.hold(), monotonic_clock::now()));
    let_in(request.team, team);
    if (waiting.verdict == waiter::verdict::waiting) {
        co_await waiting.wake.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    give_back.dismiss();
    co_return waiting.verdict == waiter::verdict::admitted;
}

admission::admission(asio::any_io_executor executor, capacity_hook capacity)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->capacity = std::move(capacity);
}

admission::~admission() = default;

asio::awaitable<admission_verdict> admission::enter(admission_request request)
{
    const auto self = state_;
    admission_verdict verdict;
    if (auto refusal = self->check_tenant(request)) {
        verdict.refusal = std::move(*refusal);
        co_return verdict;
    }
    team_state& team = self->teams[request.team];
    const std::uint32_t room = self->capacity(request.team);
    if (room == 0) {
        verdict.refusal = {admission_error::no_capacity, "the team has no replica that serves",
                           min_retry_after};
        co_return verdict;
    }
    ++self->tenants[request.tenant].in_use;
    scope_guard release([&] { self->release_tenant(request.tenant); });
    if (team.in_use < room && team.queue.size() == 0) {
        verdict.ticket = self->admit(request, team);
        release.dismiss();
        co_return verdict;
    }
    if (auto refusal = self->check_queue(request, team, room)) {
        verdict.refusal = std::move(*refusal);
        co_return verdict;
    }
    verdict.within_share = team.queue.size_of(request.tenant) == 0;
    const time_point began = monotonic_clock::now();
    const double before = team.queue.calls_before(request.tenant, request.share) + 1.0;
    const double estimate_ns = before * team.mean_hold_ns / room;
    const bool let_in = co_await self->wait_in_queue(request, team);
    verdict.waited = monotonic_clock::now() - began;
    team.note_wait(static_cast<double>(verdict.waited.count()) / estimate_ns);
    if (let_in) {
        verdict.ticket = std::make_unique<admission_ticket>(self, request.team, request.tenant);
        release.dismiss();
        co_return verdict;
    }
    verdict.refusal = {admission_error::too_late, "the call waited as long as its deadline allows",
                       min_retry_after};
    co_return verdict;
}

void admission::capacity_changed()
{
    for (auto& [name, team] : state_->teams) {
        state_->let_in(name, team);
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

duration admission::mean_hold(const std::string& team) const
{
    const auto found = state_->teams.find(team);
    return found == state_->teams.end()
               ? default_hold
               : duration(static_cast<std::int64_t>(found->second.mean_hold_ns));
}

admission_ticket::admission_ticket(std::shared_ptr<admission::state> owner, std::string team,
                                   std::string tenant)
    : owner_(std::move(owner)), team_(std::move(team)), tenant_(std::move(tenant)),
      began_(monotonic_clock::now())
{
}

admission_ticket::~admission_ticket()
{
    owner_->leave(team_, tenant_, monotonic_clock::now() - began_);
}

} // namespace chervildyke
