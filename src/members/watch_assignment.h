/** \file
 * Defines which members watch a VM, and which member acts first for a subject.
 */
#pragma once

#include <string>
#include <vector>

namespace chervildyke {

/** \param vm the VM to be watched.
 * \param members names of the members that are up.
 * \param count how many members watch one VM.
 * \return the names of the VM's watchers, the first watcher first.
 */
std::vector<std::string> watchers_of(const std::string& vm, const std::vector<std::string>& members,
                                     std::size_t count);

/** \param self name of the watching member.
 * \param vms names of all VMs to be watched.
 * \param members names of the members that are up.
 * \param count how many members watch one VM.
 * \return those of the VMs that the member watches, in the order of vms.
 */
std::vector<std::string> watched_by(const std::string& self, const std::vector<std::string>& vms,
                                    const std::vector<std::string>& members, std::size_t count);

/** Whether a member comes first in the rendezvous order for a subject. That only the first member
 * acts for a subject saves work; it is not a lock. Members that see different members up may both
 * find themselves first, which does no harm.
 * \param subject what is acted for, such as a replica or a stream of orders.
 * \param self name of the member.
 * \param members names of the members that are up.
 */
bool is_first_member_for(const std::string& subject, const std::string& self,
                         const std::vector<std::string>& members);

} // namespace chervildyke
