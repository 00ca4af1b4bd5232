/** \file
 * Implements the carrying out of the repair plan.
 */
#include "replicas/replica_keeper.h"

#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"
#include "members/watch_assignment.h"
#include "replicas/explanation.h"

namespace chervildyke {

namespace {

const logger keeper_log("replicas");

/** The shortest time between two plans, so that a burst of news makes one. */
constexpr duration shortest_tick = 20ms;

std::string key_of(const decision& subject)
{
    const std::string vm = subject.vms.empty() ? std::string() : subject.vms.front();
    switch (subject.kind) {
    case decision_kind::form_replica:
        return "form " + subject.team;
    case decision_kind::mark_serving:
        return "serve " + std::to_string(subject.replica);
    case decision_kind::retire_replica:
        return "retire " + std::to_string(subject.replica);
    case decision_kind::release_vm:
        return "release " + std::to_string(subject.replica) + " " + vm;
    case decision_kind::wait:
        break;
    }
    return "wait " + subject.team;
}

/** Replies to orders reach the control that sends them first, so that one also marks and
 * releases.
 */
std::string placement_of(const decision& subject)
{
    const bool of_replica =
        subject.kind == decision_kind::mark_serving || subject.kind == decision_kind::release_vm;
    return of_replica ? "replica-" + std::to_string(subject.replica) : "team-" + subject.team;
}

schema::journal_record to_record(const decision& subject, std::uint64_t configuration_version)
{
    schema::journal_record record;
    switch (subject.kind) {
    case decision_kind::form_replica: {
        schema::replica_formation& formation = *record.mutable_formation();
        formation.set_team(subject.team);
        formation.set_configuration_version(configuration_version);
        formation.set_model(subject.model);
        formation.mutable_vms()->Add(subject.vms.begin(), subject.vms.end());
        formation.set_reason(subject.reason);
        formation.set_replaces(subject.replica);
        break;
    }
    case decision_kind::mark_serving:
        record.mutable_serving()->set_replica_id(subject.replica);
        break;
    case decision_kind::retire_replica:
        record.mutable_retirement()->set_replica_id(subject.replica);
        record.mutable_retirement()->set_reason(subject.reason);
        break;
    case decision_kind::release_vm:
        record.mutable_release()->set_replica_id(subject.replica);
        record.mutable_release()->set_vm(subject.vms.front());
        record.mutable_release()->set_evidence(subject.evidence);
        break;
    case decision_kind::wait:
        break;
    }
    return record;
}

engine_order_options order_options(const repair_options& options, std::function<void()> on_report)
{
    engine_order_options made;
    made.engines_check_fencing = options.engines_check_fencing;
    made.order_quarantine = options.order_quarantine;
    made.on_report = std::move(on_report);
    return made;
}

} // namespace

struct replica_keeper::state : std::enable_shared_from_this<replica_keeper::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          replica_keeper_hooks the_hooks, const replica_keeper_options& the_options)
        : executor(the_executor), self(std::move(the_self)), table(the_table),
          hooks(std::move(the_hooks)), options(the_options),
          orders(the_executor, self, the_table, hooks.engine,
                 order_options(options.repair, [this] { wake(); })),
          pause(the_executor)
    {
    }

    void wake();
    void tick(time_point now);
    void log_new(const std::vector<decision>& plan) const;
    bool is_first(const std::string& subject, const std::vector<std::string>& alive) const;
    void begin(const decision& subject, const fleet_state& journal, time_point now);
    void attend_to_orders(const fleet_state& journal, const std::vector<std::string>& alive) const;
    boost::asio::awaitable<void> carry_out(std::string key, schema::journal_record record);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    replica_keeper_hooks hooks;
    replica_keeper_options options;
    engine_orders orders;
    timer pause;
    repair_memory memory;
    std::vector<decision> last_plan;
    std::set<std::string> pending;
    std::map<std::string, time_point> not_before; // After a proposal that failed.
    bool woken = false;
    bool stopped = false;
};

void replica_keeper::state::wake()
{
    woken = true;
    pause.cancel();
}

bool replica_keeper::state::is_first(const std::string& subject,
                                     const std::vector<std::string>& alive) const
{
    return is_first_member_for(subject, self, alive);
}

void replica_keeper::state::log_new(const std::vector<decision>& plan) const
{
    for (const decision& next : plan) {
        const auto is_same = [&](const decision& known) {
            return known.kind == next.kind && known.team == next.team &&
                   known.replica == next.replica && known.vms == next.vms;
        };
        if (next.kind == decision_kind::wait ||
            std::any_of(last_plan.begin(), last_plan.end(), is_same)) {
            continue;
        }
        keeper_log.info(to_line(next));
    }
}

void replica_keeper::state::tick(time_point now)
{
    const auto journal = hooks.state();
    memory.update(*journal, table.knowledge(), options.repair.bounds, now);
    std::vector<decision> plan =
        plan_repairs(*journal, table.knowledge(), memory, options.repair, now);
    log_new(plan);
    last_plan = std::move(plan);
    if (!hooks.can_act() || table.knowledge().blind) {
        return;
    }
    const std::vector<std::string> alive = hooks.alive_members();
    for (const decision& next : last_plan) {
        if (next.kind != decision_kind::wait && is_first(placement_of(next), alive)) {
            begin(next, *journal, now);
        }
    }
    orders.carry_out(find_due_orders(*journal, table.knowledge(), memory, options.repair, now),
                     alive, now);
    attend_to_orders(*journal, alive);
}

void replica_keeper::state::attend_to_orders(const fleet_state& journal,
                                             const std::vector<std::string>& alive) const
{
    if (!hooks.attend) {
        return;
    }
    std::set<std::string> awaited;
    for (const auto& [id, subject] : journal.replicas()) {
        if (subject.phase == schema::serving || !is_first("replica-" + std::to_string(id), alive)) {
            continue;
        }
        for (const replica_vm& member : subject.members) {
            const vm_knowledge* vm = table.knowledge().find(member.vm);
            if (!member.released && vm != nullptr && !vm->lost_since) {
                awaited.insert(member.vm);
            }
        }
    }
    hooks.attend(std::move(awaited));
}

void replica_keeper::state::begin(const decision& subject, const fleet_state& journal,
                                  time_point now)
{
    const std::string key = key_of(subject);
    const auto blocked = not_before.find(key);
    if (blocked != not_before.end() && now < blocked->second) {
        return;
    }
    if (!pending.insert(key).second) {
        return;
    }
    auto record = to_record(subject, journal.configuration_version());
    boost::asio::co_spawn(executor, carry_out(key, std::move(record)), boost::asio::detached);
}

boost::asio::awaitable<void> replica_keeper::state::carry_out(std::string key,
                                                              schema::journal_record record)
{
    const auto keep = shared_from_this();
    const auto outcome = co_await hooks.propose(std::move(record), options.proposal_timeout);
    if (stopped) {
        co_return;
    }
    pending.erase(key);
    if (outcome && outcome->accepted()) {
        not_before.erase(key);
        wake();
        co_return;
    }
    keeper_log.info(
        key, " did not take effect: ", outcome ? outcome->reason : std::string("no verdict yet"));
    not_before[key] = monotonic_clock::now() + options.retry_after;
}

replica_keeper::replica_keeper(boost::asio::any_io_executor executor, std::string self,
                               report_table& table, replica_keeper_hooks hooks,
                               replica_keeper_options options)
    : state_(std::make_shared<state>(std::move(executor), std::move(self), table, std::move(hooks),
                                     options))
{
}

replica_keeper::~replica_keeper()
{
    state_->stopped = true;
    state_->pause.cancel();
}

boost::asio::awaitable<void> replica_keeper::run()
{
    const auto self = state_;
    while (!self->stopped) {
        const time_point now = monotonic_clock::now();
        self->woken = false;
        self->tick(now);
        co_await sleep_for(shortest_tick);
        if (self->stopped || self->woken) {
            continue;
        }
        self->pause.expires_at(now + self->options.tick);
        boost::system::error_code ignored;
        co_await self->pause.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void replica_keeper::wake()
{
    state_->wake();
}

const std::vector<decision>& replica_keeper::last_plan() const
{
    return state_->last_plan;
}

std::vector<std::string> replica_keeper::explain(const std::string& subject) const
{
    return explain_subject(subject, *state_->hooks.state(), state_->table.knowledge(),
                           state_->last_plan, state_->options.repair, monotonic_clock::now());
}

std::uint64_t replica_keeper::orders_sent() const
{
    return state_->orders.sent();
}

} // namespace chervildyke
