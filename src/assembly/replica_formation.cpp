/** \file
 * Implements replica_formation.
 */
#include "assembly/replica_formation.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervildyke {

namespace {

std::string replica_name(std::uint64_t epoch)
{
    std::string name = std::to_string(epoch);
    name.insert(name.begin(), 'r');
    return name;
}

} // namespace

const listed_backend* present_member(const backend_table& backends,
                                     const schema::shared_member& member)
{
    const listed_backend* listed = backends.find(member.id());
    const bool same_life = listed != nullptr && listed->server.started_ms == member.started_ms();
    return same_life ? listed : nullptr;
}

std::vector<packed_model> model_shares(const engine_profile& profile,
                                       const std::map<std::string, double>& demand,
                                       const assembly_settings& settings)
{
    std::map<std::string, double> asked;
    double total_asked = 0;
    for (const model_profile& model : profile.models) {
        const auto found = demand.find(model.name);
        asked[model.name] = found == demand.end() ? 0 : found->second * model.replica_size;
        total_asked += asked[model.name];
    }
    std::vector<packed_model> models;
    double total = 0;
    for (const model_profile& model : profile.models) {
        // Half of each share is as before demand was known: measured demand swings, and shifting
        // VMs between models costs loads.
        const double share = total_asked > 0
                                 ? (asked[model.name] / total_asked + model.initial_share) / 2
                                 : model.initial_share;
        models.push_back({model.name, model.replica_size,
                          share * (1 + settings.loss_allowance * model.replica_size)});
        total += models.back().share;
    }
    for (packed_model& model : models) {
        model.share = total > 0 ? model.share / total : 0;
    }
    return models;
}

replica_formation::replica_formation(const assembly_input& input, const assembly_settings& settings,
                                     std::uint64_t first_offset)
    : in_(input), settings_(settings), next_offset_(first_offset), pool_(input)
{
}

void replica_formation::run()
{
    const domain_packing packed = packing();
    targets_ = packed.targets();
    counts_ = counts_by_model();
    if (in_.loads_are_free) {
        form_as_packed(packed);
        return;
    }
    form_from_holders();
}

bool replica_formation::takes(const std::string& vm) const
{
    return std::any_of(taken_.begin(), taken_.end(),
                       [&vm](const schema::shared_member& member) { return member.id() == vm; });
}

bool replica_formation::stays(const schema::shared_replica& replica) const
{
    for (const schema::shared_member& member : replica.members()) {
        const listed_backend* listed = in_.backends->find(member.id());
        if (listed == nullptr || listed->server.leaving) {
            return false;
        }
    }
    return replica.phase() != schema::shared_phase_retiring;
}

std::map<std::string, std::uint32_t> replica_formation::counts_by_model() const
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        const bool counted = replica.service() == in_.service && stays(replica);
        counts[replica.model()] += counted ? 1 : 0;
    }
    return counts;
}

domain_packing replica_formation::packing() const
{
    std::map<std::string, domain_room> domains;
    for (const auto& [name, vms] : pool_.usable_by_domain()) {
        domains[name].vms = vms;
    }
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        if (replica.service() == in_.service && stays(replica)) {
            const listed_backend* head = in_.backends->find(replica.members(0).id());
            ++domains[head->server.fabric_domain].replicas[replica.model()];
        }
    }
    return domain_packing(model_shares(*in_.profile, in_.demand_ms_per_s, settings_),
                          std::move(domains), settings_.spare_share);
}

void replica_formation::form(const model_profile& model,
                             const std::vector<schema::shared_member>& members)
{
    schema::shared_replica formed;
    formed.set_service(in_.service);
    formed.set_model(model.name);
    formed.set_epoch(next_offset_ + 1); // Above zero, so that it is never the default.
    formed.set_phase(schema::shared_phase_forming);
    formed.set_reason("fewer replicas than the demand needs");
    *formed.mutable_members() = {members.begin(), members.end()};
    records_.push_back(to_record(replica_name(next_offset_), formed));
    taken_.insert(taken_.end(), members.begin(), members.end());
    ++counts_[model.name];
    ++next_offset_;
}

void replica_formation::form_as_packed(const domain_packing& packed)
{
    for (const placement& placed : packed.missing()) {
        const model_profile& model = *in_.profile->find(placed.model);
        const auto members = pool_.take_in(placed.domain, model);
        if (!members.empty()) {
            form(model, members);
        }
    }
}

void replica_formation::form_from_holders()
{
    std::set<std::string> unplaceable;
    while (true) {
        const model_profile* neediest = nullptr;
        double lowest = 1;
        for (const model_profile& model : in_.profile->models) {
            if (!unplaceable.contains(model.name) && filled(model.name) < lowest) {
                lowest = filled(model.name);
                neediest = &model;
            }
        }
        if (neediest == nullptr) {
            return;
        }
        const auto members = pool_.take(*neediest);
        if (members.empty()) {
            unplaceable.insert(neediest->name);
            continue;
        }
        form(*neediest, members);
    }
}

double replica_formation::filled(const std::string& model) const
{
    const auto have = counts_.find(model);
    return (have == counts_.end() ? 0.0 : have->second) / targets_.at(model);
}

} // namespace chervildyke
