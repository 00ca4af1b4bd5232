/** \file
 * Defines which controls watch a VM, and who acts first for a subject.
 */
#pragma once

#include <string>
#include <vector>

namespace chervildyke {

/** \param vm the VM to be watched.
 * \param members names of the members that are up.
 * \param count how many watch one VM.
 * \return the names of its watchers, the first one first.
 */
std::vector<std::string> watchers_of(const std::string& vm, const std::vector<std::string>& members,
                                     std::size_t count);

/** \return those of the VMs that the member watches, in the order given. */
std::vector<std::string> watched_by(const std::string& self, const std::vector<std::string>& vms,
                                    const std::vector<std::string>& members, std::size_t count);

/** Who acts for a subject saves work and decides no right: two that both think themselves first
 * do no harm.
 * \return whether the member is the first of those that are up.
 */
bool is_first_for(const std::string& subject, const std::string& self,
                  const std::vector<std::string>& members);

} // namespace chervildyke
