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

constexpr int longest_load_factor = 3; // Of the load time; a load that took longer was lost.

} // namespace

load_planner::load_planner(const assembly_input& input,
                           const std::vector<schema::shared_member>& taken,
                           std::map<std::string, std::uint32_t> counts,
                           std::map<std::string, std::uint32_t> targets)
    : in_(input), counts_(std::move(counts)), targets_(std::move(targets))
{
    read_domains(taken);
}

void load_planner::read_domains(const std::vector<schema::shared_member>& taken)
{
    std::set<std::string> gone;
    for (const schema::shared_member& member : taken) {
        gone.insert(member.id());
    }
    const member_pool pool(in_);
    for (const auto& [name, vms] : pool.free_by_domain()) {
        domain_state& domain = domains_[name];
        for (const backend* vm : vms) {
            if (gone.contains(vm->id)) {
                continue;
            }
            const sent_order* sent = in_.memory->find(vm->id, order_kind::stage, 0);
            const model_profile* model = sent ? in_.profile->find(sent->model) : nullptr;
            const bool failed = sent != nullptr && sent->outcome &&
                                (*sent->outcome == order_outcome::refused ||
                                 *sent->outcome == order_outcome::no_contact);
            const bool loading = model != nullptr && !failed && !has_staged(*vm, model->name) &&
                                 in_.now - sent->at < longest_load_factor * model->load_time;
            if (loading) {
                ++domain.holding[model->name];
                ++running_;
            }
            else if (vm->staged_models.empty()) {
                domain.empty.push_back(vm->id);
            }
            else {
                ++domain.holding[vm->staged_models.front()];
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
    return wanted / (had + 1);
}

load_planner::option load_planner::best_completion()
{
    option best;
    for (auto& [name, domain] : domains_) {
        for (const model_profile& model : in_.profile->models) {
            const std::uint32_t loads =
                model.replica_size - domain.holding[model.name] % model.replica_size;
            if (loads > domain.empty.size()) {
                continue;
            }
            const double load_s = std::chrono::duration<double>(model.load_time).count() * loads;
            const double value = need_of(model) * model.replica_size / load_s;
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
        if (domain.empty.empty()) {
            continue;
        }
        for (const model_profile& model : in_.profile->models) {
            const double value = need_of(model) / (1 + domain.holding[model.name]);
            if (value > best.value) {
                best = {&domain, &model, 1, value};
            }
        }
    }
    return best;
}

std::vector<planned_load> load_planner::choose(std::uint32_t allowance)
{
    std::vector<planned_load> loads;
    const std::uint32_t places =
        in_.profile->loads_at_once > running_ ? in_.profile->loads_at_once - running_ : 0;
    const std::size_t most = in_.loads_are_free ? domains_.size() * in_.backends->all().size()
                                                : std::min(allowance, places);
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
            loads.push_back({chosen.domain->empty.back(), chosen.model->name});
            chosen.domain->empty.pop_back();
            ++chosen.domain->holding[chosen.model->name];
        }
        counts_[chosen.model->name] += completes ? 1 : 0;
    }
    return loads;
}

} // namespace chervildyke
