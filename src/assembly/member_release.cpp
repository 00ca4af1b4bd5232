/** \file
 * Implements member_release.
 */
#include "assembly/member_release.h"

#include <algorithm>

#include "assembly/formation_planner.h"

namespace chervildyke {

/** \return when the VM had left the replica at the latest, as it has confirmed itself. */
std::optional<time_point> member_release::left_at(const std::string& vm, std::uint64_t epoch) const
{
    const sent_command* leave = in_.history->find(vm, command_kind::leave, epoch);
    const bool has_left = leave != nullptr && (leave->outcome == command_outcome::begun ||
                                               leave->outcome == command_outcome::refused);
    return has_left ? std::optional(leave->outcome_at) : std::nullopt;
}

std::vector<std::string>
member_release::members_to_leave(const schema::shared_replica& replica) const
{
    std::vector<std::string> vms;
    for (int i = 1; i < replica.members_size(); ++i) {
        const schema::shared_member& member = replica.members(i);
        const bool listed = find_listed_member(*in_.backends, member) != nullptr;
        if (listed && !left_at(member.id(), replica.epoch())) {
            vms.push_back(member.id());
        }
    }
    return vms;
}

bool member_release::head_must_have_stopped(const schema::shared_replica& replica) const
{
    if (!members_to_leave(replica).empty()) {
        return false;
    }
    std::optional<time_point> first_left;
    for (const schema::shared_member& member : replica.members()) {
        const auto left = left_at(member.id(), replica.epoch());
        if (left && (!first_left || *left < *first_left)) {
            first_left = left;
        }
    }
    // Without any, the ledger keeps no VM from use: those that are listed again count as orphaned.
    return !first_left || in_.now - *first_left >= in_.engine_stall_time;
}

bool member_release::is_orphaned_member(const backend& vm) const
{
    return vm.membership && vm.membership->rank > 0 &&
           !in_.history->is_closed(vm.membership->epoch) && !in_.ledger->holder_of(vm.id);
}

bool member_release::may_join(const backend& vm) const
{
    if (is_orphaned_member(vm)) {
        return false;
    }
    const auto recent = in_.history->leaves_since(vm.id, in_.now - in_.engine_stall_time);
    return std::all_of(recent.begin(), recent.end(),
                       [this](std::uint64_t epoch) { return in_.history->is_closed(epoch); });
}

} // namespace chervildyke
