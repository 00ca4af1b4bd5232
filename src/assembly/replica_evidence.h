/** \file
 * Defines replica_evidence, what probes and calls show of a replica's members.
 */
#pragma once

#include <string>

#include "assembly/assembly_plan.h"
#include "node.pb.h"

namespace chervildyke {

/** Judges from probes and calls whether the members of a replica work. */
class replica_evidence {
  public:
    /** Both arguments must outlive the object. */
    replica_evidence(const assembly_input& input, const assembly_settings& settings)
        : in_(input), settings_(settings)
    {
    }

    /** \return true when the member refuses connections or has been silent for too long. */
    bool is_unresponsive(const schema::shared_replica& replica, const std::string& vm) const;

    /** \return true while calls at the replica receive events. */
    bool makes_progress(const schema::shared_replica& replica) const;

    /** \return true while calls run at the replica, have not been silent for too long, and no
     * member counts as lost.
     */
    bool calls_may_finish(const schema::shared_replica& replica) const;

    /** \return true when the last failed probe of a member explains why calls receive no events. */
    bool member_was_silent(const schema::shared_replica& replica) const;

  private:
    const assembly_input& in_;
    const assembly_settings& settings_;
};

} // namespace chervildyke
