/** \file
 * Defines member_release, which decides when a VM may join another replica although the head of its
 * last one has not confirmed that it closed.
 */
#pragma once

#include <string>
#include <vector>

#include "assembly/assembly_plan.h"
#include "node.pb.h"

namespace chervildyke {

/** A head that can't be reached may go on serving with its members, and no time bounds that. So
 * each member leaves the replica, and joins another one only once it has confirmed that it left.
 * The head can't serve without its members. What is decided here follows the list of VMs; before a
 * VM joins, join_guard asks the VM itself.
 */
class member_release {
  public:
    /** \param input must outlive the object. */
    explicit member_release(const assembly_input& input) : in_(input) {}

    /** \return the listed members other than the head that have not confirmed that they left. */
    std::vector<std::string> members_to_leave(const schema::shared_replica& replica) const;

    /** \return true if the members of the replica can be freed one by one: each of them has left,
     * is not listed, or did not answer its last command to leave. Those that have not left join no
     * other replica before they do, as orphaned members.
     */
    bool may_give_up(const schema::shared_replica& replica) const;

    /** \return true if the VM, which no replica of the ledger holds, is a member but not the head
     * of a replica whose head is not known to have closed.
     */
    bool is_orphaned_member(const backend& vm) const;

  private:
    bool has_left(const std::string& vm, std::uint64_t epoch) const;

    const assembly_input& in_;
};

} // namespace chervildyke
