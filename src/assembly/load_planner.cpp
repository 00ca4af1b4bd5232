/** \file
 * Implements load_planner.
 */
#include "assembly/load_planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "assembly/member_pool.h"

namespace chervildyke {

namespace {

constexpr int max_load_time_factor = 3;     // In load times; a longer load is lost.
constexpr duration refused_load_pause = 5s; // About a third of a load's duration.

// Multiplies the need of a model without a replica, since all calls for it are refused.
constexpr double unserved_need_factor = 3;

} // namespace

load_planner::load_planner(const assembly_input& input,
                           const std::vector<schema::shared_member>& taken,
                           std::map<std::string, std::uint32_t> counts,
                           std::map<std::string, std::uint32_t> targets)
    : in_(input), replica_counts_(std::move(counts)), targets_(std::move(targets))
{
    build_domains(taken);
}

bool load_planner::is_unserved(const model_profile& model) const
{
    const auto have = replica_counts_.find(model.name);
    return (have == replica_counts_.end() || have->second == 0) && !can_form_replica(model);
}

bool load_planner::can_form_replica(const model_profile& model) const
{
    return std::any_of(domains_.begin(), domains_.end(), [&model](const auto& domain) {
        const auto held = domain.second.holding.find(model.name);
        return held != domain.second.holding.end() && held->second >= model.replica_size;
    });
}

const model_profile* load_planner::loading(const backend& vm) const
{
    const sent_command* sent = in_.history->find(vm.id, command_kind::stage, 0);
    const model_profile* model = sent != nullptr ? in_.profile->find(sent->model) : nullptr;
    if (model == nullptr || has_staged(vm, model->name)) {
        return nullptr;
    }
    const bool never_began =
        sent->outcome == command_outcome::no_contact || sent->outcome == command_outcome::other_vm;
    // A VM that refuses is busy with another load that this node has no record of.
    const bool refused = sent->outcome == command_outcome::refused;
    const duration limit =
        refused ? refused_load_pause : max_load_time_factor * model->cold_load_time;
    return !never_began && in_.now - sent->at < limit ? model : nullptr;
}

std::size_t load_planner::evictable_holders(const domain_state& domain, const std::string& held,
                                            const model_profile& wanted) const
{
    const model_profile* model = in_.profile->find(held);
    const auto vms = domain.holders.find(held);
    if (model == nullptr || vms == domain.holders.end() || held == wanted.name) {
        return 0;
    }
    const auto served = replica_counts_.find(held);
    if (is_unserved(wanted) && served != replica_counts_.end() && served->second > 0) {
        return vms->second.size();
    }
    const std::size_t remainder = domain.holding.at(held) % model->replica_size;
    return below_target(wanted) ? std::min(remainder, vms->second.size()) : 0;
}

bool load_planner::below_target(const model_profile& model) const
{
    const auto have = replica_counts_.find(model.name);
    const auto want = targets_.find(model.name);
    return want == targets_.end() || have == replica_counts_.end() || have->second < want->second;
}

std::size_t load_planner::evictable_vms(const domain_state& domain,
                                        const model_profile& wanted) const
{
    std::size_t count = 0;
    for (const auto& [held, vms] : domain.holders) {
        count += evictable_holders(domain, held, wanted);
    }
    return count;
}

std::string load_planner::take_vm(domain_state& domain, const model_profile& wanted) const
{
    // VMs without a model on their accelerators come first.
    std::stable_sort(domain.free_hosts.begin(), domain.free_hosts.end(),
                     [](const backend* a, const backend* b) {
                         return a->loaded_model.empty() && !b->loaded_model.empty();
                     });
    const auto free_host =
        std::find_if(domain.free_hosts.begin(), domain.free_hosts.end(),
                     [&](const backend* vm) { return vm->loaded_model != wanted.name; });
    if (free_host != domain.free_hosts.end()) {
        std::string vm = (*free_host)->id;
        domain.free_hosts.erase(free_host);
        return vm;
    }
    for (auto& [held, vms] : domain.holders) {
        if (evictable_holders(domain, held, wanted) > 0) {
            std::string vm = vms.back()->id;
            vms.pop_back();
            --domain.holding[held];
            return vm;
        }
    }
    return {};
}

void load_planner::count_released_vms()
{
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        std::vector<const backend*> remaining;
        for (const schema::shared_member& member : replica.members()) {
            const listed_backend* listed = in_.backends->find(member.id());
            const bool remains = listed != nullptr && !listed->server.leaving &&
                                 listed->server.started_ms == member.started_ms() &&
                                 !in_.is_evacuated(listed->server);
            if (remains) {
                remaining.push_back(&listed->server);
            }
        }
        const bool whole = remaining.size() == static_cast<std::size_t>(replica.members_size());
        if (whole && replica.phase() != schema::shared_phase_retiring) {
            continue;
        }
        for (const backend* vm : remaining) {
            ++domains_[vm->fabric_domain].holding[replica.model()];
            const bool converted = in_.split && !vm->staged_models.empty() &&
                                   vm->staged_models.front() != replica.model();
            if (converted) {
                ++domains_[vm->fabric_domain].holding[vm->staged_models.front()];
            }
        }
    }
}

void load_planner::count_loads_beside_free_vms()
{
    for (const auto& [id, listed] : in_.backends->all()) {
        const bool is_member = in_.split && in_.ledger->holder_of(id).has_value();
        const bool counts =
            listed.server.service == in_.service && (is_member || in_.is_evacuated(listed.server));
        running_loads_ += counts && loading(listed.server) != nullptr ? 1 : 0;
    }
}

void load_planner::build_domains(const std::vector<schema::shared_member>& taken)
{
    std::set<std::string> taken_ids;
    for (const schema::shared_member& member : taken) {
        taken_ids.insert(member.id());
    }
    count_released_vms();
    count_loads_beside_free_vms();
    const member_pool pool(in_);
    for (const auto& [name, vms] : pool.free_by_domain()) {
        domain_state& domain = domains_[name];
        for (const model_profile& model : in_.profile->models) {
            domain.serving[model.name] = pool.serving_vms(name, model.name);
        }
        for (const backend* vm : vms) {
            if (taken_ids.contains(vm->id)) {
                continue;
            }
            if (!vm->loaded_model.empty()) {
                ++domain.holding[vm->loaded_model];
            }
            if (const model_profile* model = loading(*vm)) {
                ++domain.holding[model->name];
                ++running_loads_;
            }
            else if (can_stage_without_eviction(*vm)) {
                domain.free_hosts.push_back(vm);
            }
            else {
                ++domain.holding[vm->staged_models.front()];
                domain.holders[vm->staged_models.front()].push_back(vm);
            }
        }
    }
}

double load_planner::need(const model_profile& model) const
{
    const auto have = replica_counts_.find(model.name);
    const auto want = targets_.find(model.name);
    const double wanted = want == targets_.end() ? 1 : want->second;
    const double replicas = have == replica_counts_.end() ? 0 : have->second;
    return (is_unserved(model) ? unserved_need_factor : 1) * wanted / (replicas + 1);
}

bool load_planner::is_held_anywhere(const model_profile& model) const
{
    return std::any_of(domains_.begin(), domains_.end(), [&model](const auto& domain) {
        return domain.second.has_model(model.name);
    });
}

bool load_planner::domain_state::has_model(const std::string& model) const
{
    const auto served = serving.find(model);
    const auto held = holding.find(model);
    return (served != serving.end() && served->second > 0) ||
           (held != holding.end() && held->second > 0);
}

/** \return a factor on the value of a load, by the models that the domain already has. A VM that is
 * the first of its domain to hold a model is useless until several more VMs load that model.
 */
double load_planner::domain_affinity(const domain_state& domain, const model_profile& model) const
{
    constexpr double isolated_load_weight = 0.4; // A load beside VMs with the same model counts 1.
    return domain.has_model(model.name) || !is_held_anywhere(model) ? 1 : isolated_load_weight;
}

load_planner::load_option load_planner::best_completion()
{
    load_option best;
    for (auto& [name, domain] : domains_) {
        for (const model_profile& model : in_.profile->models) {
            if (!below_target(model)) {
                continue; // Spares that can repair serving replicas are worth more.
            }
            const std::uint32_t loads =
                model.replica_size - domain.holding[model.name] % model.replica_size;
            // Includes VMs that are too few for a replica of the model that they hold: they are
            // otherwise idle.
            const auto free_hosts = static_cast<std::size_t>(
                std::count_if(domain.free_hosts.begin(), domain.free_hosts.end(),
                              [&](const backend* vm) { return vm->loaded_model != model.name; }));
            const std::size_t usable = free_hosts + evictable_vms(domain, model);
            if (loads > usable) {
                continue;
            }
            const double load_s =
                std::chrono::duration<double>(model.cold_load_time).count() * loads;
            const double value =
                need(model) * domain_affinity(domain, model) * model.replica_size / load_s;
            if (value > best.value) {
                best = {&domain, &model, loads, value};
            }
        }
    }
    return best;
}

load_planner::load_option load_planner::best_spare_load()
{
    load_option best;
    for (auto& [name, domain] : domains_) {
        for (const model_profile& model : in_.profile->models) {
            const bool useful =
                std::any_of(domain.free_hosts.begin(), domain.free_hosts.end(),
                            [&](const backend* vm) { return vm->loaded_model != model.name; });
            if (!useful) {
                continue;
            }
            // One spare repairs a whole replica that lost a member. The more VMs of its model serve
            // in the domain, the sooner it is needed.
            const auto vms = static_cast<double>(1 + domain.serving[model.name]);
            const double spares = domain.holding[model.name] % model.replica_size;
            const double value = need(model) * domain_affinity(domain, model) * model.replica_size *
                                 vms / ((1 + spares) * (1 + spares));
            if (value > best.value) {
                best = {&domain, &model, 1, value};
            }
        }
    }
    return best;
}

std::string load_planner::describe() const
{
    std::string text = "loading:" + std::to_string(running_loads_);
    for (const auto& [name, domain] : domains_) {
        text += " " + name + ":open:" + std::to_string(domain.free_hosts.size());
        for (const auto& [model, count] : domain.holding) {
            text += "," + model + ":" + std::to_string(count);
        }
    }
    return text;
}

std::vector<planned_load> load_planner::choose(std::uint32_t allowance)
{
    std::vector<planned_load> loads;
    const std::uint32_t free_load_slots = in_.profile->max_concurrent_loads > running_loads_
                                              ? in_.profile->max_concurrent_loads - running_loads_
                                              : 0;
    const std::size_t limit =
        in_.before_first_call ? load_limit_before_calls() : std::min(allowance, free_load_slots);
    while (loads.size() < limit) {
        load_option chosen = best_completion();
        const bool completes = chosen.domain != nullptr;
        if (!completes) {
            chosen = best_spare_load();
        }
        if (chosen.domain == nullptr) {
            break;
        }
        for (std::uint32_t i = 0; i < chosen.loads && loads.size() < limit; ++i) {
            loads.push_back({take_vm(*chosen.domain, *chosen.model), chosen.model->name});
            ++chosen.domain->holding[chosen.model->name];
        }
        replica_counts_[chosen.model->name] += completes ? 1 : 0;
    }
    return loads;
}

std::size_t load_planner::background_load_limit() const
{
    const std::uint32_t half = in_.profile->max_concurrent_loads / 2;
    return half - std::min(half, running_loads_);
}

std::size_t load_planner::load_limit_before_calls() const
{
    std::size_t empty_vms = 0;
    for (const auto& [name, domain] : domains_) {
        empty_vms += static_cast<std::size_t>(
            std::count_if(domain.free_hosts.begin(), domain.free_hosts.end(),
                          [](const backend* vm) { return vm->loaded_model.empty(); }));
    }
    return empty_vms + background_load_limit();
}

} // namespace chervildyke
