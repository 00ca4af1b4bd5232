/** \file
 * Implements vm_watcher.
 */
#include "replicas/vm_watcher.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/hash.h"
#include "members/watch_assignment.h"

namespace chervildyke {

namespace {

constexpr int steps_per_interval = 5;
constexpr int prioritized_polls_per_interval = 4;
constexpr duration max_step_interval = 100ms;

} // namespace

struct vm_watcher::state : std::enable_shared_from_this<vm_watcher::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          vm_watcher_hooks the_hooks, vm_watcher_options the_options)
        : executor(std::move(the_executor)), self(std::move(the_self)), table(the_table),
          hooks(std::move(the_hooks)), options(the_options)
    {
    }

    struct assignment {
        std::vector<std::string> watchers; // The first one polls the VM in each interval.
        time_point next_poll_at{};
        bool is_polling = false;
    };

    void step(time_point now);
    void update_assignments(time_point now);
    void poll_due_vms(time_point now);
    void pull_from_peers(time_point now);
    bool is_due(const std::string& name, const assignment& assigned, time_point now) const;
    bool is_first_watcher_of(const std::string& vm) const;
    duration poll_timeout() const;
    duration report_overdue_after() const;
    std::vector<std::string> silent_vms_watched_by(const std::string& peer, time_point now) const;
    void notify_answer();
    void notify_change();

    boost::asio::awaitable<void> read_list();
    boost::asio::awaitable<void> poll(std::string vm, std::string address, vm_role role);
    boost::asio::awaitable<void> pull(std::string peer);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    vm_watcher_hooks hooks;
    vm_watcher_options options;
    std::map<std::string, assignment> assignments;
    std::map<std::string, std::uint64_t> pulled_sequences;
    std::set<std::string> pulls_in_progress;
    std::set<std::string> prioritized;
    std::vector<std::string> assigned_members;
    std::uint64_t notified_change_count = 0;
    bool list_changed = false;
    bool reading_list = false;
    bool has_list = false;
    bool stopped = false;
    time_point next_list_at{};
    time_point next_pull_at{};
};

void vm_watcher::state::notify_answer()
{
    if (hooks.on_answer) {
        hooks.on_answer();
    }
    notify_change();
}

void vm_watcher::state::notify_change()
{
    if (hooks.on_change && table.change_count() != notified_change_count) {
        notified_change_count = table.change_count();
        hooks.on_change();
    }
}

duration vm_watcher::state::poll_timeout() const
{
    return std::min(table.bounds().detection_bound / 2, 2 * options.watch_interval);
}

/** \return the age from which a report is overdue. Reports of a first watcher that works are at
 * most one watch interval and one pull interval old; a tenth is added.
 */
duration vm_watcher::state::report_overdue_after() const
{
    return (options.watch_interval + options.pull_interval) * 11 / 10;
}

void vm_watcher::state::update_assignments(time_point now)
{
    std::vector<std::string> members = hooks.alive_members();
    std::sort(members.begin(), members.end());
    if (members == assigned_members && !list_changed) {
        return;
    }
    const bool members_changed = members != assigned_members;
    std::map<std::string, assignment> updated;
    for (const auto& [name, vm] : table.fleet().vms) {
        if (vm.role == vm_role::other || vm.presence == vm_presence::gone) {
            continue;
        }
        const auto known = assignments.find(name);
        assignment next;
        if (known != assignments.end()) {
            next = known->second;
        }
        else {
            // Spreads the polls over the interval.
            const auto interval_ticks = static_cast<std::uint64_t>(options.watch_interval.count());
            const auto offset = placement_hash(name) % std::max<std::uint64_t>(interval_ticks, 1);
            next.next_poll_at = now + duration(static_cast<duration::rep>(offset));
        }
        if (members_changed || next.watchers.empty()) {
            next.watchers = watchers_of(name, members, options.watchers_per_vm);
        }
        updated.emplace(name, std::move(next));
    }
    assignments = std::move(updated);
    assigned_members = std::move(members);
    list_changed = false;
}

bool vm_watcher::state::is_first_watcher_of(const std::string& vm) const
{
    const auto found = assignments.find(vm);
    return found != assignments.end() && !found->second.watchers.empty() &&
           found->second.watchers.front() == self;
}

bool vm_watcher::state::is_due(const std::string& name, const assignment& assigned,
                               time_point now) const
{
    if (assigned.is_polling || now < assigned.next_poll_at) {
        return false;
    }
    const auto& watchers = assigned.watchers;
    if (prioritized.count(name) > 0) {
        return true;
    }
    if (std::find(watchers.begin(), watchers.end(), self) == watchers.end()) {
        return false;
    }
    const observed_vm* vm = table.fleet().find(name);
    const bool overdue = vm == nullptr || !vm->answered_within(report_overdue_after(), now);
    return watchers.front() == self || overdue;
}

void vm_watcher::state::poll_due_vms(time_point now)
{
    for (auto& [name, assigned] : assignments) {
        if (!is_due(name, assigned, now)) {
            continue;
        }
        const observed_vm* vm = table.fleet().find(name);
        if (vm == nullptr) {
            continue;
        }
        assigned.is_polling = true;
        const bool is_prioritized = prioritized.count(name) > 0;
        assigned.next_poll_at =
            now + (is_prioritized ? options.watch_interval / prioritized_polls_per_interval
                                  : options.watch_interval);
        boost::asio::co_spawn(executor, poll(name, vm->address, vm->role), boost::asio::detached);
    }
}

boost::asio::awaitable<void> vm_watcher::state::poll(std::string vm, std::string address,
                                                     vm_role role)
{
    const auto keep = shared_from_this();
    const time_point requested_at = monotonic_clock::now();
    if (role == vm_role::engine) {
        const auto report = co_await hooks.engine.report(address, poll_timeout());
        if (report && !stopped) {
            table.add_report(vm, *report, requested_at);
        }
    }
    else {
        bool healthy = true;
        if (hooks.service_health) {
            healthy = co_await hooks.service_health(address, poll_timeout());
        }
        if (healthy && !stopped) {
            table.add_health_check(vm, requested_at);
        }
    }
    const auto found = assignments.find(vm);
    if (found != assignments.end()) {
        found->second.is_polling = false;
    }
    if (!stopped) {
        notify_answer();
    }
}

boost::asio::awaitable<void> vm_watcher::state::read_list()
{
    const auto keep = shared_from_this();
    const auto list = co_await hooks.vm_list.list();
    reading_list = false;
    if (stopped || !list) {
        co_return;
    }
    table.apply_list(*list, monotonic_clock::now());
    has_list = true;
    list_changed = true;
    notify_answer();
}

/** \return the VMs that the peer watches, first or not, and that have been silent for half the
 * detection bound. The peer may have polled them while their first watcher could not reach them.
 */
std::vector<std::string> vm_watcher::state::silent_vms_watched_by(const std::string& peer,
                                                                  time_point now) const
{
    const duration max_age = table.bounds().detection_bound / 2;
    std::vector<std::string> silent;
    for (const auto& [name, assigned] : assignments) {
        const observed_vm* vm = table.fleet().find(name);
        const auto& watchers = assigned.watchers;
        const bool is_watcher = std::find(watchers.begin(), watchers.end(), peer) != watchers.end();
        if (is_watcher && vm != nullptr && !vm->lost_since && !vm->answered_within(max_age, now)) {
            silent.push_back(name);
        }
    }
    return silent;
}

void vm_watcher::state::pull_from_peers(time_point now)
{
    std::set<std::string> peers;
    for (const auto& [name, assigned] : assignments) {
        peers.insert(assigned.watchers.begin(), assigned.watchers.end());
    }
    for (const std::string& peer : peers) {
        if (peer != self && pulls_in_progress.insert(peer).second) {
            boost::asio::co_spawn(executor, pull(peer), boost::asio::detached);
        }
    }
    next_pull_at = now + options.pull_interval;
}

boost::asio::awaitable<void> vm_watcher::state::pull(std::string peer)
{
    const auto keep = shared_from_this();
    bool answered = false;
    // A batch that marks reports as unchanged which were replaced here is requested again, with all
    // reports.
    for (int attempt = 0; attempt < 2; ++attempt) {
        const time_point requested_at = monotonic_clock::now();
        schema::report_request request;
        request.set_after_sequence(pulled_sequences[peer]);
        const auto batch = co_await hooks.pull_reports(peer, request, poll_timeout());
        answered = batch && !stopped;
        if (!answered) {
            break;
        }
        const bool complete = table.merge(*batch, requested_at);
        pulled_sequences[peer] = complete ? batch->sequence() : 0;
        notify_answer();
        if (complete) {
            break;
        }
    }
    const std::vector<std::string> silent = silent_vms_watched_by(peer, monotonic_clock::now());
    if (!silent.empty() && answered) {
        const time_point second_request_at = monotonic_clock::now();
        schema::report_request second_request;
        second_request.mutable_vms()->Add(silent.begin(), silent.end());
        const auto more = co_await hooks.pull_reports(peer, second_request, poll_timeout());
        if (more && !stopped) {
            table.merge(*more, second_request_at);
            notify_answer();
        }
    }
    pulls_in_progress.erase(peer);
}

void vm_watcher::state::step(time_point now)
{
    if (now >= next_list_at && !reading_list) {
        reading_list = true;
        next_list_at = now + options.list_interval;
        boost::asio::co_spawn(executor, read_list(), boost::asio::detached);
    }
    update_assignments(now);
    poll_due_vms(now);
    if (now >= next_pull_at && hooks.pull_reports) {
        pull_from_peers(now);
    }
    table.refresh(now);
    notify_change();
}

vm_watcher::vm_watcher(boost::asio::any_io_executor executor, std::string self, report_table& table,
                       vm_watcher_hooks hooks, vm_watcher_options options)
    : state_(std::make_shared<state>(std::move(executor), std::move(self), table, std::move(hooks),
                                     options))
{
}

vm_watcher::~vm_watcher()
{
    state_->stopped = true;
}

boost::asio::awaitable<void> vm_watcher::run()
{
    const auto self = state_;
    const duration pause =
        std::min(self->options.watch_interval / steps_per_interval, max_step_interval);
    while (!self->stopped) {
        self->step(monotonic_clock::now());
        co_await sleep_for(pause);
    }
}

schema::report_batch vm_watcher::serve_reports(const schema::report_request& request) const
{
    const std::set<std::string> named(request.vms().begin(), request.vms().end());
    const auto wanted = [&](const std::string& vm) {
        return named.empty() ? state_->is_first_watcher_of(vm) : named.count(vm) > 0;
    };
    return state_->table.own_reports(request.after_sequence(), wanted, monotonic_clock::now());
}

void vm_watcher::prioritize(std::set<std::string> vms)
{
    for (const std::string& name : vms) {
        const auto found = state_->assignments.find(name);
        if (found != state_->assignments.end() && state_->prioritized.count(name) == 0) {
            found->second.next_poll_at = time_point{};
        }
    }
    state_->prioritized = std::move(vms);
}

bool vm_watcher::has_list() const
{
    return state_->has_list;
}

std::size_t vm_watcher::first_watcher_count() const
{
    std::size_t count = 0;
    for (const auto& [name, assigned] : state_->assignments) {
        count += state_->is_first_watcher_of(name) ? 1 : 0;
    }
    return count;
}

} // namespace chervildyke
