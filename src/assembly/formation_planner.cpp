/** \file
 * Implements formation_planner.
 */
#include "assembly/formation_planner.h"

#include <algorithm>
#include <set>
#include <utility>

namespace chervildyke {

namespace {

/** \return a name that no other replica has, also in other eras of the log. */
std::string replica_name(std::uint64_t epoch)
{
    std::string name = std::to_string(epoch - 1);
    name.insert(name.begin(), 'r');
    return name;
}

} // namespace

const listed_backend* find_listed_member(const backend_table& backends,
                                         const schema::shared_member& member)
{
    const listed_backend* listed = backends.find(member.id());
    const bool same_incarnation =
        listed != nullptr && listed->server.started_ms == member.started_ms();
    return same_incarnation ? listed : nullptr;
}

std::vector<model_share> model_shares(const engine_profile& profile,
                                      const std::map<std::string, double>& demand,
                                      const assembly_settings& settings)
{
    std::map<std::string, double> demanded;
    double total_demanded = 0;
    for (const model_profile& model : profile.models) {
        const auto found = demand.find(model.name);
        demanded[model.name] = found == demand.end() ? 0 : found->second * model.replica_size;
        total_demanded += demanded[model.name];
    }
    std::vector<model_share> models;
    double total = 0;
    for (const model_profile& model : profile.models) {
        // Half of each share is the configured one, since measured demand fluctuates and moving VMs
        // between models costs loads.
        const double share = total_demanded > 0
                                 ? (demanded[model.name] / total_demanded + model.initial_share) / 2
                                 : model.initial_share;
        models.push_back({model.name, model.replica_size,
                          share * (1 + settings.loss_allowance * model.replica_size)});
        total += models.back().share;
    }
    for (model_share& model : models) {
        model.share = total > 0 ? model.share / total : 0;
    }
    return models;
}

formation_planner::formation_planner(const assembly_input& input, const assembly_settings& settings,
                                     log_position first)
    : in_(input), settings_(settings), next_(first), pool_(input)
{
}

void formation_planner::run()
{
    replica_counts_ = counts_by_model();
    const domain_packing packing = make_packing();
    targets_ = packing.targets();
    if (in_.before_first_call) {
        form_from_packing(packing);
        return;
    }
    form_from_holders();
}

bool formation_planner::uses_vm(const std::string& vm) const
{
    return std::any_of(taken_.begin(), taken_.end(),
                       [&vm](const schema::shared_member& member) { return member.id() == vm; });
}

bool formation_planner::will_remain(const schema::shared_replica& replica) const
{
    for (const schema::shared_member& member : replica.members()) {
        const listed_backend* listed = in_.backends->find(member.id());
        if (listed == nullptr || listed->server.leaving) {
            return false;
        }
    }
    return replica.phase() != schema::shared_phase_retiring && !in_.is_evacuated(replica);
}

std::map<std::string, std::uint32_t> formation_planner::counts_by_model() const
{
    std::map<std::string, std::uint32_t> counts;
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        const bool counted = replica.service() == in_.service && will_remain(replica);
        counts[replica.model()] += counted ? 1 : 0;
    }
    return counts;
}

std::vector<model_share> formation_planner::split_shares(std::uint32_t vms)
{
    std::vector<split_model> models;
    for (const model_profile& model : in_.profile->models) {
        const auto demand = in_.split->demand.find(model.name);
        models.push_back({model.name, model.replica_size,
                          demand == in_.split->demand.end() ? recent_demand() : demand->second});
    }
    split_ = decide_split(models, vms, replica_counts_, in_.split->state, in_.now, settings_.split);
    std::vector<model_share> shares;
    for (const split_model& model : models) {
        const double used = split_->targets.at(model.name) * model.replica_size;
        shares.push_back({model.name, model.replica_size, used / vms});
    }
    return shares;
}

domain_packing formation_planner::make_packing()
{
    std::map<std::string, domain_capacity> domains;
    for (const auto& [name, vms] : pool_.usable_by_domain()) {
        domains[name].vms = vms;
    }
    for (const auto& [name, replica] : in_.ledger->replicas()) {
        if (replica.service() == in_.service && will_remain(replica)) {
            const listed_backend* head = in_.backends->find(replica.members(0).id());
            ++domains[head->server.fabric_domain].replicas[replica.model()];
        }
    }
    domain_packing packing(model_shares(*in_.profile, in_.demand_ms_per_s, settings_), domains,
                           settings_.spare_share);
    const std::uint32_t vms = packing.replica_vms_of_all();
    if (!in_.split || in_.before_first_call || vms == 0) {
        return packing;
    }
    return domain_packing(split_shares(vms), std::move(domains), settings_.spare_share);
}

void formation_planner::form(const model_profile& model,
                             const std::vector<schema::shared_member>& members)
{
    schema::shared_replica formed;
    formed.set_service(in_.service);
    formed.set_model(model.name);
    const std::uint64_t epoch = epoch_at(next_);
    formed.set_epoch(epoch);
    formed.set_phase(schema::shared_phase_forming);
    formed.set_reason("the model has fewer replicas than its target");
    *formed.mutable_members() = {members.begin(), members.end()};
    records_.push_back(to_record(replica_name(epoch), formed));
    taken_.insert(taken_.end(), members.begin(), members.end());
    ++replica_counts_[model.name];
    ++next_.offset;
}

void formation_planner::form_from_packing(const domain_packing& packing)
{
    for (const placement& missing : packing.missing()) {
        const model_profile& model = *in_.profile->find(missing.model);
        const auto members = pool_.take_from_domain(missing.domain, model);
        if (!members.empty()) {
            form(model, members);
        }
    }
}

void formation_planner::form_from_holders()
{
    std::set<std::string> unplaceable;
    while (true) {
        const model_profile* neediest = nullptr;
        double lowest = 1;
        for (const model_profile& model : in_.profile->models) {
            if (!unplaceable.contains(model.name) && fill_ratio(model.name) < lowest) {
                lowest = fill_ratio(model.name);
                neediest = &model;
            }
        }
        if (neediest == nullptr) {
            return;
        }
        const auto members = pool_.take_holders(*neediest);
        if (members.empty()) {
            unplaceable.insert(neediest->name);
            continue;
        }
        form(*neediest, members);
    }
}

double formation_planner::fill_ratio(const std::string& model) const
{
    const auto have = replica_counts_.find(model);
    return (have == replica_counts_.end() ? 0.0 : have->second) / targets_.at(model);
}

} // namespace chervildyke
