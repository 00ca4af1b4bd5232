/** \file
 * Implements assembler.
 */
#include "assembly/assembler.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include <boost/asio.hpp>

#include "assembly/member_selection.h"
#include "base/event_log.h"
#include "base/task.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log assembly_log("assembly");

constexpr duration plan_interval = 100ms;      // A tenth of a heartbeat.
constexpr duration least_plan_interval = 25ms; // A plan for a thousand VMs takes a few ms.
constexpr duration settle_time = 700ms;      // After taking the lead, until its list and peers are
                                             // known; two gossip rounds and one read of the list.
constexpr duration list_settle_time = 400ms; // Without a new VM; a third of a usual heartbeat.
constexpr duration longest_list_growth = 3s; // Two heartbeats of each VM.
constexpr double load_rate_use = 0.75;   // Of the ceiling; the rest is for a node that acts twice.
constexpr double load_burst_s = 1;       // Seconds of loads that may start at once.
constexpr duration told_load_time = 40s; // Loads that are older have ended.
constexpr duration memory_time = 60s;    // Longer than an order can be in flight.

std::string demand_text(const std::map<std::string, double>& demand)
{
    std::string text;
    for (const auto& [model, rate] : demand) {
        text += (text.empty() ? "" : ",") + model + ":" + std::to_string(std::lround(rate));
    }
    return text;
}

} // namespace

assembler::assembler(asio::any_io_executor executor, shared_log log, engine_calls engines,
                     const replica_ledger& ledger, const backend_table& backends,
                     const replica_balancer& board, assembler_hooks hooks,
                     assembly_settings settings)
    : executor_(std::move(executor)), log_(std::move(log)), engines_(std::move(engines)),
      ledger_(ledger), backends_(backends), board_(board), hooks_(std::move(hooks)),
      settings_(settings), next_plan_(executor_)
{
}

void assembler::plan_soon()
{
    if (!led_) {
        return;
    }
    const time_point soonest = planned_at_ + least_plan_interval;
    if (next_plan_.expiry() > soonest) {
        next_plan_.expires_at(soonest); // Wakes the task, which waits for the rest.
    }
}

void assembler::refill_loads(const engine_profile& profile)
{
    const time_point now = monotonic_clock::now();
    const double rate = profile.max_load_starts_per_s * load_rate_use;
    const double passed = std::chrono::duration<double>(now - loads_refilled_at_).count();
    loads_ = std::min(rate * load_burst_s, loads_ + passed * rate);
    loads_refilled_at_ = now;
}

std::vector<schema::running_load> assembler::running_loads() const
{
    const time_point now = monotonic_clock::now();
    std::vector<schema::running_load> loads;
    for (const auto& [vm, sent] : memory_.loads_since(now - told_load_time)) {
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
    if (led_ || memory_.find(load.vm(), order_kind::stage, 0) != nullptr) {
        return;
    }
    replica_order order;
    order.kind = order_kind::stage;
    order.model = load.model();
    const duration age = std::chrono::milliseconds(load.age_ms());
    memory_.note_sent(load.vm(), order, monotonic_clock::now() - age);
    memory_.note_outcome(load.vm(), order, order_outcome::begun);
}

void assembler::remember_backends()
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
        const bool known = memory_.lost_head_of(replica.epoch()) != nullptr;
        lost_head& lost = memory_.lost_head_at(replica.epoch());
        lost.address_known = last_seen_.contains(head);
        if (!known) {
            lost.since = monotonic_clock::now();
            lost.no_contact = !lost.address_known;
        }
    }
}

asio::awaitable<void> assembler::append(std::vector<keyed_record> records)
{
    const std::size_t count = records.size();
    const std::string at = std::to_string(ledger_.end());
    for (std::size_t i = 0; i < count; ++i) {
        records[i].offset = ledger_.end() + i;
    }
    keyed_records written;
    written.records = records;
    auto appended = co_await log_.append(replica_topic, std::move(records));
    assembly_log.write("records_appended",
                       {{"at", at},
                        {"count", std::to_string(count)},
                        {"outcome", appended ? "done" : appended.last_reason().reason}});
    if (appended) {
        hooks_.take_records(written);
        plan_soon();
        co_return;
    }
    co_await hooks_.refresh_ledger();
}

asio::awaitable<void> assembler::send(backend vm, planned_order order)
{
    const auto self = shared_from_this();
    const std::string id = vm.id;
    const replica_order sent = order.order;
    const order_outcome outcome = co_await engines_.send(std::move(vm), sent);
    memory_.note_outcome(id, sent, outcome);
    if (backends_.find(id) == nullptr) {
        memory_.lost_head_at(sent.epoch).no_contact =
            outcome == order_outcome::no_contact || outcome == order_outcome::unclear;
    }
    assembly_log.write("order", {{"vm", id},
                                 {"kind", to_text(sent.kind)},
                                 {"replica", sent.replica},
                                 {"epoch", std::to_string(sent.epoch)},
                                 {"model", sent.model},
                                 {"loads", order.loads_weights ? "yes" : "no"},
                                 {"outcome", to_text(outcome)}});
    plan_soon();
}

asio::awaitable<void> assembler::probe(backend vm)
{
    const auto self = shared_from_this();
    const std::string id = vm.id;
    const probe_outcome outcome = co_await engines_.probe(std::move(vm));
    memory_.note_probe(id, outcome, monotonic_clock::now());
    assembly_log.write("probe", {{"vm", id},
                                 {"outcome", outcome == probe_outcome::answered ? "answered"
                                             : outcome == probe_outcome::silent ? "silent"
                                                                                : "refused"}});
    if (outcome != probe_outcome::answered) {
        plan_soon();
    }
}

/** True while VMs still appear on the list of a fleet that has just started: how replicas divide a
 * domain can't be told before its VMs are known.
 */
bool assembler::list_grows(const std::string& service)
{
    const time_point now = monotonic_clock::now();
    std::size_t listed = 0;
    for (const auto& [id, entry] : backends_.all()) {
        listed += entry.server.service == service ? 1 : 0;
    }
    list_growth& growth = growths_[service];
    if (growth.vms == 0 && listed > 0) {
        growth.began_at = now;
    }
    if (listed > growth.vms) {
        growth.vms = listed;
        growth.grew_at = now;
    }
    return now - growth.grew_at < list_settle_time && now - growth.began_at < longest_list_growth;
}

asio::awaitable<void> assembler::act(const std::string& service, const engine_profile& profile)
{
    const time_point now = monotonic_clock::now();
    const bool rationed = hooks_.calls_began();
    if (!rationed && list_grows(service)) {
        co_return;
    }
    refill_loads(profile);
    assembly_input input;
    input.service = service;
    input.profile = &profile;
    input.ledger = &ledger_;
    input.backends = &backends_;
    input.memory = &memory_;
    input.uses = board_.total_usage(now);
    input.demand_ms_per_s = hooks_.demand_ms_per_s();
    input.loads_are_free = !rationed;
    input.load_allowance = static_cast<std::uint32_t>(std::max(loads_, 0.0));
    input.list_is_current = hooks_.list_is_current();
    input.now = now;
    assembly_plan plan = plan_assembly(input, settings_);
    if (plan.free_vms != told_free_vms_) {
        told_free_vms_ = plan.free_vms;
        assembly_log.write("free_vms", {{"service", service},
                                        {"load_allowance", std::to_string(input.load_allowance)},
                                        {"demand_ms_per_s", demand_text(input.demand_ms_per_s)},
                                        {"vms", told_free_vms_}});
    }
    for (const std::string& vm : plan.probes) {
        if (!hooks_.may_probe(last_seen_[vm])) {
            continue;
        }
        memory_.note_probe_sent(vm, now);
        spawn_task(executor_, "probe", probe(last_seen_[vm]));
    }
    for (planned_order& order : plan.orders) {
        const auto target = last_seen_.find(order.vm);
        if (target == last_seen_.end()) {
            continue;
        }
        loads_ -= order.loads_weights && rationed ? 1 : 0;
        memory_.note_sent(order.vm, order.order, now, order.loads_weights);
        spawn_task(executor_, "order", send(target->second, std::move(order)));
    }
    if (!plan.records.empty()) {
        co_await append(std::move(plan.records));
    }
}

asio::awaitable<void> assembler::wait_for_plan()
{
    next_plan_.expires_at(planned_at_ + plan_interval);
    while (monotonic_clock::now() < next_plan_.expiry()) {
        co_await next_plan_.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    planned_at_ = monotonic_clock::now();
}

asio::awaitable<void> assembler::run()
{
    const auto self = shared_from_this();
    while (true) {
        co_await wait_for_plan();
        remember_backends();
        const bool leads = hooks_.leads();
        const time_point now = monotonic_clock::now();
        if (leads != led_) {
            led_ = leads;
            led_since_ = now;
            loads_ = 0;
            loads_refilled_at_ = now;
            assembly_log.write(leads ? "lead_taken" : "lead_given_up",
                               {{"ledger_end", std::to_string(ledger_.end())}});
        }
        const published_configuration_ptr services = hooks_.services();
        if (!leads || now - led_since_ < settle_time || !services) {
            continue;
        }
        note_lost_heads();
        for (const auto& [name, service] : services->services()) {
            if (service.engine) {
                co_await act(name, *service.engine);
            }
        }
        memory_.forget_before(now - memory_time);
        if (last_seen_.size() > 4 * backends_.all().size() + 64) {
            last_seen_.clear();
        }
    }
}

} // namespace chervildyke
