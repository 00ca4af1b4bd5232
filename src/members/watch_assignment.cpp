/** \file
 * Implements the assignment of VMs and subjects to members, by rendezvous hashing.
 */
#include "members/watch_assignment.h"

#include <algorithm>

#include "base/hash.h"

namespace chervildyke {

std::vector<std::string> watchers_of(const std::string& vm, const std::vector<std::string>& members,
                                     std::size_t count)
{
    return rendezvous_order(vm, members, count);
}

std::vector<std::string> watched_by(const std::string& self, const std::vector<std::string>& vms,
                                    const std::vector<std::string>& members, std::size_t count)
{
    std::vector<std::string> watched;
    for (const std::string& vm : vms) {
        const auto watchers = watchers_of(vm, members, count);
        if (std::find(watchers.begin(), watchers.end(), self) != watchers.end()) {
            watched.push_back(vm);
        }
    }
    return watched;
}

bool is_first_member_for(const std::string& subject, const std::string& self,
                         const std::vector<std::string>& members)
{
    const auto order = rendezvous_order(subject, members, 1);
    return !order.empty() && order.front() == self;
}

} // namespace chervildyke
