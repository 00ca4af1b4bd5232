/** \file
 * Implements the status reply and the metrics of a control node.
 */
#include "control/node_status.h"

#include <map>
#include <sstream>

#include "journal/replica_record.h"

namespace chervildyke {

namespace {

void write_vm_report(const observed_vm& vm, time_point now, schema::vm_report& report)
{
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    report.set_vm(vm.vm);
    report.set_watcher(vm.watcher);
    report.set_reachable(!vm.lost_since.has_value());
    report.set_leaving(vm.is_leaving());
    if (vm.last_answer_at) {
        const auto age = duration_cast<milliseconds>(now - *vm.last_answer_at);
        report.set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
    if (vm.report) {
        *report.mutable_engine() = *vm.report;
    }
}

void write_gauge(std::ostream& out, const char* name, const char* help, double value)
{
    out << "# HELP " << name << " " << help << "\n# TYPE " << name << " gauge\n"
        << name << " " << value << "\n";
}

double count_replicas_in_phase(const fleet_state& state, schema::replica_phase phase)
{
    double count = 0;
    for (const auto& [id, subject] : state.replicas()) {
        count += subject.phase == phase ? 1 : 0;
    }
    return count;
}

} // namespace

schema::status_reply make_status(const status_sources& sources, bool with_replicas)
{
    schema::status_reply reply;
    const fleet_state& state = *sources.journal->state();
    reply.set_vm(sources.vm);
    reply.set_incarnation(sources.incarnation);
    reply.set_highest_offset(state.offset());
    reply.set_configuration_version(state.configuration_version());
    reply.set_log_reachable(sources.journal->log_reachable());
    reply.set_ready(sources.journal->ready());
    reply.set_entry_configuration_version(sources.entry_configuration_version);
    if (!with_replicas) {
        return reply;
    }
    for (const auto& [id, subject] : state.replicas()) {
        write_replica(subject, *reply.add_replicas());
    }
    const time_point now = monotonic_clock::now();
    for (const auto& [name, vm] : sources.reports->fleet().vms) {
        write_vm_report(vm, now, *reply.add_reports());
    }
    return reply;
}

std::string format_metrics(const status_sources& sources)
{
    const fleet_state& state = *sources.journal->state();
    std::ostringstream out;
    write_gauge(out, "chervil_control_ready", "Whether the journal state is current.",
                sources.journal->ready() ? 1 : 0);
    write_gauge(out, "chervil_control_log_reachable", "Whether the log answered the last read.",
                sources.journal->log_reachable() ? 1 : 0);
    write_gauge(out, "chervil_control_journal_offset", "The highest applied offset.",
                static_cast<double>(state.offset()));
    write_gauge(out, "chervil_control_configuration_version", "The configuration in force.",
                static_cast<double>(state.configuration_version()));
    write_gauge(out, "chervil_control_replicas_forming", "Replicas that are being formed.",
                count_replicas_in_phase(state, schema::forming));
    write_gauge(out, "chervil_control_replicas_serving", "Replicas that serve by the journal.",
                count_replicas_in_phase(state, schema::serving));
    write_gauge(out, "chervil_control_replicas_retiring", "Replicas that are let go.",
                count_replicas_in_phase(state, schema::retiring));
    write_gauge(out, "chervil_control_known_vms", "VMs that the VM list showed.",
                static_cast<double>(sources.reports->fleet().vms.size()));
    return out.str();
}

} // namespace chervildyke
