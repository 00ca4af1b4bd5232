/** \file
 * Implements replica_reconciler.
 */
#include "replicas/replica_reconciler.h"

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

const logger reconciler_log("replicas");

/** The shortest time between two plans, so that a burst of changes leads to one plan. */
constexpr duration min_plan_interval = 20ms;

std::string decision_key(const decision& subject)
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

/** \return the subject of the rendezvous hash that selects the control for a decision. The control
 * that sends a replica's commands receives the replies first, so it also marks the replica as
 * serving and releases its VMs.
 */
std::string rendezvous_subject(const decision& subject)
{
    const bool is_by_replica =
        subject.kind == decision_kind::mark_serving || subject.kind == decision_kind::release_vm;
    return is_by_replica ? "replica-" + std::to_string(subject.replica) : "team-" + subject.team;
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

command_sender_options sender_options(const repair_options& options,
                                      std::function<void()> on_report)
{
    command_sender_options made;
    made.engines_check_fencing = options.engines_check_fencing;
    made.command_quarantine = options.command_quarantine;
    made.on_report = std::move(on_report);
    return made;
}

} // namespace

struct replica_reconciler::state : std::enable_shared_from_this<replica_reconciler::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          replica_reconciler_hooks the_hooks, const replica_reconciler_options& the_options)
        : executor(the_executor), self(std::move(the_self)), table(the_table),
          hooks(std::move(the_hooks)), options(the_options),
          commands(the_executor, self, the_table, hooks.engine,
                   sender_options(options.repair, [this] { wake(); })),
          wake_timer(the_executor)
    {
    }

    void wake();
    void reconcile(time_point now);
    void log_new_decisions(const std::vector<decision>& plan) const;
    bool is_first(const std::string& subject, const std::vector<std::string>& alive) const;
    void start_proposal(const decision& subject, const fleet_state& journal, time_point now);

    /** Prioritizes the VMs of forming and retiring replicas whose commands this control sends. */
    void prioritize_vms_in_transition(const fleet_state& journal,
                                      const std::vector<std::string>& alive) const;
    boost::asio::awaitable<void> propose(std::string key, schema::journal_record record);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    replica_reconciler_hooks hooks;
    replica_reconciler_options options;
    command_sender commands;
    timer wake_timer;
    repair_history history;
    std::vector<decision> last_plan;
    std::set<std::string> pending;              // Decisions that are being proposed.
    std::map<std::string, time_point> retry_at; // Decisions whose proposal failed.
    bool woken = false;
    bool stopped = false;
};

void replica_reconciler::state::wake()
{
    woken = true;
    wake_timer.cancel();
}

bool replica_reconciler::state::is_first(const std::string& subject,
                                         const std::vector<std::string>& alive) const
{
    return is_first_member_for(subject, self, alive);
}

void replica_reconciler::state::log_new_decisions(const std::vector<decision>& plan) const
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
        reconciler_log.info(to_line(next));
    }
}

void replica_reconciler::state::reconcile(time_point now)
{
    const auto journal = hooks.state();
    history.update(*journal, table.fleet(), options.repair.bounds, now);
    std::vector<decision> plan =
        plan_repairs(*journal, table.fleet(), history, options.repair, now);
    log_new_decisions(plan);
    last_plan = std::move(plan);
    if (!hooks.can_act() || table.fleet().isolated) {
        return;
    }
    const std::vector<std::string> alive = hooks.alive_members();
    for (const decision& next : last_plan) {
        if (next.kind != decision_kind::wait && is_first(rendezvous_subject(next), alive)) {
            start_proposal(next, *journal, now);
        }
    }
    commands.send_due(find_due_commands(*journal, table.fleet(), history, options.repair, now),
                      alive, now);
    prioritize_vms_in_transition(*journal, alive);
}

void replica_reconciler::state::prioritize_vms_in_transition(
    const fleet_state& journal, const std::vector<std::string>& alive) const
{
    if (!hooks.prioritize_vms) {
        return;
    }
    std::set<std::string> vms;
    for (const auto& [id, subject] : journal.replicas()) {
        if (subject.phase == schema::serving || !is_first("replica-" + std::to_string(id), alive)) {
            continue;
        }
        for (const replica_vm& member : subject.members) {
            const observed_vm* vm = table.fleet().find(member.vm);
            if (!member.released && vm != nullptr && !vm->lost_since) {
                vms.insert(member.vm);
            }
        }
    }
    hooks.prioritize_vms(std::move(vms));
}

void replica_reconciler::state::start_proposal(const decision& subject, const fleet_state& journal,
                                               time_point now)
{
    const std::string key = decision_key(subject);
    const auto blocked = retry_at.find(key);
    if (blocked != retry_at.end() && now < blocked->second) {
        return;
    }
    if (!pending.insert(key).second) {
        return;
    }
    auto record = to_record(subject, journal.configuration_version());
    boost::asio::co_spawn(executor, propose(key, std::move(record)), boost::asio::detached);
}

boost::asio::awaitable<void> replica_reconciler::state::propose(std::string key,
                                                                schema::journal_record record)
{
    const auto keep = shared_from_this();
    const auto outcome = co_await hooks.propose(std::move(record), options.proposal_timeout);
    if (stopped) {
        co_return;
    }
    pending.erase(key);
    if (outcome && outcome->accepted()) {
        retry_at.erase(key);
        wake();
        co_return;
    }
    reconciler_log.info(key, " did not take effect: ",
                        outcome ? outcome->reason : std::string("its outcome is unknown"));
    retry_at[key] = monotonic_clock::now() + options.retry_delay;
}

replica_reconciler::replica_reconciler(boost::asio::any_io_executor executor, std::string self,
                                       report_table& table, replica_reconciler_hooks hooks,
                                       replica_reconciler_options options)
    : state_(std::make_shared<state>(std::move(executor), std::move(self), table, std::move(hooks),
                                     options))
{
}

replica_reconciler::~replica_reconciler()
{
    state_->stopped = true;
    state_->wake_timer.cancel();
}

boost::asio::awaitable<void> replica_reconciler::run()
{
    const auto self = state_;
    while (!self->stopped) {
        const time_point now = monotonic_clock::now();
        self->woken = false;
        self->reconcile(now);
        co_await sleep_for(min_plan_interval);
        if (self->stopped || self->woken) {
            continue;
        }
        self->wake_timer.expires_at(now + self->options.interval);
        boost::system::error_code ignored;
        co_await self->wake_timer.async_wait(
            boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
}

void replica_reconciler::wake()
{
    state_->wake();
}

const std::vector<decision>& replica_reconciler::last_plan() const
{
    return state_->last_plan;
}

std::vector<std::string> replica_reconciler::explain(const std::string& subject) const
{
    return explain_subject(subject, *state_->hooks.state(), state_->table.fleet(),
                           state_->last_plan, state_->options.repair, monotonic_clock::now());
}

std::uint64_t replica_reconciler::commands_sent() const
{
    return state_->commands.sent_count();
}

} // namespace chervildyke
