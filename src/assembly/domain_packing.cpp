/** \file
 * Implements domain_packing.
 */
#include "assembly/domain_packing.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>
#include <utility>

namespace chervildyke {

namespace {

/** \return the size that a quarter of the domains reach or exceed. It estimates the size of a
 * domain that has lost no VM: at times most domains have lost some, and a few have additional ones.
 */
std::uint32_t upper_quartile(const std::map<std::string, domain_capacity>& domains)
{
    std::vector<std::uint32_t> sizes;
    for (const auto& [name, domain] : domains) {
        sizes.push_back(domain.vms);
    }
    std::sort(sizes.begin(), sizes.end(), std::greater<>());
    return sizes.empty() ? 0 : sizes[sizes.size() / 4];
}

std::uint32_t count_of(const std::map<std::string, std::uint32_t>& counts, const std::string& name)
{
    const auto found = counts.find(name);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

domain_packing::domain_packing(std::vector<model_share> models,
                               std::map<std::string, domain_capacity> domains, double spare_share)
    : models_(std::move(models)), domains_(std::move(domains)), spare_share_(spare_share),
      full_domain_vms_(upper_quartile(domains_))
{
    std::stable_sort(
        models_.begin(), models_.end(),
        [](const model_share& a, const model_share& b) { return a.replica_size > b.replica_size; });
}

std::uint32_t domain_packing::spare_vms(std::uint32_t vms) const
{
    const auto share = static_cast<std::uint32_t>(vms * spare_share_);
    return spare_share_ > 0 ? std::max<std::uint32_t>(share, 1) : 0;
}

std::uint32_t domain_packing::replica_vm_limit(const domain_capacity& domain) const
{
    const std::uint32_t full_size = std::max(domain.vms, full_domain_vms_);
    const std::uint32_t kept =
        std::min(domain.vms, full_size - std::min(spare_vms(full_size), full_size));
    // A domain that has room for a replica only without spares keeps none.
    return max_fill(kept) > 0 ? kept : domain.vms;
}

std::uint32_t domain_packing::max_fill(std::uint32_t vms) const
{
    std::vector<bool> reachable(vms + 1, false);
    reachable[0] = true;
    std::uint32_t best = 0;
    for (std::uint32_t total = 1; total <= vms; ++total) {
        reachable[total] =
            std::any_of(models_.begin(), models_.end(), [&](const model_share& model) {
                return model.replica_size <= total && reachable[total - model.replica_size];
            });
        best = reachable[total] ? total : best;
    }
    return best;
}

std::uint32_t domain_packing::replica_vms(const domain_capacity& domain) const
{
    std::uint32_t vms = 0;
    for (const model_share& model : models_) {
        vms += model.replica_size * count_of(domain.replicas, model.name);
    }
    return vms;
}

std::uint32_t domain_packing::replica_vms_of_all() const
{
    std::uint32_t fill = 0;
    for (const auto& [name, domain] : domains_) {
        fill += max_fill(replica_vm_limit(domain));
    }
    return fill;
}

std::map<std::string, std::uint32_t> domain_packing::targets() const
{
    const std::uint32_t fill = replica_vms_of_all();
    std::map<std::string, std::uint32_t> targets;
    std::uint32_t left = fill;
    for (const model_share& model : models_) {
        const bool last = &model == &models_.back();
        const double wanted = fill * model.share / model.replica_size;
        const std::uint32_t most = left / model.replica_size;
        const auto rounded = static_cast<std::uint32_t>(std::lround(wanted));
        const std::uint32_t count = last ? most : std::min(most, rounded);
        left -= count * model.replica_size;
        targets[model.name] = std::max<std::uint32_t>(count, 1);
    }
    return targets;
}

const std::string*
domain_packing::best_domain(const model_share& model,
                            const std::map<std::string, domain_capacity>& domains,
                            bool keep_spares) const
{
    // Domains that the replica leaves fully usable come first, then those with the most VMs in
    // replicas of this model and the fewest in replicas of others: the remaining members of damaged
    // replicas can form new ones only within a domain.
    using rank = std::tuple<bool, std::int64_t, std::int64_t>;
    rank best_rank;
    const std::string* best = nullptr;
    for (const auto& [name, domain] : domains) {
        const std::uint32_t taken = replica_vms(domain);
        const std::uint32_t limit = keep_spares ? replica_vm_limit(domain) : domain.vms;
        if (taken + model.replica_size > limit) {
            continue;
        }
        const std::uint32_t room = limit - taken;
        const bool tight =
            model.replica_size + max_fill(room - model.replica_size) == max_fill(room);
        const std::uint32_t own = model.replica_size * count_of(domain.replicas, model.name);
        const rank found{tight, std::int64_t{own}, -std::int64_t{taken - own}};
        if (best == nullptr || found > best_rank) {
            best = &name;
            best_rank = found;
        }
    }
    return best;
}

std::vector<placement> domain_packing::missing() const
{
    const std::map<std::string, std::uint32_t> wanted = targets();
    std::map<std::string, domain_capacity> domains = domains_;
    std::vector<placement> placements;
    for (const model_share& model : models_) {
        std::uint32_t have = 0;
        for (const auto& [name, domain] : domains) {
            have += count_of(domain.replicas, model.name);
        }
        for (; have < wanted.at(model.name); ++have) {
            const std::string* best = best_domain(model, domains, true);
            if (best == nullptr) {
                best = best_domain(model, domains, false); // Below target: use the spares.
            }
            if (best == nullptr) {
                break;
            }
            placements.push_back({*best, model.name});
            ++domains.at(*best).replicas[model.name];
        }
    }
    // Smaller replicas may fit where a larger one did not.
    for (const model_share& model : models_) {
        while (const std::string* best = best_domain(model, domains, true)) {
            placements.push_back({*best, model.name});
            ++domains.at(*best).replicas[model.name];
        }
    }
    return placements;
}

} // namespace chervildyke
