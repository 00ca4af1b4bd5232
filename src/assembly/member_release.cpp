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
    if (leave == nullptr) {
        return std::nullopt;
    }
    const listed_backend* listed = in_.backends->find(vm);
    const bool shows_membership =
        listed != nullptr && listed->server.membership && listed->server.membership->epoch == epoch;
    // A VM may refuse for another reason than that it is in no such replica.
    const bool has_left = leave->outcome == command_outcome::begun ||
                          (leave->outcome == command_outcome::refused && !shows_membership);
    return has_left ? std::optional(leave->outcome_at) : std::nullopt;
}

std::optional<time_point> member_release::first_left_at(const schema::shared_replica& replica) const
{
    std::optional<time_point> first;
    for (int i = 1; i < replica.members_size(); ++i) {
        const auto left = left_at(replica.members(i).id(), replica.epoch());
        if (left && (!first || *left < *first)) {
            first = left;
        }
    }
    return first;
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

bool member_release::has_no_known_member(const schema::shared_replica& replica) const
{
    return members_to_leave(replica).empty() && !first_left_at(replica);
}

bool member_release::head_must_have_stopped(const schema::shared_replica& replica) const
{
    const auto first_left = first_left_at(replica);
    return members_to_leave(replica).empty() && first_left &&
           in_.now - *first_left >= in_.engine_stall_time;
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
    const auto left = in_.history->leaves_of(vm.id);
    return std::all_of(left.begin(), left.end(), [this](const auto& leave) {
        const auto& [epoch, latest] = leave;
        return in_.history->is_closed(epoch) || in_.now - latest >= in_.engine_stall_time;
    });
}

} // namespace chervildyke
