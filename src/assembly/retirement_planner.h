/** \file
 * Defines retirement_planner, the part of a plan that ends replicas and frees their VMs.
 */
#pragma once

#include <string>

#include "assembly/member_release.h"
#include "assembly/plan_builder.h"
#include "assembly/replica_evidence.h"

namespace chervildyke {

/** Closes the heads of retiring replicas, and of replicas that the ledger does not know. */
class retirement_planner {
  public:
    /** All arguments must outlive the object. */
    retirement_planner(const assembly_input& input, const assembly_settings& settings,
                       plan_builder& builder)
        : in_(input), settings_(settings), evidence_(input, settings), release_(input),
          builder_(builder)
    {
    }

    /** Takes the next steps to end a retiring replica. */
    void finish(const ledger_entry& entry);

    /** Makes VMs leave replicas that the ledger does not know, so that they can join others: heads
     * that take calls, and members whose head may. A late command opened such a replica, or its
     * record was lost.
     */
    void close_orphans();

  private:
    void finish_without_head(const ledger_entry& entry);
    void release_members(const ledger_entry& entry);
    bool close_head(const std::string& head, const engine_command& close_now, bool abort_calls);
    bool waits_for_lost_head(const ledger_entry& entry, const lost_head& lost,
                             const sent_command* idle_close);

    const assembly_input& in_;
    const assembly_settings& settings_;
    replica_evidence evidence_;
    member_release release_;
    plan_builder& builder_;
};

} // namespace chervildyke
