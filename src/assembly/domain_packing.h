/** \file
 * Defines domain_packing, which divides the VMs of fabric domains into whole replicas and spares.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervildyke {

/** A model with its share of the VMs. */
struct model_share {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    double share = 0;               // Fraction of the VMs in replicas; all shares add up to one.

    bool operator==(const model_share&) const = default;
};

/** The capacity of one fabric domain and the replicas that use it. */
struct domain_capacity {
    std::uint32_t vms = 0;                         // Usable VMs, in replicas or free.
    std::map<std::string, std::uint32_t> replicas; // Forming or serving, by model.

    bool operator==(const domain_capacity&) const = default;
};

/** A replica to be formed. */
struct placement {
    std::string domain;
    std::string model;

    bool operator==(const placement&) const = default;
};

/** Computes how many replicas of each model to form, and in which domains. If no combination of
 * replicas fills a domain, some of its VMs stay idle, however the models' shares are rounded over
 * the whole service. Targets are therefore counted in what each domain can hold, and larger
 * replicas are placed first, while smaller ones can still fill the rest.
 *
 * Each domain keeps spares, since only VMs of the same domain can replace a lost member. A domain
 * that lost VMs has used its spares and keeps fewer.
 */
class domain_packing {
  public:
    /** \param models with their shares.
     * \param domains by name.
     * \param spare_share fraction of a domain's VMs to keep as spares, at least one VM. Zero keeps
     * none.
     */
    domain_packing(std::vector<model_share> models, std::map<std::string, domain_capacity> domains,
                   double spare_share);

    /** \return how many VMs the replicas of all domains can use. */
    std::uint32_t replica_vms_of_all() const;

    /** \return how many replicas of each model the domains should hold, at least one. */
    std::map<std::string, std::uint32_t> targets() const;

    /** \return the replicas that are missing, in the order in which to form them. */
    std::vector<placement> missing() const;

  private:
    /** \return how many of a domain's VMs are to be spares. */
    std::uint32_t spare_vms(std::uint32_t vms) const;

    /** \return the most VMs of the domain that replicas may use. */
    std::uint32_t replica_vm_limit(const domain_capacity& domain) const;

    /** \return the most VMs, up to the given number, that whole replicas can use. */
    std::uint32_t max_fill(std::uint32_t vms) const;

    /** \return how many VMs the domain's replicas use. */
    std::uint32_t replica_vms(const domain_capacity& domain) const;

    /** \return the most suitable domain that has room for a replica, or null. */
    const std::string* best_domain(const model_share& model,
                                   const std::map<std::string, domain_capacity>& domains,
                                   bool keep_spares) const;

    std::vector<model_share> models_; // The largest replicas first.
    std::map<std::string, domain_capacity> domains_;
    double spare_share_;
    std::uint32_t full_domain_vms_ = 0; // Of a domain that has lost no VM.
};

} // namespace chervildyke
