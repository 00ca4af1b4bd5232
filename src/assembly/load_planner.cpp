/** \file
 * Implements load_planner.
 */
#include "assembly/load_planner.h"

#include <algorithm>
#include <set>
#include <utility>

#include "assembly/member_selection.h"

namespace chervildyke {

namespace {

constexpr int longest_load_factor = 3;      // Of the load time; a load that took longer was lost.
constexpr duration refused_load_pause = 5s; // A third of a load.
constexpr double none_yet = 3;              // All calls for a model without a replica are refused.

} // namespace

load_planner::load_planner(const assembly_input& input,
                           const std::vector<schema::shared_member>& taken,
                           std::map<std::string, std::uint32_t> counts,
                           std::map<std::string, std::uint32_t> targets)
    : in_(input), counts_(std::move(counts)), targets_(std::move(targets))
{
    read_domains(taken);
}

bool load_planner::lacks_all(const model_profile& model) const
{
    const auto have = counts_.find(model.name);
    return (have == counts_.end() || have->second == 0) && !can_form(model);
}

bool load_planner::can_form(const model_profile& model) const
{
    return std::any_of(domains_.begin(), domains_.end(), [&model](const auto& domain) {
        const auto held = domain.second.holding.find(model.name);
        return held != domain.second.holding.end() && held->second >= model.replica_size;
    });
}

const model_profile* load_planner::loading(const backend& vm) const
{
    const sent_order* sent = in_.memory->find(vm.id, order_kind::stage, 0);
    const model_profile* model = sent != nullptr ? in_.profile->find(sent->model) : nullptr;
    if (model == nullptr || has_staged(vm, model->name)) {
        return nullptr;
    }
    const bool never_began =
        sent->outcome == order_outcome::no_contact || sent->outcome == order_outcome::other_vm;
    // A VM that refuses is busy with another load, of which this node does not know.
    const bool refused = sent->outcome == order_outcome::refused;
    const duration limit =
        refused ? refused_load_pause : longest_load_factor * model->cold_load_time;
    return !never_began && in_.now - sent->at < limit ? model : nullptr;
}

std::size_t load_planner::spare_holders(const domain_state& domain, const std::string& held,
                                        const model_profile& wanted) const
{
    const model_profile* model = in_.profile->find(held);
    const auto vms = domain.holders.find(held);
    if (model == nullptr || vms == domain.holders.end() || held == wanted.name) {
        return 0;
    }
    const auto served = counts_.find(held);
    if (lacks_all(wanted) && served != counts_.end() && served->second > 0) {
        return vms->second.size();
    }
    const std::size_t too_few = domain.holding.at(held) % model->replica_size;
    return below_target(wanted) ? std::min(too_few, vms->second.size()) : 0;
}

bool load_planner::below_target(const model_profile& model) const
{
    const auto have = counts_.find(model.name);
    const auto want = targets_.find(model.name);
    return want == targets_.end() || have == counts_.end() || have->second < want->second;
}

std::size_t load_planner::leftover(const domain_state& domain, const model_profile& wanted) const
{
    std::size_t count = 0;
    for (const auto& [held, vms] : domain.holders) {
        count += spare_holders(domain, held, wanted);
    }
    return count;
}

std::string load_planner::take(domain_state& domain, const model_profile& wanted) const
{
    // First one that holds nothing yet.
    std::stable_sort(domain.open.begin(), domain.open.end(),
                     [](const backend* a, const backend* b) {
                         return a->loaded_model.empty() && !b->loaded_model.empty();
                     });
    const auto open = std::find_if(domain.open.begin(), domain.open.end(), [&](const backend* vm) {
        return vm->loaded_model != wanted.name;
    });
    if (open != domain.open.end()) {
        std::string vm = (*open)->id;
        domain.open.erase(open);
        return vm;
    }
    for (auto& [held, vms] : domain.holders) {
        if (spare_holders(domain, held, wanted) > 0) {
            std::string vm = vms.back()->id;
            vms.pop_back();
            --domain.holding[held];
            return vm;
        }
    }
    return {};
}

void load_planner::count_coming()
{
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        std::vector<const backend*> staying;
        for (const schema::shared_member& member : replica.members()) {
            const listed_backend* listed = in_.backends->find(member.id());
            const bool stays = listed != nullptr && !listed->server.leaving &&
                               listed->server.started_ms == member.started_ms();
            if (stays) {
                staying.push_back(&listed->server);
            }
        }
        const bool whole = staying.size() == static_cast<std::size_t>(replica.members_size());
        if (whole && replica.phase() != schema::shared_phase_retiring) {
            continue;
        }
        for (const backend* vm : staying) {
            ++domains_[vm->fabric_domain].holding[replica.model()];
        }
    }
}

void load_planner::read_domains(const std::vector<schema::shared_member>& taken)
{
    std::set<std::string> gone;
    for (const schema::shared_member& member : taken) {
        gone.insert(member.id());
    }
    count_coming();
    const member_pool pool(in_);
    for (const auto& [name, vms] : pool.free_by_domain()) {
        domain_state& domain = domains_[name];
        for (const model_profile& model : in_.profile->models) {
            domain.serving[model.name] = pool.serving(name, model.name);
        }
        for (const backend* vm : vms) {
            if (gone.contains(vm->id)) {
                continue;
            }
            if (!vm->loaded_model.empty()) {
                ++domain.holding[vm->loaded_model];
            }
            if (const model_profile* model = loading(*vm)) {
                ++domain.holding[model->name];
                ++running_;
            }
            else if (has_open_host(*vm)) {
                domain.open.push_back(vm);
            }
            else {
                ++domain.holding[vm->staged_models.front()];
                domain.holders[vm->staged_models.front()].push_back(vm);
            }
        }
    }
}

double load_planner::need_of(const model_profile& model) const
{
    const auto have = counts_.find(model.name);
    const auto want = targets_.find(model.name);
    const double wanted = want == targets_.end() ? 1 : want->second;
    const double had = have == counts_.end() ? 0 : have->second;
    return (lacks_all(model) ? none_yet : 1) * wanted / (had + 1);
}

bool load_planner::known_somewhere(const model_profile& model) const
{
    return std::any_of(domains_.begin(), domains_.end(),
                       [&model](const auto& domain) { return domain.second.knows(model.name); });
}

bool load_planner::domain_state::knows(const std::string& model) const
{
    const auto served = serving.find(model);
    const auto held = holding.find(model);
    return (served != serving.end() && served->second > 0) ||
           (held != holding.end() && held->second > 0);
}

/** What a load is worth by the models that the domain has: one VM of a model that no other VM of
 * its domain holds waits for several more loads.
 */
double load_planner::kinship(const domain_state& domain, const model_profile& model) const
{
    constexpr double stranger = 0.4; // Against a load beside VMs with the same model.
    return domain.knows(model.name) || !known_somewhere(model) ? 1 : stranger;
}

load_planner::option load_planner::best_completion()
{
    option best;
    for (auto& [name, domain] : domains_) {
        for (const model_profile& model : in_.profile->models) {
            if (!below_target(model)) {
                continue; // Spares that can repair what serves are worth more.
            }
            const std::uint32_t loads =
                model.replica_size - domain.holding[model.name] % model.replica_size;
            // VMs that are too few for a replica of the model that they hold serve nobody.
            const auto open = static_cast<std::size_t>(
                std::count_if(domain.open.begin(), domain.open.end(),
                              [&](const backend* vm) { return vm->loaded_model != model.name; }));
            const std::size_t usable = open + leftover(domain, model);
            if (loads > usable) {
                continue;
            }
            const double load_s =
                std::chrono::duration<double>(model.cold_load_time).count() * loads;
            const double value =
                need_of(model) * kinship(domain, model) * model.replica_size / load_s;
            if (value > best.value) {
                best = {&domain, &model, loads, value};
            }
        }
    }
    return best;
}

load_planner::option load_planner::best_spare()
{
    option best;
    for (auto& [name, domain] : domains_) {
        for (const model_profile& model : in_.profile->models) {
            const bool useful =
                std::any_of(domain.open.begin(), domain.open.end(),
                            [&](const backend* vm) { return vm->loaded_model != model.name; });
            if (!useful) {
                continue;
            }
            // A spare saves the whole replica that lost a member; the more VMs of its model serve
            // in the domain, the sooner it is wanted.
            const auto vms = static_cast<double>(1 + domain.serving[model.name]);
            const double spares = domain.holding[model.name] % model.replica_size;
            const double value = need_of(model) * kinship(domain, model) * model.replica_size *
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
    std::string text = "loading:" + std::to_string(running_);
    for (const auto& [name, domain] : domains_) {
        text += " " + name + ":open:" + std::to_string(domain.open.size());
        for (const auto& [model, count] : domain.holding) {
            text += "," + model + ":" + std::to_string(count);
        }
    }
    return text;
}

std::vector<planned_load> load_planner::choose(std::uint32_t allowance)
{
    std::vector<planned_load> loads;
    const std::uint32_t places = in_.profile->max_concurrent_loads > running_
                                     ? in_.profile->max_concurrent_loads - running_
                                     : 0;
    const std::size_t most =
        in_.loads_are_free ? loads_before_calls() : std::min(allowance, places);
    while (loads.size() < most) {
        option chosen = best_completion();
        const bool completes = chosen.domain != nullptr;
        if (!completes) {
            chosen = best_spare();
        }
        if (chosen.domain == nullptr) {
            break;
        }
        for (std::uint32_t i = 0; i < chosen.loads && loads.size() < most; ++i) {
            loads.push_back({take(*chosen.domain, *chosen.model), chosen.model->name});
            ++chosen.domain->holding[chosen.model->name];
        }
        counts_[chosen.model->name] += completes ? 1 : 0;
    }
    return loads;
}

std::size_t load_planner::spared_loads() const
{
    const std::uint32_t half = in_.profile->max_concurrent_loads / 2;
    return half - std::min(half, running_);
}

std::size_t load_planner::loads_before_calls() const
{
    std::size_t empty = 0;
    for (const auto& [name, domain] : domains_) {
        empty += static_cast<std::size_t>(
            std::count_if(domain.open.begin(), domain.open.end(),
                          [](const backend* vm) { return vm->loaded_model.empty(); }));
    }
    return empty + spared_loads();
}

} // namespace chervildyke
