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

/** \return the size that a quarter of the domains reach: most have lost VMs at times, and a few
 * have got more.
 */
std::uint32_t upper_quartile(const std::map<std::string, domain_room>& domains)
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

domain_packing::domain_packing(std::vector<packed_model> models,
                               std::map<std::string, domain_room> domains, double spare_share)
    : models_(std::move(models)), domains_(std::move(domains)), spare_share_(spare_share),
      usual_vms_(upper_quartile(domains_))
{
    std::stable_sort(models_.begin(), models_.end(),
                     [](const packed_model& a, const packed_model& b) {
                         return a.replica_size > b.replica_size;
                     });
}

std::uint32_t domain_packing::spares(std::uint32_t vms) const
{
    const auto share = static_cast<std::uint32_t>(vms * spare_share_);
    return spare_share_ > 0 ? std::max<std::uint32_t>(share, 1) : 0;
}

std::uint32_t domain_packing::limit(const domain_room& domain) const
{
    const std::uint32_t whole = std::max(domain.vms, usual_vms_);
    const std::uint32_t kept = std::min(domain.vms, whole - std::min(spares(whole), whole));
    // A domain that holds just one replica holds it without a spare.
    return best_fill(kept) > 0 ? kept : domain.vms;
}

std::uint32_t domain_packing::best_fill(std::uint32_t vms) const
{
    std::vector<bool> reachable(vms + 1, false);
    reachable[0] = true;
    std::uint32_t best = 0;
    for (std::uint32_t total = 1; total <= vms; ++total) {
        reachable[total] =
            std::any_of(models_.begin(), models_.end(), [&](const packed_model& model) {
                return model.replica_size <= total && reachable[total - model.replica_size];
            });
        best = reachable[total] ? total : best;
    }
    return best;
}

std::uint32_t domain_packing::used(const domain_room& domain) const
{
    std::uint32_t vms = 0;
    for (const packed_model& model : models_) {
        vms += model.replica_size * count_of(domain.replicas, model.name);
    }
    return vms;
}

std::map<std::string, std::uint32_t> domain_packing::targets() const
{
    std::uint32_t fill = 0;
    for (const auto& [name, domain] : domains_) {
        fill += best_fill(limit(domain));
    }
    std::map<std::string, std::uint32_t> targets;
    std::uint32_t left = fill;
    for (const packed_model& model : models_) {
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

const std::string* domain_packing::best_domain(const packed_model& model,
                                               const std::map<std::string, domain_room>& domains,
                                               bool keep_spares) const
{
    // Without waste first; then where few other models are, since what is left of replicas that
    // lost members makes new ones only within a domain.
    using rank = std::tuple<bool, std::int64_t, std::int64_t>;
    rank best_rank;
    const std::string* best = nullptr;
    for (const auto& [name, domain] : domains) {
        const std::uint32_t taken = used(domain);
        const std::uint32_t most = keep_spares ? limit(domain) : domain.vms;
        if (taken + model.replica_size > most) {
            continue;
        }
        const std::uint32_t room = most - taken;
        const bool tight =
            model.replica_size + best_fill(room - model.replica_size) == best_fill(room);
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
    std::map<std::string, domain_room> domains = domains_;
    std::vector<placement> placements;
    for (const packed_model& model : models_) {
        std::uint32_t have = 0;
        for (const auto& [name, domain] : domains) {
            have += count_of(domain.replicas, model.name);
        }
        for (; have < wanted.at(model.name); ++have) {
            const std::string* best = best_domain(model, domains, true);
            if (best == nullptr) {
                best = best_domain(model, domains, false); // Spares are there to be used.
            }
            if (best == nullptr) {
                break;
            }
            placements.push_back({*best, model.name});
            ++domains.at(*best).replicas[model.name];
        }
    }
    // Where a larger replica found no room, smaller ones may.
    for (const packed_model& model : models_) {
        while (const std::string* best = best_domain(model, domains, true)) {
            placements.push_back({*best, model.name});
            ++domains.at(*best).replicas[model.name];
        }
    }
    return placements;
}

} // namespace chervildyke
