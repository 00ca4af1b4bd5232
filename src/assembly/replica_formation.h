/** \file
 * Defines replica_formation, which decides which replicas form.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "assembly/assembly_plan.h"
#include "assembly/domain_packing.h"
#include "assembly/member_selection.h"

namespace chervildyke {

/** \return the member's entry when this life of it is still listed, else null. */
const listed_backend* present_member(const backend_table& backends,
                                     const schema::shared_member& member);

/** \return the models with their shares of the VMs in replicas.
 * \param demand replica time asked for, by model.
 */
std::vector<packed_model> model_shares(const engine_profile& profile,
                                       const std::map<std::string, double>& demand,
                                       const assembly_settings& settings);

/** The part of a plan that decides how many replicas there are, and of which VMs. */
class replica_formation {
  public:
    /** \param first_offset of the records made here. */
    replica_formation(const assembly_input& input, const assembly_settings& settings,
                      std::uint64_t first_offset);

    /** Forms replicas below their targets. */
    void run();

    /** \return the records to append. */
    const std::vector<keyed_record>& records() const { return records_; }

    /** \return the VMs that the records take. */
    const std::vector<schema::shared_member>& taken() const { return taken_; }
    bool takes(const std::string& vm) const;

    /** Replicas that form or serve, these included, by model. */
    const std::map<std::string, std::uint32_t>& counts() const { return counts_; }

    /** Replicas wanted, by model. */
    const std::map<std::string, std::uint32_t>& targets() const { return targets_; }

  private:
    /** True unless the replica gives way, now or when a member that leaves has left. */
    bool stays(const schema::shared_replica& replica) const;
    std::map<std::string, std::uint32_t> counts_by_model() const;
    domain_packing packing() const;
    void form(const model_profile& model, const std::vector<schema::shared_member>& members);
    void form_as_packed(const domain_packing& packed);
    void form_from_holders();

    /** \return the part of the replicas wanted that form or serve. */
    double filled(const std::string& model) const;

    const assembly_input& in_;
    const assembly_settings& settings_;
    std::uint64_t next_offset_;
    member_pool pool_;
    std::map<std::string, std::uint32_t> counts_;
    std::map<std::string, std::uint32_t> targets_;
    std::vector<schema::shared_member> taken_;
    std::vector<keyed_record> records_;
};

} // namespace chervildyke
