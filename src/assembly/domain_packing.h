/** \file
 * Defines domain_packing, which divides the VMs of fabric domains into whole replicas and spares.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace chervildyke {

/** A model as packing sees it. */
struct packed_model {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    double share = 0;               // Of the VMs in replicas; all shares add up to one.

    bool operator==(const packed_model&) const = default;
};

/** One fabric domain. */
struct domain_room {
    std::uint32_t vms = 0;                         // That can be used, in replicas or free.
    std::map<std::string, std::uint32_t> replicas; // That form or serve, by model.

    bool operator==(const domain_room&) const = default;
};

/** A replica to be formed. */
struct placement {
    std::string domain;
    std::string model;

    bool operator==(const placement&) const = default;
};

/** A domain whose size no mix of replicas fills leaves VMs that serve nobody, however the shares of
 * models are rounded over the whole service. So targets are counted in what domains can hold, and
 * larger replicas are placed first, where the rest can still be filled.
 *
 * Each domain keeps spares, since only they can replace a lost member there. A domain that lost VMs
 * has used its spares and keeps fewer.
 */
class domain_packing {
  public:
    /** \param spare_share of a domain's VMs that stay beside its replicas, one at least. */
    domain_packing(std::vector<packed_model> models, std::map<std::string, domain_room> domains,
                   double spare_share);

    /** \return how many replicas of each model the domains should hold, one at least. */
    std::map<std::string, std::uint32_t> targets() const;

    /** \return the replicas that are missing, in the order in which to form them. */
    std::vector<placement> missing() const;

  private:
    std::uint32_t spares(std::uint32_t vms) const;
    std::uint32_t limit(const domain_room& domain) const;

    /** \return the most VMs, at most those given, that whole replicas use. */
    std::uint32_t best_fill(std::uint32_t vms) const;
    std::uint32_t used(const domain_room& domain) const;

    /** \return the domain with room for a replica that suits it best, or null. */
    const std::string* best_domain(const packed_model& model,
                                   const std::map<std::string, domain_room>& domains,
                                   bool keep_spares) const;

    std::vector<packed_model> models_; // The largest replicas first.
    std::map<std::string, domain_room> domains_;
    double spare_share_;
    std::uint32_t usual_vms_ = 0; // Of a domain that has lost none.
};

} // namespace chervildyke
