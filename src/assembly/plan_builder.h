/** \file
 * Defines plan_builder, which collects the records, commands and probes of one plan.
 */
#pragma once

#include <cstdint>
#include <string>
#include <utility>

#include "assembly/assembly_plan.h"
#include "node.pb.h"

namespace chervildyke {

/** A replica of the ledger under its name. */
using ledger_entry = std::pair<const std::string, schema::shared_replica>;

/** \return the listed VM's membership in the replica, or null if it is in none or another one. */
const replica_membership* membership_in(const listed_backend* listed, const ledger_entry& entry);

/** Adds to a plan what is due: nothing is sent again before its last outcome can be known. */
class plan_builder {
  public:
    /** Both arguments must outlive the object. */
    plan_builder(const assembly_input& input, const assembly_settings& settings)
        : in_(input), settings_(settings), remaining_loads_(input.load_allowance)
    {
    }

    /** Adds a probe of the VM unless one is under way or its last answer is recent. */
    void add_probe(const std::string& vm);

    /** Adds a command unless it was sent just before.
     * \param loads_weights the VM loads a model for it, which the allowance must permit.
     * \return true if it was added.
     */
    bool add_command(const std::string& vm, const engine_command& command,
                     bool loads_weights = false);

    /** Adds the record that removes the replica. */
    void drop(const ledger_entry& entry);

    /** The same for a replica whose head is known to serve no more. */
    void drop_closed(const ledger_entry& entry);

    std::uint32_t remaining_loads() const { return remaining_loads_; }

    assembly_plan plan;

  private:
    const assembly_input& in_;
    const assembly_settings& settings_;
    std::uint32_t remaining_loads_;
};

} // namespace chervildyke
