/** \file
 * Implements conversion_planner.
 */
#include "assembly/conversion_planner.h"

#include <algorithm>
#include <map>
#include <tuple>

#include "assembly/replica_command.h"

namespace chervildyke {

namespace {

std::uint32_t count_of(const replica_counts& counts, const std::string& model)
{
    const auto found = counts.find(model);
    return found == counts.end() ? 0 : found->second;
}

} // namespace

conversion_planner::conversion_planner(const assembly_input& input,
                                       const model_split_settings& settings,
                                       const replica_counts& targets, const replica_counts& counts,
                                       const load_planner& loads, std::size_t running_loads,
                                       plan_builder& builder)
    : in_(input), settings_(settings), targets_(targets), counts_(counts), loads_(loads),
      builder_(builder), pool_(input)
{
    const auto usable = static_cast<std::size_t>(input.profile->max_concurrent_loads *
                                                 settings.conversion_load_share);
    free_load_slots_ = usable - std::min(usable, running_loads);
}

std::uint32_t conversion_planner::excess(const model_profile& model) const
{
    const std::uint32_t count = count_of(counts_, model.name);
    return count - std::min(count, count_of(targets_, model.name));
}

std::uint32_t conversion_planner::deficit(const model_profile& model) const
{
    const std::uint32_t target = count_of(targets_, model.name);
    return target - std::min(target, count_of(counts_, model.name));
}

const model_profile* conversion_planner::model_in_excess() const
{
    const model_profile* most = nullptr;
    for (const model_profile& model : in_.profile->models) {
        const std::uint32_t vms = excess(model) * model.replica_size;
        if (vms > 0 && (most == nullptr || vms > excess(*most) * most->replica_size)) {
            most = &model;
        }
    }
    return most;
}

const model_profile* conversion_planner::model_in_need() const
{
    const model_profile* most = nullptr;
    for (const model_profile& model : in_.profile->models) {
        const std::uint32_t vms = deficit(model) * model.replica_size;
        if (vms > 0 && (most == nullptr || vms > deficit(*most) * most->replica_size)) {
            most = &model;
        }
    }
    return most;
}

bool conversion_planner::is_loading(const backend& vm, const model_profile& to) const
{
    const model_profile* model = loads_.loading(vm);
    return model != nullptr && model->name == to.name;
}

bool conversion_planner::is_convertible(const ledger_entry& entry, const model_profile& from) const
{
    const schema::shared_replica& replica = entry.second;
    if (replica.service() != in_.service || replica.model() != from.name ||
        replica.phase() != schema::shared_phase_serving) {
        return false;
    }
    // The same plan may retire it for a fault.
    const bool retires =
        std::any_of(builder_.plan.records.begin(), builder_.plan.records.end(),
                    [&entry](const keyed_record& record) { return record.key == entry.first; });
    return !retires && std::all_of(replica.members().begin(), replica.members().end(),
                                   [this](const schema::shared_member& member) {
                                       const listed_backend* listed =
                                           in_.backends->find(member.id());
                                       return listed != nullptr && !listed->server.leaving &&
                                              listed->server.started_ms == member.started_ms();
                                   });
}

std::uint32_t conversion_planner::count_holding(const ledger_entry& entry,
                                                const model_profile& to) const
{
    return static_cast<std::uint32_t>(
        std::count_if(entry.second.members().begin(), entry.second.members().end(),
                      [&](const schema::shared_member& member) {
                          const backend& vm = in_.backends->find(member.id())->server;
                          return holds_model(vm, to.name) || is_loading(vm, to);
                      }));
}

std::vector<conversion_planner::candidate> conversion_planner::candidates(const model_profile& from,
                                                                          const model_profile& to,
                                                                          std::uint32_t size) const
{
    std::map<std::string, std::vector<const ledger_entry*>> by_domain;
    for (const ledger_entry& entry : in_.ledger->replicas()) {
        if (!is_convertible(entry, from)) {
            continue;
        }
        const std::string& head = entry.second.members(0).id();
        const std::string& domain = in_.backends->find(head)->server.fabric_domain;
        if (pool_.usable_by_domain().contains(domain)) {
            by_domain[domain].push_back(&entry);
        }
    }
    const auto running = [this](const ledger_entry* entry) -> std::uint64_t {
        const auto use = in_.uses.find(entry->second.epoch());
        return use == in_.uses.end() ? 0 : use->second.running;
    };
    std::vector<candidate> found;
    for (auto& [domain, replicas] : by_domain) {
        if (replicas.size() < size) {
            continue;
        }
        std::stable_sort(replicas.begin(), replicas.end(),
                         [&](const ledger_entry* a, const ledger_entry* b) {
                             return std::make_tuple(count_holding(*b, to), running(a)) <
                                    std::make_tuple(count_holding(*a, to), running(b));
                         });
        candidate best;
        best.in_domain = replicas.size();
        best.replicas.assign(replicas.begin(), replicas.begin() + size);
        for (const ledger_entry* entry : best.replicas) {
            best.holding += count_holding(*entry, to);
            best.running += running(entry);
        }
        found.push_back(std::move(best));
    }
    // A domain with many replicas of the model gives one first, so that the others are spread.
    std::stable_sort(found.begin(), found.end(), [](const candidate& a, const candidate& b) {
        return std::make_tuple(b.holding, b.in_domain, a.running) <
               std::make_tuple(a.holding, a.in_domain, b.running);
    });
    return found;
}

bool conversion_planner::load_members(const candidate& chosen, const model_profile& to,
                                      std::uint32_t needed)
{
    std::uint32_t held = 0;
    std::uint32_t planned = 0; // Members that hold, load, or are told to load the model.
    std::vector<const backend*> others;
    for (const ledger_entry* entry : chosen.replicas) {
        for (const schema::shared_member& member : entry->second.members()) {
            const backend& vm = in_.backends->find(member.id())->server;
            const bool holds = holds_model(vm, to.name);
            held += holds ? 1 : 0;
            planned += holds || is_loading(vm, to) ? 1 : 0;
            if (!holds && loads_.loading(vm) == nullptr) {
                others.push_back(&vm);
            }
        }
    }
    for (const backend* vm : others) {
        if (planned >= needed || free_load_slots_ == 0 || builder_.remaining_loads() == 0) {
            break;
        }
        engine_command command;
        command.kind = command_kind::stage;
        command.model = to.name;
        if (builder_.add_command(vm->id, command, true)) {
            --free_load_slots_;
            ++planned;
        }
    }
    return held >= needed;
}

void conversion_planner::run(split_state& state)
{
    const model_profile* from = model_in_excess();
    const model_profile* to = model_in_need();
    if (from == nullptr || to == nullptr) {
        state.excess_since.reset();
        return;
    }
    state.excess_since = state.excess_since.value_or(in_.now);
    if (in_.now - *state.excess_since < settings_.conversion_hold) {
        return;
    }
    // As many replicas of one domain as together have the VMs of a wanted one.
    const std::uint32_t size = (to->replica_size + from->replica_size - 1) / from->replica_size;
    const std::uint32_t made = size * from->replica_size / to->replica_size;
    std::uint32_t left = std::min(excess(*from) / size, deficit(*to) / made);
    std::uint32_t serving = 0;
    for (const ledger_entry& entry : in_.ledger->replicas()) {
        serving += is_convertible(entry, *from) ? 1 : 0;
    }
    for (const candidate& chosen : candidates(*from, *to, size)) {
        if (left == 0) {
            return;
        }
        --left;
        const bool loaded = load_members(chosen, *to, made * to->replica_size);
        // Others of the model may still be forming.
        if (!loaded || serving < count_of(targets_, from->name) + size) {
            continue;
        }
        serving -= size;
        for (const ledger_entry* entry : chosen.replicas) {
            builder_.plan.records.push_back(make_retiring_record(
                entry->first, entry->second, "its VMs are needed for " + to->name, false));
        }
    }
}

} // namespace chervildyke
