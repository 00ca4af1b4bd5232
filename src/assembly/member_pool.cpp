/** \file
 * Implements member_pool.
 */
#include "assembly/member_pool.h"

#include <algorithm>

#include "assembly/assembly_plan.h"
#include "assembly/member_release.h"

namespace chervildyke {

bool has_staged(const backend& vm, const std::string& model)
{
    return std::find(vm.staged_models.begin(), vm.staged_models.end(), model) !=
           vm.staged_models.end();
}

bool holds_model(const backend& vm, const std::string& model)
{
    return vm.loaded_model == model || has_staged(vm, model);
}

bool can_stage_without_eviction(const backend& vm)
{
    return std::all_of(vm.staged_models.begin(), vm.staged_models.end(),
                       [&vm](const std::string& staged) { return staged == vm.loaded_model; });
}

bool takes_calls(const backend& vm)
{
    return vm.membership && vm.membership->rank == 0 &&
           (vm.membership->phase == membership_phase::open ||
            vm.membership->phase == membership_phase::closing);
}

namespace {

bool may_join(const listed_backend& listed, const assembly_input& input,
              const member_release& release)
{
    const probe_state* probe = input.history->find_probe(listed.server.id);
    const bool lost = probe != nullptr && probe->failures > 0;
    return !listed.server.leaving && !listed.expires_at && !lost && !takes_calls(listed.server) &&
           !release.is_orphaned_member(listed.server);
}

} // namespace

member_pool::member_pool(const assembly_input& input)
{
    const member_release release(input);
    for (const auto& [id, listed] : input.backends->all()) {
        if (listed.server.service != input.service || listed.server.leaving ||
            input.is_evacuated(listed.server)) {
            continue;
        }
        ++usable_[listed.server.fabric_domain];
        const auto holder = input.ledger->holder_of(id);
        if (holder) {
            const std::string& model = input.ledger->replicas().at(*holder).model();
            ++serving_[listed.server.fabric_domain][model];
        }
        else if (may_join(listed, input, release)) {
            free_[listed.server.fabric_domain].push_back(&listed.server);
        }
    }
}

std::size_t member_pool::serving_vms(const std::string& domain, const std::string& model) const
{
    const auto models = serving_.find(domain);
    if (models == serving_.end()) {
        return 0;
    }
    const auto found = models->second.find(model);
    return found == models->second.end() ? 0 : found->second;
}

/** \return how well the domain suits a new replica of the model: VMs in replicas of this model
 * count for it, VMs in replicas of other models against it.
 */
std::size_t member_pool::domain_affinity(const std::string& domain, const std::string& model) const
{
    constexpr std::size_t neutral = 1000; // More VMs than any domain has: the score is unsigned.
    const auto models = serving_.find(domain);
    std::size_t score = neutral;
    if (models != serving_.end()) {
        for (const auto& [name, count] : models->second) {
            score = name == model ? score + count : score - count;
        }
    }
    return score;
}

std::vector<schema::shared_member> member_pool::take_holders(const model_profile& model)
{
    const std::string* best = nullptr;
    for (const auto& [domain, vms] : free_) {
        const auto holders = std::count_if(vms.begin(), vms.end(), [&](const backend* vm) {
            return holds_model(*vm, model.name);
        });
        const bool enough = static_cast<std::size_t>(holders) >= model.replica_size;
        if (enough && (best == nullptr ||
                       domain_affinity(domain, model.name) > domain_affinity(*best, model.name))) {
            best = &domain;
        }
    }
    return best == nullptr ? std::vector<schema::shared_member>() : take_from_domain(*best, model);
}

std::vector<schema::shared_member> member_pool::take_from_domain(const std::string& domain,
                                                                 const model_profile& model)
{
    const auto found = free_.find(domain);
    if (found == free_.end() || found->second.size() < model.replica_size) {
        return {};
    }
    std::vector<const backend*>& vms = found->second;
    // First the VMs with the model on their accelerators, then those with it in their host's
    // memory, then those that can load it without eviction.
    std::stable_sort(vms.begin(), vms.end(), [&](const backend* a, const backend* b) {
        const auto rank = [&](const backend& vm) {
            if (vm.loaded_model == model.name) {
                return 0;
            }
            return has_staged(vm, model.name) ? 1 : can_stage_without_eviction(vm) ? 2 : 3;
        };
        return rank(*a) < rank(*b);
    });
    std::vector<schema::shared_member> members;
    for (std::uint32_t i = 0; i < model.replica_size; ++i) {
        schema::shared_member member;
        member.set_id(vms[i]->id);
        member.set_started_ms(vms[i]->started_ms);
        members.push_back(std::move(member));
    }
    vms.erase(vms.begin(), vms.begin() + model.replica_size);
    serving_[domain][model.name] += model.replica_size;
    return members;
}

} // namespace chervildyke
