/** \file
 * Implements build_view.
 */
#include "replicas/view_builder.h"

#include <algorithm>
#include <set>

#include "replicas/replica_health.h"

namespace chervildyke {

namespace {

constexpr std::int64_t max_report_age_ms = 3'600'000;

/** \return the age of the oldest of the members' newest answers; a member without an answer counts
 * as older than any fresh report.
 */
std::uint32_t oldest_report_age_ms(const replica& subject, const observed_fleet& fleet,
                                   const watch_bounds& bounds, time_point now)
{
    duration oldest{0};
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet.find(member.vm);
        const bool has_answered = vm != nullptr && vm->last_answer_at;
        oldest = std::max(oldest,
                          has_answered ? now - *vm->last_answer_at : 2 * bounds.report_freshness);
    }
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(oldest).count();
    return static_cast<std::uint32_t>(std::min<std::int64_t>(age, max_report_age_ms));
}

/** \return the adapters that every member has loaded. */
std::set<std::string> common_adapters(const replica& subject, const observed_fleet& fleet)
{
    std::set<std::string> common;
    bool first = true;
    for (const replica_vm& member : subject.members) {
        const observed_vm* vm = fleet.find(member.vm);
        std::set<std::string> loaded;
        if (vm != nullptr && vm->report) {
            loaded.insert(vm->report->adapters().begin(), vm->report->adapters().end());
        }
        std::set<std::string> both;
        std::set_intersection(common.begin(), common.end(), loaded.begin(), loaded.end(),
                              std::inserter(both, both.end()));
        common = first ? std::move(loaded) : std::move(both);
        first = false;
    }
    return common;
}

/** \param front the member that receives the calls, or null. */
void fill_load(const observed_vm* front, schema::replica_view& view)
{
    if (front == nullptr || !front->report) {
        return;
    }
    const schema::engine_report& report = *front->report;
    view.set_running(report.running());
    view.set_queued(report.queued());
    view.set_token_time_us(report.token_time_us());
    view.set_batch_limit(report.batch_limit());
    *view.mutable_cached_prefixes() = report.cached_prefixes();
}

void fill_replica(const replica& subject, const observed_fleet& fleet, const watch_bounds& bounds,
                  time_point now, schema::replica_view& view)
{
    const replica_health health = assess_replica(subject, fleet, bounds, now);
    view.set_replica_id(subject.id);
    view.set_team(subject.team);
    view.set_model(subject.model);
    view.set_serving(subject.phase == schema::serving && health.complete);
    view.set_oldest_report_age_ms(oldest_report_age_ms(subject, fleet, bounds, now));
    for (const std::string& adapter : common_adapters(subject, fleet)) {
        view.add_loaded_adapters(adapter);
    }
    for (const replica_vm& member : subject.members) {
        schema::member_view& shown = *view.add_members();
        shown.set_vm(member.vm);
        const observed_vm* vm = fleet.find(member.vm);
        if (vm != nullptr) {
            shown.set_address(vm->address);
            shown.set_failure_domain(vm->failure_domain);
            shown.set_fabric_domain(vm->fabric_domain);
        }
    }
    fill_load(subject.members.empty() ? nullptr : fleet.find(subject.members.front().vm), view);
}

void fill_service(const schema::plain_service& service, const std::set<std::string>& drained,
                  const observed_fleet& fleet, schema::service_view& view)
{
    view.set_name(service.name());
    *view.mutable_operations() = service.operations();
    for (const auto& [name, vm] : fleet.vms) {
        if (vm.pool != service.pool() || vm.presence == vm_presence::gone) {
            continue;
        }
        schema::backend_view& backend = *view.add_backends();
        backend.set_vm(name);
        backend.set_address(vm.address);
        backend.set_failure_domain(vm.failure_domain);
        backend.set_healthy(!vm.is_leaving() && !vm.lost_since && vm.last_answer_at &&
                            drained.count(name) == 0);
    }
}

} // namespace

schema::routing_view build_view(const fleet_state& state, const observed_fleet& fleet,
                                const view_context& context, time_point now)
{
    const schema::fleet_configuration& configuration = *state.configuration();
    const std::set<std::string> subset(context.teams.begin(), context.teams.end());
    const auto included = [&](const std::string& team) {
        return subset.empty() || subset.count(team) > 0;
    };
    schema::routing_view view;
    view.set_journal_offset(state.offset());
    view.set_configuration_version(state.configuration_version());
    view.set_control(context.control);
    view.set_ready(context.ready);
    for (const auto& [name, team] : state.teams()) {
        if (included(name)) {
            schema::team_view& shown = *view.add_teams();
            shown.set_name(name);
            *shown.mutable_parameters() = team.parameters;
        }
    }
    for (const auto& [id, subject] : state.replicas()) {
        if (subject.live() && included(subject.team)) {
            fill_replica(subject, fleet, context.bounds, now, *view.add_replicas());
        }
    }
    const auto& names = configuration.drained_vms();
    const std::set<std::string> drained(names.begin(), names.end());
    for (const schema::plain_service& service : configuration.services()) {
        fill_service(service, drained, fleet, *view.add_services());
    }
    *view.mutable_tenants() = configuration.tenants();
    for (const schema::entry_view& entry : context.entries) {
        *view.add_entries() = entry;
    }
    return view;
}

} // namespace chervildyke
