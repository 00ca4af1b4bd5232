/** \file
 * Defines member_release, which decides when a VM may join another replica although the head of its
 * last one has not confirmed that it closed.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "assembly/assembly_plan.h"
#include "node.pb.h"

namespace chervildyke {

/** A head that can't be reached may go on serving with its members. It can't without them: once one
 * has left, no call makes progress, and the head breaks after engine_stall_time. So each member
 * leaves, and none joins another replica before the head must have broken.
 */
class member_release {
  public:
    /** \param input must outlive the object. */
    explicit member_release(const assembly_input& input) : in_(input) {}

    /** \return the listed members other than the head that have not confirmed that they left. */
    std::vector<std::string> members_to_leave(const schema::shared_replica& replica) const;

    /** \return true if no member other than the head is listed or has confirmed that it left. */
    bool has_no_known_member(const schema::shared_replica& replica) const;

    /** \return true once all listed members have left and the head must have stopped serving. */
    bool head_must_have_stopped(const schema::shared_replica& replica) const;

    /** \return true if the list shows the VM as a member, but not as the head, of a replica whose
     * head is not known to have closed and which the ledger does not know.
     */
    bool is_orphaned_member(const backend& vm) const;

    /** \return true if the VM, which no replica of the ledger holds, may join one. */
    bool may_join(const backend& vm) const;

  private:
    std::optional<time_point> left_at(const std::string& vm, std::uint64_t epoch) const;
    std::optional<time_point> first_left_at(const schema::shared_replica& replica) const;

    const assembly_input& in_;
};

} // namespace chervildyke
