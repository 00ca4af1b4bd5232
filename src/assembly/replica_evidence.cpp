/** \file
 * Implements replica_evidence.
 */
#include "assembly/replica_evidence.h"

#include <algorithm>

namespace chervildyke {

bool replica_evidence::is_unresponsive(const schema::shared_replica& replica,
                                       const std::string& vm) const
{
    const probe_state* probe = in_.history->find_probe(vm);
    if (probe == nullptr || probe->failures < settings_.probe_failure_limit) {
        return false;
    }
    // A VM that has answered since the last event of the calls became silent after them, so that
    // its first probe may have failed sooner after its last sign of life.
    const auto use = in_.uses.find(replica.epoch());
    const bool answered_since =
        use != in_.uses.end() && in_.now - probe->answered_at < use->second.silent;
    const duration limit = settings_.probe_silence_limit +
                           (answered_since ? settings_.stall_probe_delay : duration::zero());
    return probe->refused || probe->last_failure_at - probe->first_failure_at >= limit;
}

bool replica_evidence::makes_progress(const schema::shared_replica& replica) const
{
    const auto use = in_.uses.find(replica.epoch());
    return use != in_.uses.end() && use->second.running > 0 &&
           use->second.silent < settings_.stall_probe_delay;
}

bool replica_evidence::calls_may_finish(const schema::shared_replica& replica) const
{
    const auto use = in_.uses.find(replica.epoch());
    const auto& members = replica.members();
    return use != in_.uses.end() && use->second.running > 0 &&
           use->second.silent <= settings_.stall_retire_delay &&
           std::none_of(members.begin(), members.end(), [&](const schema::shared_member& member) {
               return is_unresponsive(replica, member.id());
           });
}

bool replica_evidence::member_was_silent(const schema::shared_replica& replica) const
{
    const auto& members = replica.members();
    return std::any_of(members.begin(), members.end(), [this](const schema::shared_member& member) {
        const probe_state* probe = in_.history->find_probe(member.id());
        return probe != nullptr && probe->last_failure_at != time_point() &&
               in_.now - probe->last_failure_at < settings_.silence_recovery;
    });
}

} // namespace chervildyke
