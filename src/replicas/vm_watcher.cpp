/** \file
 * Implements the watching of VMs.
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
constexpr int attention = 4; // Questions in one interval to a VM whose report is awaited.
constexpr duration longest_step = 100ms;

} // namespace

struct vm_watcher::state : std::enable_shared_from_this<vm_watcher::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          vm_watcher_hooks the_hooks, vm_watcher_options the_options)
        : executor(std::move(the_executor)), self(std::move(the_self)), table(the_table),
          hooks(std::move(the_hooks)), options(the_options)
    {
    }

    struct assignment {
        std::vector<std::string> watchers; // The first asks in each interval.
        time_point next_ask{};
        bool asking = false;
    };

    void step(time_point now);
    void update_assignments(time_point now);
    void ask_vms(time_point now);
    void pull_from_peers(time_point now);
    bool is_due(const std::string& name, const assignment& watched, time_point now) const;
    bool watches_first(const std::string& vm) const;
    duration ask_timeout() const;
    duration late_after() const;
    std::vector<std::string> late_vms_of(const std::string& peer, time_point now) const;
    void tell_news();
    void tell_change();

    boost::asio::awaitable<void> read_list();
    boost::asio::awaitable<void> ask(std::string vm, std::string address, vm_role role);
    boost::asio::awaitable<void> pull(std::string peer);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    vm_watcher_hooks hooks;
    vm_watcher_options options;
    std::map<std::string, assignment> assignments;
    std::map<std::string, std::uint64_t> pulled_sequences;
    std::set<std::string> pulling;
    std::set<std::string> attended;
    std::vector<std::string> assigned_over;
    std::uint64_t changes_told = 0;
    bool list_changed = false;
    bool reading_list = false;
    bool list_read = false;
    bool stopped = false;
    time_point next_list{};
    time_point next_pull{};
};

void vm_watcher::state::tell_news()
{
    if (hooks.on_news) {
        hooks.on_news();
    }
    tell_change();
}

void vm_watcher::state::tell_change()
{
    if (hooks.on_change && table.changes() != changes_told) {
        changes_told = table.changes();
        hooks.on_change();
    }
}

duration vm_watcher::state::ask_timeout() const
{
    return std::min(table.bounds().detection_bound / 2, 2 * options.watch_interval);
}

/** A first watcher's news is at most one question and one pull old, unless it fails. */
duration vm_watcher::state::late_after() const
{
    return (options.watch_interval + options.pull_interval) * 11 / 10;
}

void vm_watcher::state::update_assignments(time_point now)
{
    std::vector<std::string> members = hooks.alive_members();
    std::sort(members.begin(), members.end());
    if (members == assigned_over && !list_changed) {
        return;
    }
    const bool members_changed = members != assigned_over;
    std::map<std::string, assignment> updated;
    for (const auto& [name, vm] : table.knowledge().vms) {
        if (vm.role == vm_role::other || vm.presence == vm_presence::gone) {
            continue;
        }
        const auto known = assignments.find(name);
        assignment next;
        if (known != assignments.end()) {
            next = known->second;
        }
        else {
            // Spreads the questions over the interval.
            const auto spread = static_cast<std::uint64_t>(options.watch_interval.count());
            const auto offset = placement_hash(name) % std::max<std::uint64_t>(spread, 1);
            next.next_ask = now + duration(static_cast<duration::rep>(offset));
        }
        if (members_changed || next.watchers.empty()) {
            next.watchers = watchers_of(name, members, options.watchers_per_vm);
        }
        updated.emplace(name, std::move(next));
    }
    assignments = std::move(updated);
    assigned_over = std::move(members);
    list_changed = false;
}

bool vm_watcher::state::watches_first(const std::string& vm) const
{
    const auto found = assignments.find(vm);
    return found != assignments.end() && !found->second.watchers.empty() &&
           found->second.watchers.front() == self;
}

bool vm_watcher::state::is_due(const std::string& name, const assignment& watched,
                               time_point now) const
{
    if (watched.asking || now < watched.next_ask) {
        return false;
    }
    const auto& watchers = watched.watchers;
    if (attended.count(name) > 0) {
        return true;
    }
    if (std::find(watchers.begin(), watchers.end(), self) == watchers.end()) {
        return false;
    }
    const vm_knowledge* vm = table.knowledge().find(name);
    const bool late = vm == nullptr || !vm->heard_within(late_after(), now);
    return watchers.front() == self || late;
}

void vm_watcher::state::ask_vms(time_point now)
{
    for (auto& [name, watched] : assignments) {
        if (!is_due(name, watched, now)) {
            continue;
        }
        const vm_knowledge* vm = table.knowledge().find(name);
        if (vm == nullptr) {
            continue;
        }
        watched.asking = true;
        const bool is_attended = attended.count(name) > 0;
        watched.next_ask =
            now + (is_attended ? options.watch_interval / attention : options.watch_interval);
        boost::asio::co_spawn(executor, ask(name, vm->address, vm->role), boost::asio::detached);
    }
}

boost::asio::awaitable<void> vm_watcher::state::ask(std::string vm, std::string address,
                                                    vm_role role)
{
    const auto keep = shared_from_this();
    const time_point asked_at = monotonic_clock::now();
    if (role == vm_role::engine) {
        const auto report = co_await hooks.engine.report(address, ask_timeout());
        if (report && !stopped) {
            table.note_answer(vm, *report, asked_at);
        }
    }
    else {
        bool healthy = true;
        if (hooks.service_health) {
            healthy = co_await hooks.service_health(address, ask_timeout());
        }
        if (healthy && !stopped) {
            table.note_healthy(vm, asked_at);
        }
    }
    const auto found = assignments.find(vm);
    if (found != assignments.end()) {
        found->second.asking = false;
    }
    if (!stopped) {
        tell_news();
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
    list_read = true;
    list_changed = true;
    tell_news();
}

std::vector<std::string> vm_watcher::state::late_vms_of(const std::string& peer,
                                                        time_point now) const
{
    const duration late_after = table.bounds().detection_bound / 2;
    std::vector<std::string> late;
    for (const auto& [name, watched] : assignments) {
        const vm_knowledge* vm = table.knowledge().find(name);
        const auto& watchers = watched.watchers;
        const bool watches = std::find(watchers.begin(), watchers.end(), peer) != watchers.end();
        if (watches && vm != nullptr && !vm->lost_since && !vm->heard_within(late_after, now)) {
            late.push_back(name);
        }
    }
    return late;
}

void vm_watcher::state::pull_from_peers(time_point now)
{
    std::set<std::string> firsts;
    for (const auto& [name, watched] : assignments) {
        firsts.insert(watched.watchers.begin(), watched.watchers.end());
    }
    for (const std::string& peer : firsts) {
        if (peer != self && pulling.insert(peer).second) {
            boost::asio::co_spawn(executor, pull(peer), boost::asio::detached);
        }
    }
    next_pull = now + options.pull_interval;
}

boost::asio::awaitable<void> vm_watcher::state::pull(std::string peer)
{
    const auto keep = shared_from_this();
    bool answered = false;
    // A batch that leans on reports which were replaced meanwhile is asked for again, in whole.
    for (int round = 0; round < 2; ++round) {
        const time_point asked_at = monotonic_clock::now();
        schema::report_request request;
        request.set_after_sequence(pulled_sequences[peer]);
        const auto batch = co_await hooks.pull_reports(peer, request, ask_timeout());
        answered = batch && !stopped;
        if (!answered) {
            break;
        }
        const bool complete = table.merge(*batch, asked_at);
        pulled_sequences[peer] = complete ? batch->sequence() : 0;
        tell_news();
        if (complete) {
            break;
        }
    }
    const std::vector<std::string> late = late_vms_of(peer, monotonic_clock::now());
    if (!late.empty() && answered) {
        const time_point asked_again_at = monotonic_clock::now();
        schema::report_request for_late;
        for_late.mutable_vms()->Add(late.begin(), late.end());
        const auto more = co_await hooks.pull_reports(peer, for_late, ask_timeout());
        if (more && !stopped) {
            table.merge(*more, asked_again_at);
            tell_news();
        }
    }
    pulling.erase(peer);
}

void vm_watcher::state::step(time_point now)
{
    if (now >= next_list && !reading_list) {
        reading_list = true;
        next_list = now + options.list_interval;
        boost::asio::co_spawn(executor, read_list(), boost::asio::detached);
    }
    update_assignments(now);
    ask_vms(now);
    if (now >= next_pull && hooks.pull_reports) {
        pull_from_peers(now);
    }
    table.refresh(now);
    tell_change();
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
        std::min(self->options.watch_interval / steps_per_interval, longest_step);
    while (!self->stopped) {
        self->step(monotonic_clock::now());
        co_await sleep_for(pause);
    }
}

schema::report_batch vm_watcher::serve_reports(const schema::report_request& request) const
{
    const std::set<std::string> named(request.vms().begin(), request.vms().end());
    const auto wanted = [&](const std::string& vm) {
        return named.empty() ? state_->watches_first(vm) : named.count(vm) > 0;
    };
    return state_->table.own_reports(request.after_sequence(), wanted, monotonic_clock::now());
}

void vm_watcher::attend(std::set<std::string> vms)
{
    for (const std::string& name : vms) {
        const auto found = state_->assignments.find(name);
        if (found != state_->assignments.end() && state_->attended.count(name) == 0) {
            found->second.next_ask = time_point{};
        }
    }
    state_->attended = std::move(vms);
}

bool vm_watcher::has_list() const
{
    return state_->list_read;
}

std::size_t vm_watcher::watched_first() const
{
    std::size_t count = 0;
    for (const auto& [name, watched] : state_->assignments) {
        count += state_->watches_first(name) ? 1 : 0;
    }
    return count;
}

} // namespace chervildyke
