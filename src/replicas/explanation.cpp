/** \file
 * Implements the explanations for operators.
 */
#include "replicas/explanation.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "replicas/replica_health.h"
#include "replicas/vm_allocator.h"

namespace chervildyke {

namespace {

const char* to_string(decision_kind kind)
{
    switch (kind) {
    case decision_kind::wait:
        return "waits";
    case decision_kind::form_replica:
        return "forms a replica";
    case decision_kind::mark_serving:
        return "marks as serving";
    case decision_kind::retire_replica:
        return "retires";
    case decision_kind::release_vm:
        return "releases";
    }
    return "unknown";
}

std::string phase_name(schema::replica_phase phase)
{
    return schema::replica_phase_Name(phase);
}

void explain_replica(const replica& subject, const observed_fleet& fleet,
                     const repair_options& options, time_point now, std::vector<std::string>& lines)
{
    const replica_health health = assess_replica(subject, fleet, options.bounds, now);
    std::ostringstream line;
    line << "replica " << subject.id << " is " << phase_name(subject.phase) << " on "
         << subject.members.size() << " VMs, " << (health.complete ? "complete" : "incomplete");
    lines.push_back(line.str());
    for (std::size_t i = 0; i < subject.members.size(); ++i) {
        if (health.members[i] != member_state::ready) {
            lines.push_back("  " + subject.members[i].vm + " is " +
                            (subject.members[i].released
                                 ? std::string("released")
                                 : std::string(to_string(health.members[i]))));
        }
    }
}

void explain_team(const std::string& name, const configured_team& team, const fleet_state& state,
                  const observed_fleet& fleet, const repair_options& options, time_point now,
                  std::vector<std::string>& lines)
{
    const schema::team_parameters& wanted = team.parameters;
    std::ostringstream line;
    line << "team " << name << " wants " << wanted.replicas() << " replicas of "
         << wanted.vms_per_replica() << " VMs from pool " << wanted.pool()
         << (wanted.one_fabric_domain() ? ", each in one fabric domain" : "") << ", priority "
         << wanted.priority() << "; " << state.live_replicas(name) << " exist";
    lines.push_back(line.str());
    for (const auto& [id, subject] : state.replicas()) {
        if (subject.team == name) {
            explain_replica(subject, fleet, options, now, lines);
        }
    }
}

void explain_vm(const observed_vm& vm, const fleet_state& state, const repair_options& options,
                const observed_fleet& fleet, time_point now, std::vector<std::string>& lines)
{
    const auto& names = state.configuration()->drained_vms();
    const std::set<std::string> drained(names.begin(), names.end());
    const unfit_reason unfit = check_fitness(vm, drained, options.bounds, now);
    const auto holder = state.holder_of(vm.vm);
    lines.push_back("VM " + vm.vm + " of pool " + vm.pool + " in " + vm.fabric_domain + ", " +
                    std::to_string(vm.accelerators) + " accelerators");
    if (unfit != unfit_reason::none) {
        lines.push_back("it is unfit for a new replica: " + std::string(to_string(unfit)));
    }
    if (fleet.in_unreachable_domain(vm)) {
        lines.push_back(
            "its fabric domain is unreachable: most of its VMs stopped answering together");
    }
    if (vm.straggling_since) {
        lines.push_back("it is slower than its peers with the same model");
    }
    if (!holder) {
        const bool reports_replica = vm.report && vm.report->replica_id() != 0;
        lines.push_back(reports_replica
                            ? "no replica holds it, but its engine still reports replica " +
                                  std::to_string(vm.report->replica_id())
                            : std::string("no replica holds it: no team lacks a replica that "
                                          "it could complete"));
        return;
    }
    const replica* subject = state.find_replica(*holder);
    if (subject == nullptr) {
        return;
    }
    lines.push_back("held by replica " + std::to_string(*holder) + " of team " + subject->team);
    explain_replica(*subject, fleet, options, now, lines);
}

bool is_about(const decision& subject, const std::string& name)
{
    const auto& vms = subject.vms;
    return subject.team == name || std::find(vms.begin(), vms.end(), name) != vms.end();
}

} // namespace

std::string to_line(const decision& subject)
{
    std::ostringstream line;
    line << "team " << subject.team << " " << to_string(subject.kind);
    if (subject.replica != 0) {
        line << (subject.kind == decision_kind::form_replica ? " in place of " : " ") << "replica "
             << subject.replica;
    }
    for (std::size_t i = 0; i < subject.vms.size(); ++i) {
        line << (i == 0 ? " with " : ", ") << subject.vms[i];
    }
    line << ": " << subject.reason;
    for (const repair_candidate& candidate : subject.candidates) {
        line << "; " << to_string(candidate.action) << " would cost " << candidate.cost << " ("
             << candidate.note << ")";
    }
    return line.str();
}

std::vector<std::string> explain_subject(const std::string& subject, const fleet_state& state,
                                         const observed_fleet& fleet,
                                         const std::vector<decision>& plan,
                                         const repair_options& options, time_point now)
{
    std::vector<std::string> lines;
    const auto team = state.teams().find(subject);
    if (team != state.teams().end()) {
        explain_team(subject, team->second, state, fleet, options, now, lines);
    }
    const observed_vm* vm = fleet.find(subject);
    if (vm != nullptr) {
        explain_vm(*vm, state, options, fleet, now, lines);
    }
    for (const decision& next : plan) {
        if (is_about(next, subject)) {
            lines.push_back(to_line(next));
        }
    }
    if (fleet.isolated) {
        lines.push_back("no engine answers this control, so it makes no decisions");
    }
    if (lines.empty()) {
        lines.push_back("no team and no VM has the name " + subject);
    }
    return lines;
}

} // namespace chervildyke
