/** \file
 * Implements plan_builder.
 */
#include "assembly/plan_builder.h"

#include <algorithm>

namespace chervildyke {

const replica_membership* membership_in(const listed_backend* listed, const ledger_entry& entry)
{
    if (listed == nullptr || !listed->server.membership) {
        return nullptr;
    }
    const replica_membership& membership = *listed->server.membership;
    const bool same = membership.replica == entry.first && membership.epoch == entry.second.epoch();
    return same ? &membership : nullptr;
}

void plan_builder::add_probe(const std::string& vm)
{
    const probe_state* before = in_.history->find_probe(vm);
    const bool trusted = before != nullptr && before->failures == 0 &&
                         in_.now - before->answered_at < settings_.probe_validity;
    const bool due =
        !trusted && (before == nullptr || in_.now - before->last_at >= settings_.probe_interval);
    const bool planned = std::find(plan.probes.begin(), plan.probes.end(), vm) != plan.probes.end();
    if (due && !planned) {
        plan.probes.push_back(vm);
    }
}

bool plan_builder::add_command(const std::string& vm, const engine_command& command,
                               bool loads_weights)
{
    const sent_command* before = in_.history->find(vm, command.kind, command.epoch);
    if (before != nullptr && in_.now - before->at < settings_.command_resend_interval) {
        return false;
    }
    if (loads_weights && before == nullptr && !in_.before_first_call) {
        if (remaining_loads_ == 0) {
            return false;
        }
        --remaining_loads_;
    }
    plan.commands.push_back({vm, command, loads_weights});
    return true;
}

void plan_builder::drop_closed(const ledger_entry& entry)
{
    plan.closed.push_back(entry.second.epoch());
    drop(entry);
}

void plan_builder::drop(const ledger_entry& entry)
{
    keyed_record dropped;
    dropped.key = entry.first;
    plan.records.push_back(std::move(dropped));
}

} // namespace chervildyke
