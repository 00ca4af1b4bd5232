/** \file
 * Implements replica_fleet.
 */
#include "support/replica_fleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::test {

namespace {

constexpr double accelerators_per_vm = 2;     // The default of fake_engines::add().
constexpr duration propagation_slack = 300ms; // For the steps between a poll and a pull.
constexpr duration freshness_slack = 20ms;
constexpr std::size_t max_violations = 20;

vm_role role_of(const std::string& pool)
{
    return pool == "chervil-pool" ? vm_role::engine : vm_role::other;
}

} // namespace

schema::fleet_configuration make_configuration(const std::vector<team_setup>& teams,
                                               std::uint64_t bytes_per_vm,
                                               std::uint64_t store_bytes_per_second)
{
    schema::fleet_configuration configuration;
    configuration.set_deployment("flanders");
    configuration.add_backend_pools("chervil-pool");
    configuration.set_weight_store_bytes_per_second(store_bytes_per_second);
    configuration.mutable_weights()->set_group_downtime(1.0);
    configuration.mutable_weights()->set_stranded_accelerator(0.1);
    configuration.add_templates()->set_name("desk");
    std::set<std::string> models;
    for (const team_setup& setup : teams) {
        schema::team& team = *configuration.add_teams();
        team.set_name(setup.name);
        team.set_template_("desk");
        schema::team_parameters& parameters = *team.mutable_parameters();
        parameters.set_model(setup.model);
        parameters.set_replicas(setup.replicas);
        parameters.set_vms_per_replica(setup.vms_per_replica);
        parameters.set_one_fabric_domain(true);
        parameters.set_priority(setup.priority);
        parameters.set_pool("chervil-pool");
        if (models.insert(setup.model).second) {
            schema::model& model = *configuration.add_models();
            model.set_name(setup.model);
            model.set_bytes_per_vm(bytes_per_vm);
        }
    }
    return configuration;
}

replica_fleet::replica_fleet(replica_fleet_options options)
    : clock(context), engines(options.store_bytes_per_second), options_(std::move(options)),
      state_(std::make_shared<const fleet_state>())
{
}

void replica_fleet::start()
{
    for (std::size_t i = 0; i < options_.controls; ++i) {
        add_control("entry-" + std::to_string(i));
    }
    for (auto& each : controls_) {
        boost::asio::co_spawn(context, each->watcher->run(), boost::asio::detached);
        boost::asio::co_spawn(context, each->reconciler->run(), boost::asio::detached);
    }
}

std::vector<std::string> replica_fleet::members_seen_by(const control& viewer) const
{
    if (viewer.sees_only_itself) {
        return {viewer.name};
    }
    std::vector<std::string> names;
    for (const auto& each : controls_) {
        names.push_back(each->name);
    }
    return names;
}

void replica_fleet::add_control(const std::string& name)
{
    controls_.push_back(std::make_unique<control>());
    control& added = *controls_.back();
    added.name = name;
    added.table = std::make_unique<report_table>(name, options_.reconciler.repair.bounds, role_of);
    vm_watcher_hooks watcher_hooks;
    watcher_hooks.vm_list = engines.vm_list();
    watcher_hooks.engine = engines.client();
    watcher_hooks.alive_members = [this, &added] { return members_seen_by(added); };
    watcher_hooks.pull_reports =
        [this](std::string peer, schema::report_request request,
               duration) -> boost::asio::awaitable<std::optional<schema::report_batch>> {
        co_await sleep_for(2ms);
        for (const auto& each : controls_) {
            if (each->name == peer) {
                co_return each->watcher->serve_reports(request);
            }
        }
        co_return std::nullopt;
    };
    watcher_hooks.on_change = [&added] {
        if (added.reconciler) {
            added.reconciler->wake();
        }
    };
    added.watcher = std::make_unique<vm_watcher>(context.get_executor(), name, *added.table,
                                                 std::move(watcher_hooks), options_.watcher);
    replica_reconciler_hooks reconciler_hooks;
    reconciler_hooks.engine = engines.client();
    reconciler_hooks.state = [this] { return state_; };
    reconciler_hooks.alive_members = [this, &added] { return members_seen_by(added); };
    reconciler_hooks.can_act = [&added] { return !added.blocked && added.watcher->has_list(); };
    reconciler_hooks.prioritize_vms = [&added](std::set<std::string> vms) {
        added.watcher->prioritize(std::move(vms));
    };
    reconciler_hooks.propose =
        [this](schema::journal_record change,
               duration) -> boost::asio::awaitable<std::optional<record_outcome>> {
        co_await sleep_for(options_.append_latency / 2);
        const record_outcome outcome = append(std::move(change));
        co_await sleep_for(options_.append_latency / 2);
        co_return outcome;
    };
    added.reconciler =
        std::make_unique<replica_reconciler>(context.get_executor(), name, *added.table,
                                             std::move(reconciler_hooks), options_.reconciler);
}

record_outcome replica_fleet::append(schema::journal_record record)
{
    const log_offset offset = next_offset_++;
    record.set_id("record-" + std::to_string(offset));
    record.set_format(state_->format());
    const apply_result outcome = state_->apply(record, offset);
    state_ = outcome.state;
    return outcome.outcome;
}

void replica_fleet::publish(const schema::fleet_configuration& configuration)
{
    schema::journal_record record;
    record.mutable_configuration()->set_base_version(state_->configuration_version());
    *record.mutable_configuration()->mutable_configuration() = configuration;
    const record_outcome outcome = append(std::move(record));
    if (!outcome.accepted()) {
        violations_.push_back("the configuration was rejected: " + outcome.reason);
    }
}

void replica_fleet::advance(duration span)
{
    const time_point end = monotonic_clock::now() + span;
    while (monotonic_clock::now() < end) {
        clock.advance(options_.check_interval, options_.check_interval / 2);
        record_membership();
        check_views();
        check_journal();
        measure(std::chrono::duration<double>(options_.check_interval).count());
    }
}

void replica_fleet::record_membership()
{
    for (const auto& [name, engine] : engines.all()) {
        const bool is_ready_member = engine.replica_id != 0 && !engine.dead && !engine.paused &&
                                     engine.bytes_to_load <= 0 &&
                                     engine.replica_id == engine.fencing;
        if (engine.dead || engine.paused || last_silent_at_.count(name) == 0) {
            last_silent_at_[name] = monotonic_clock::now();
        }
        if (is_ready_member) {
            last_member_at_[name][engine.replica_id] = monotonic_clock::now();
        }
    }
}

void replica_fleet::check_views()
{
    const time_point now = monotonic_clock::now();
    const duration freshness = options_.reconciler.repair.bounds.report_freshness + freshness_slack;
    // All controls know an engine's answer after one poll, one pull and the steps between them.
    const duration propagation_time =
        options_.watcher.watch_interval + options_.watcher.pull_interval + propagation_slack;
    for (std::size_t i = 0; i < controls_.size() && violations_.size() < max_violations; ++i) {
        const schema::routing_view whole = view(i);
        for (const schema::replica_view& shown : whole.replicas()) {
            if (!shown.serving()) {
                continue;
            }
            for (const schema::member_view& member : shown.members()) {
                const auto& memberships = last_member_at_[member.vm()];
                const auto membership = memberships.find(shown.replica_id());
                const bool answers = now - last_silent_at_[member.vm()] > propagation_time;
                const duration allowed = answers ? propagation_time : freshness;
                if (membership == memberships.end() || now - membership->second > allowed) {
                    violations_.push_back("control " + std::to_string(i) + " shows replica " +
                                          std::to_string(shown.replica_id()) +
                                          " as serving, but VM " + member.vm() +
                                          " is not a ready member of it");
                }
            }
        }
    }
}

void replica_fleet::check_journal()
{
    std::map<std::string, replica_id> holders;
    for (const auto& [id, subject] : state_->replicas()) {
        for (const replica_vm& member : subject.members) {
            if (!member.released && !holders.emplace(member.vm, id).second) {
                violations_.push_back("VM " + member.vm + " is held by replica " +
                                      std::to_string(holders.at(member.vm)) + " and by replica " +
                                      std::to_string(id));
            }
        }
    }
}

void replica_fleet::measure(double seconds)
{
    const schema::routing_view shown = view(0);
    std::map<std::string, std::size_t> complete;
    std::set<std::string> working_vms;
    for (const schema::replica_view& each : shown.replicas()) {
        if (each.serving()) {
            ++complete[each.team()];
            for (const schema::member_view& member : each.members()) {
                working_vms.insert(member.vm());
            }
        }
    }
    double missing_replicas = 0;
    double usable_accelerators = 0;
    for (const auto& [name, team] : state_->teams()) {
        const std::size_t wanted = team.parameters.replicas();
        const auto missing = static_cast<double>(wanted - std::min(wanted, complete[name]));
        missing_replicas += missing;
        weighted_downtime_ += seconds * missing * (1.0 + team.parameters.priority());
        usable_accelerators += missing * team.parameters.vms_per_replica() * accelerators_per_vm;
    }
    double idle_accelerators = 0;
    for (const auto& [name, engine] : engines.all()) {
        const bool idle = !engine.dead && !engine.paused && working_vms.count(name) == 0;
        idle_accelerators += idle ? engine.entry.accelerators() : 0;
    }
    group_downtime_ += seconds * missing_replicas;
    stranded_accelerator_seconds_ += seconds * std::min(idle_accelerators, usable_accelerators);
}

void replica_fleet::reset_measurements()
{
    group_downtime_ = 0;
    weighted_downtime_ = 0;
    stranded_accelerator_seconds_ = 0;
}

const observed_fleet& replica_fleet::observed(std::size_t index) const
{
    return controls_.at(index)->table->fleet();
}

schema::routing_view replica_fleet::view(std::size_t index) const
{
    view_context shown;
    shown.control = controls_.at(index)->name;
    shown.bounds = options_.reconciler.repair.bounds;
    return build_view(*state_, observed(index), shown, monotonic_clock::now());
}

std::size_t replica_fleet::serving(const std::string& team, std::size_t index) const
{
    std::size_t count = 0;
    const schema::routing_view whole = view(index);
    for (const schema::replica_view& shown : whole.replicas()) {
        count += shown.serving() && shown.team() == team ? 1 : 0;
    }
    return count;
}

} // namespace chervildyke::test
