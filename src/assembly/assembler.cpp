/** \file
 * Implements assembler.
 */
#include "assembly/assembler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio.hpp>

#include "assembly/join_guard.h"
#include "assembly/member_pool.h"
#include "base/event_log.h"
#include "base/task.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log assembly_log("assembly");

constexpr duration plan_interval = 100ms;    // A tenth of a heartbeat interval.
constexpr duration min_plan_interval = 25ms; // A plan for a thousand VMs takes a few ms.

// A new leader makes no plan for this time, until it has its list and its peers' state: two gossip
// rounds and one read of the list.
constexpr duration leader_settle_time = 700ms;

// The list of a starting fleet is complete when no new VM has appeared for this time, a third of a
// usual heartbeat interval.
constexpr duration list_settle_time = 400ms;

// The longest wait for the list to be complete: two heartbeats of each VM.
constexpr duration max_list_growth_time = 3s;

// Fraction of the weight store's load rate to use. The rest is for a second node that leads at
// the same time.
constexpr double load_rate_utilization = 0.75;

constexpr double load_burst_s = 1;             // Capacity of the token bucket, in seconds of loads.
constexpr duration running_load_max_age = 40s; // Older loads have ended.
constexpr duration history_retention = 60s;    // Longer than a command can be in flight.

std::string demand_text(const std::map<std::string, double>& demand)
{
    std::string text;
    for (const auto& [model, rate] : demand) {
        text += (text.empty() ? "" : ",") + model + ":" + std::to_string(std::lround(rate));
    }
    return text;
}

std::string counts_text(const replica_counts& counts)
{
    std::string text;
    for (const auto& [model, count] : counts) {
        text += (text.empty() ? "" : ",") + model + ":" + std::to_string(count);
    }
    return text;
}

} // namespace

assembler::assembler(asio::any_io_executor executor, shared_log log, engine_calls engines,
                     const replica_ledger& ledger, const backend_table& backends,
                     const replica_balancer& balancer, assembler_hooks hooks,
                     assembly_settings settings)
    : executor_(std::move(executor)), log_(std::move(log)), engines_(std::move(engines)),
      ledger_(ledger), backends_(backends), balancer_(balancer), hooks_(std::move(hooks)),
      settings_(settings), next_plan_(executor_)
{
}

void assembler::plan_soon()
{
    if (!leading_) {
        return;
    }
    const time_point soonest = planned_at_ + min_plan_interval;
    if (next_plan_.expiry() > soonest) {
        next_plan_.expires_at(soonest); // Wakes the task, which then waits until the new expiry.
    }
}

void assembler::refill_load_tokens(const engine_profile& profile)
{
    const time_point now = monotonic_clock::now();
    const double rate = profile.max_load_starts_per_s * load_rate_utilization;
    const double passed = std::chrono::duration<double>(now - load_tokens_refilled_at_).count();
    load_tokens_ = std::min(rate * load_burst_s, load_tokens_ + passed * rate);
    load_tokens_refilled_at_ = now;
}

std::vector<schema::running_load> assembler::running_loads() const
{
    const time_point now = monotonic_clock::now();
    std::vector<schema::running_load> loads;
    for (const auto& [vm, sent] : history_.loads_since(now - running_load_max_age)) {
        const listed_backend* listed = backends_.find(vm);
        if (listed == nullptr || has_staged(listed->server, sent.model)) {
            continue;
        }
        schema::running_load load;
        load.set_vm(vm);
        load.set_model(sent.model);
        load.set_age_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(now - sent.at).count()));
        loads.push_back(std::move(load));
    }
    return loads;
}

void assembler::note_running_load(const schema::running_load& load)
{
    if (leading_ || history_.find(load.vm(), command_kind::stage, 0) != nullptr) {
        return;
    }
    engine_command command;
    command.kind = command_kind::stage;
    command.model = load.model();
    const duration age = std::chrono::milliseconds(load.age_ms());
    history_.note_sent(load.vm(), command, monotonic_clock::now() - age);
    history_.note_outcome(load.vm(), command, command_outcome::begun);
}

void assembler::update_last_seen()
{
    for (const auto& [id, listed] : backends_.all()) {
        last_seen_[id] = listed.server;
    }
}

void assembler::note_lost_heads()
{
    for (const auto& [name, replica] : ledger_.replicas()) {
        const std::string& head = replica.members(0).id();
        if (replica.phase() != schema::shared_phase_retiring || backends_.find(head) != nullptr) {
            continue;
        }
        const bool known = history_.find_lost_head(replica.epoch()) != nullptr;
        lost_head& lost = history_.lost_head_entry(replica.epoch());
        lost.address_known = last_seen_.contains(head);
        if (!known) {
            lost.since = monotonic_clock::now();
            lost.no_contact = !lost.address_known;
        }
    }
}

asio::awaitable<void> assembler::append(std::vector<keyed_record> records)
{
    const log_position at = ledger_.end();
    records.insert(records.begin(), make_ledger_header(at.era));
    const keyed_records written = appended_at(at, std::move(records));
    auto appended = co_await log_.append(replica_topic, at, written.records);
    assembly_log.write("records_appended",
                       {{"era", std::to_string(at.era)},
                        {"at", std::to_string(at.offset)},
                        {"count", std::to_string(written.records.size())},
                        {"outcome", appended ? "done" : appended.failure().reason}});
    if (appended) {
        hooks_.apply_records(written);
        plan_soon();
        co_return;
    }
    co_await hooks_.refresh_ledger();
}

asio::awaitable<void> assembler::send(backend vm, planned_command planned)
{
    const auto self = shared_from_this();
    const std::string id = vm.id;
    const engine_command sent = planned.command;
    command_outcome outcome = command_outcome::no_contact;
    if (sent.kind == command_kind::join) {
        outcome = co_await join(std::move(vm), sent);
    }
    else {
        outcome = co_await engines_.send(std::move(vm), sent);
    }
    history_.note_outcome(id, sent, outcome);
    const auto replica = ledger_.replicas().find(sent.replica);
    const bool is_head =
        replica != ledger_.replicas().end() && replica->second.members(0).id() == id;
    if (is_head && backends_.find(id) == nullptr) {
        history_.lost_head_entry(sent.epoch).no_contact =
            outcome == command_outcome::no_contact || outcome == command_outcome::unclear;
    }
    assembly_log.write("order", {{"vm", id},
                                 {"kind", to_text(sent.kind)},
                                 {"replica", sent.replica},
                                 {"epoch", std::to_string(sent.epoch)},
                                 {"model", sent.model},
                                 {"loads", planned.loads_weights ? "yes" : "no"},
                                 {"outcome", to_text(outcome)}});
    plan_soon();
}

/** Lets a VM join a replica once it has left its last one. */
asio::awaitable<command_outcome> assembler::join(backend vm, engine_command command)
{
    const is_closed_hook is_closed = [this](std::uint64_t epoch) {
        return history_.is_closed(epoch);
    };
    const leave_hook on_leave = [this, id = vm.id](const engine_command& leave,
                                                   command_outcome outcome) {
        history_.note_sent(id, leave, monotonic_clock::now());
        history_.note_outcome(id, leave, outcome);
        assembly_log.write("order", {{"vm", id},
                                     {"kind", to_text(leave.kind)},
                                     {"replica", leave.replica},
                                     {"epoch", std::to_string(leave.epoch)},
                                     {"outcome", to_text(outcome)}});
    };
    co_return co_await send_join(engines_, std::move(vm), std::move(command), is_closed, on_leave);
}

asio::awaitable<void> assembler::probe(backend vm)
{
    const auto self = shared_from_this();
    const std::string id = vm.id;
    const probe_outcome outcome = co_await engines_.probe(std::move(vm));
    history_.note_probe_outcome(id, outcome, monotonic_clock::now());
    assembly_log.write("probe", {{"vm", id},
                                 {"outcome", outcome == probe_outcome::answered ? "answered"
                                             : outcome == probe_outcome::silent ? "silent"
                                                                                : "refused"}});
    if (outcome != probe_outcome::answered) {
        plan_soon();
    }
}

/** \return true while VMs still appear on the list of a fleet that has just started. A domain can't
 * be divided into replicas before all its VMs are listed.
 */
bool assembler::list_is_growing(const std::string& service)
{
    const time_point now = monotonic_clock::now();
    std::size_t listed = 0;
    for (const auto& [id, entry] : backends_.all()) {
        listed += entry.server.service == service ? 1 : 0;
    }
    list_growth& growth = list_growth_[service];
    if (growth.vms == 0 && listed > 0) {
        growth.began_at = now;
    }
    if (listed > growth.vms) {
        growth.vms = listed;
        growth.grew_at = now;
    }
    return now - growth.grew_at < list_settle_time && now - growth.began_at < max_list_growth_time;
}

void assembler::note_split(const std::string& service, const assembly_plan& plan)
{
    if (!plan.split) {
        return;
    }
    hooks_.on_split(*plan.split);
    const bool first = splits_[service].adopted.empty();
    splits_[service] = plan.split->state;
    if (first || plan.split->changed) {
        assembly_log.write("model_split",
                           {{"service", service},
                            {"targets", counts_text(plan.split->targets)},
                            {"replicas", counts_text(plan.counts)},
                            {"demand_ms_per_s", demand_text(hooks_.demand_ms_per_s())},
                            {"refusal_cost", std::to_string(std::lround(plan.split->cost))},
                            {"cost_of_all", std::to_string(std::lround(plan.split->cost_of_all))}});
    }
}

asio::awaitable<void> assembler::reconcile(const std::string& service,
                                           const engine_profile& profile)
{
    const time_point now = monotonic_clock::now();
    const bool calls_began = hooks_.calls_began();
    if (!calls_began && list_is_growing(service)) {
        co_return;
    }
    refill_load_tokens(profile);
    assembly_input input;
    input.service = service;
    input.profile = &profile;
    input.ledger = &ledger_;
    input.backends = &backends_;
    input.history = &history_;
    input.uses = balancer_.total_usage(now);
    input.demand_ms_per_s = hooks_.demand_ms_per_s();
    input.before_first_call = !calls_began;
    if (calls_began && hooks_.services()->has_mixed_priorities(service)) {
        demand_.note(hooks_.demand_of_priorities(), now);
        input.split = split_input{demand_.recent(), splits_[service]};
    }
    input.load_allowance = static_cast<std::uint32_t>(std::max(load_tokens_, 0.0));
    input.list_is_current = hooks_.list_is_current();
    input.evacuated = hooks_.evacuated_domains();
    input.now = now;
    assembly_plan plan = plan_assembly(input, settings_);
    note_split(service, plan);
    if (plan.free_vms != logged_free_vms_) {
        logged_free_vms_ = plan.free_vms;
        assembly_log.write("free_vms", {{"service", service},
                                        {"load_allowance", std::to_string(input.load_allowance)},
                                        {"demand_ms_per_s", demand_text(input.demand_ms_per_s)},
                                        {"vms", logged_free_vms_}});
    }
    for (const std::uint64_t epoch : plan.closed) {
        history_.note_closed(epoch, now);
    }
    for (const std::string& vm : plan.probes) {
        if (!hooks_.may_probe(last_seen_[vm])) {
            continue;
        }
        history_.note_probe_sent(vm, now);
        spawn_task(executor_, "probe", probe(last_seen_[vm]));
    }
    for (planned_command& planned : plan.commands) {
        const auto target = last_seen_.find(planned.vm);
        if (target == last_seen_.end()) {
            continue;
        }
        load_tokens_ -= planned.loads_weights && calls_began ? 1 : 0;
        history_.note_sent(planned.vm, planned.command, now, planned.loads_weights);
        spawn_task(executor_, "order", send(target->second, std::move(planned)));
    }
    if (!plan.records.empty()) {
        co_await append(std::move(plan.records));
    }
}

asio::awaitable<void> assembler::wait_for_next_plan()
{
    next_plan_.expires_at(planned_at_ + plan_interval);
    while (monotonic_clock::now() < next_plan_.expiry()) {
        co_await next_plan_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    planned_at_ = monotonic_clock::now();
}

/** \return true while a restored log lacks too much to plan from. */
bool assembler::is_held()
{
    const bool held = !hooks_.view_is_settled();
    if (held != held_) {
        held_ = held;
        assembly_log.write(held ? "planning_held" : "planning_resumed",
                           {{"ledger_era", std::to_string(ledger_.end().era)},
                            {"ledger_is_current", ledger_.is_current() ? "yes" : "no"}});
    }
    return held;
}

asio::awaitable<void> assembler::run()
{
    const auto self = shared_from_this();
    while (true) {
        co_await wait_for_next_plan();
        update_last_seen();
        const bool is_leader = hooks_.is_leader();
        const time_point now = monotonic_clock::now();
        if (is_leader != leading_) {
            leading_ = is_leader;
            leadership_changed_at_ = now;
            load_tokens_ = 0;
            load_tokens_refilled_at_ = now;
            splits_.clear(); // Other leaders may have changed the split since.
            assembly_log.write(is_leader ? "lead_taken" : "lead_given_up",
                               {{"ledger_era", std::to_string(ledger_.end().era)},
                                {"ledger_end", std::to_string(ledger_.end().offset)}});
        }
        const published_configuration_ptr services = hooks_.services();
        const bool settled = now - leadership_changed_at_ >= leader_settle_time;
        if (!is_leader || !settled || !services || is_held()) {
            continue;
        }
        note_lost_heads();
        for (const auto& [name, service] : services->services()) {
            if (service.engine) {
                co_await reconcile(name, *service.engine);
            }
        }
        history_.erase_older_than(now - history_retention);
        if (last_seen_.size() > 4 * backends_.all().size() + 64) {
            last_seen_.clear();
        }
    }
}

} // namespace chervildyke
