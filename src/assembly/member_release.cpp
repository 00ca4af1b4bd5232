/** \file
 * Implements member_release.
 */
#include "assembly/member_release.h"

#include <algorithm>

#include "assembly/formation_planner.h"

namespace chervildyke {

/** \return true if the VM has confirmed that it is not in the replica. */
bool member_release::has_left(const std::string& vm, std::uint64_t epoch) const
{
    const sent_command* leave = in_.history->find(vm, command_kind::leave, epoch);
    if (leave == nullptr) {
        return false;
    }
    const listed_backend* listed = in_.backends->find(vm);
    const bool shows_membership =
        listed != nullptr && listed->server.membership && listed->server.membership->epoch == epoch;
    // A VM may refuse for another reason than that it is in no such replica. It may also have
    // executed a late join since it left.
    const bool entry_is_older = in_.now - leave->at < list_lag;
    return (leave->outcome == command_outcome::begun && (!shows_membership || entry_is_older)) ||
           (leave->outcome == command_outcome::refused && !shows_membership);
}

std::vector<std::string>
member_release::members_to_leave(const schema::shared_replica& replica) const
{
    std::vector<std::string> vms;
    for (int i = 1; i < replica.members_size(); ++i) {
        const schema::shared_member& member = replica.members(i);
        const bool listed = find_listed_member(*in_.backends, member) != nullptr;
        if (listed && !has_left(member.id(), replica.epoch())) {
            vms.push_back(member.id());
        }
    }
    return vms;
}

bool member_release::may_give_up(const schema::shared_replica& replica) const
{
    const std::vector<std::string> staying = members_to_leave(replica);
    return std::all_of(staying.begin(), staying.end(), [&](const std::string& vm) {
        const sent_command* leave = in_.history->find(vm, command_kind::leave, replica.epoch());
        return leave != nullptr && leave->unanswered > 0;
    });
}

bool member_release::is_orphaned_member(const backend& vm) const
{
    return vm.membership && vm.membership->rank > 0 &&
           !in_.history->is_closed(vm.membership->epoch) && !in_.ledger->holder_of(vm.id) &&
           !has_left(vm.id, vm.membership->epoch);
}

} // namespace chervildyke
