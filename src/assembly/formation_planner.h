/** \file
 * Defines formation_planner, which decides which replicas form.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "assembly/assembly_plan.h"
#include "assembly/domain_packing.h"
#include "assembly/member_pool.h"

namespace chervildyke {

/** \return the list entry of the member, or null when the member is not listed or has restarted. */
const listed_backend* find_listed_member(const backend_table& backends,
                                         const schema::shared_member& member);

/** \return the models with their shares of the VMs in replicas.
 * \param demand replica time demanded, by model, in ms per second.
 */
std::vector<model_share> model_shares(const engine_profile& profile,
                                      const std::map<std::string, double>& demand,
                                      const assembly_settings& settings);

/** The part of a plan that decides how many replicas there are, and of which VMs. */
class formation_planner {
  public:
    /** \param first the offset of the first record made here. */
    formation_planner(const assembly_input& input, const assembly_settings& settings,
                      log_position first);

    /** Forms replicas of the models that are below their targets. */
    void run();

    /** \return the records to append. */
    const std::vector<keyed_record>& records() const { return records_; }

    /** \return the members of the new replicas. */
    const std::vector<schema::shared_member>& taken() const { return taken_; }

    /** \return true when the VM is a member of a new replica. */
    bool uses_vm(const std::string& vm) const;

    /** \return the number of forming and serving replicas, new ones included, by model. */
    const std::map<std::string, std::uint32_t>& counts() const { return replica_counts_; }

    /** \return the number of replicas wanted, by model. */
    const std::map<std::string, std::uint32_t>& targets() const { return targets_; }

    /** \return the decision on the split between models, if the input asks for one. */
    const std::optional<split_decision>& split() const { return split_; }

  private:
    /** \return false when the replica retires, now or once a leaving member has left, or takes no
     * calls because its failure domain is evacuated.
     */
    bool will_remain(const schema::shared_replica& replica) const;
    std::map<std::string, std::uint32_t> counts_by_model() const;
    domain_packing make_packing();

    /** \return the models with shares that give each its number of replicas in the best split.
     * \param vms how many VMs replicas may use.
     */
    std::vector<model_share> split_shares(std::uint32_t vms);
    void form(const model_profile& model, const std::vector<schema::shared_member>& members);

    /** Forms the missing replicas of the packing, also of VMs that have to load the model. */
    void form_from_packing(const domain_packing& packing);

    /** Forms replicas only of VMs that hold the model, for the model with the lowest fill ratio
     * first.
     */
    void form_from_holders();

    /** \return the number of forming and serving replicas as a fraction of the target. */
    double fill_ratio(const std::string& model) const;

    const assembly_input& in_;
    const assembly_settings& settings_;
    log_position next_;
    member_pool pool_;
    std::map<std::string, std::uint32_t> replica_counts_;
    std::map<std::string, std::uint32_t> targets_;
    std::optional<split_decision> split_;
    std::vector<schema::shared_member> taken_;
    std::vector<keyed_record> records_;
};

} // namespace chervildyke
