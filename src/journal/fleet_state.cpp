/** \file
 * Implements the rule by which records are judged and applied.
 */
#include "journal/fleet_state.h"

#include <algorithm>
#include <set>

#include <google/protobuf/util/message_differencer.h>

#include "journal/team_parameters.h"
#include "journal/validate.h"

namespace chervildyke {

namespace {

constexpr std::size_t remembered_ids = 512;
constexpr std::size_t history_entries = 64;
constexpr std::size_t history_configurations = 8;

verdict rejected(void_reason why, std::string reason)
{
    return {judgement::rejected, why, std::move(reason)};
}

bool same_parameters(const schema::team_parameters& left, const schema::team_parameters& right)
{
    return google::protobuf::util::MessageDifferencer::Equals(left, right);
}

/** Makes the shared part writable: copies it unless this is its one owner. */
template <typename Part>
Part& writable(std::shared_ptr<Part>& part)
{
    if (part.use_count() > 1) {
        part = std::make_shared<Part>(*part);
    }
    return *part;
}

std::shared_ptr<const fleet_state::team_map>
merge_teams(const schema::fleet_configuration& configuration, const fleet_state::team_map& before,
            std::uint64_t version)
{
    auto teams = std::make_shared<fleet_state::team_map>();
    for (const schema::team& team : configuration.teams()) {
        team_state next{effective_parameters(configuration, team), version};
        const auto known = before.find(team.name());
        if (known != before.end() && same_parameters(known->second.parameters, next.parameters)) {
            next.since = known->second.since;
        }
        teams->emplace(team.name(), std::move(next));
    }
    return teams;
}

std::shared_ptr<const fleet_state::history_list>
extend_history(const fleet_state::history_list& before, configuration_entry entry)
{
    auto history = std::make_shared<fleet_state::history_list>(before);
    history->push_back(std::move(entry));
    if (history->size() > history_entries) {
        history->erase(history->begin());
    }
    if (history->size() > history_configurations) {
        (*history)[history->size() - history_configurations - 1].configuration = nullptr;
    }
    return history;
}

} // namespace

fleet_state::fleet_state()
    : configuration_(std::make_shared<schema::fleet_configuration>()),
      teams_(std::make_shared<team_map>()), history_(std::make_shared<history_list>()),
      replicas_(std::make_shared<replica_map>()), holders_(std::make_shared<holder_map>()),
      recent_ids_(std::make_shared<id_window>())
{
}

applied fleet_state::apply(const schema::journal_record& record, log_offset offset) const
{
    fleet_state_builder builder(*this);
    verdict v = builder.apply(record, offset);
    return {builder.build(), std::move(v)};
}

applied fleet_state::apply_payload(const std::string& payload, log_offset offset) const
{
    fleet_state_builder builder(*this);
    verdict v = builder.apply_payload(payload, offset);
    return {builder.build(), std::move(v)};
}

const replica* fleet_state::find_replica(replica_id id) const
{
    const auto found = replicas_->find(id);
    return found == replicas_->end() ? nullptr : &found->second;
}

std::optional<replica_id> fleet_state::holder_of(const std::string& vm) const
{
    const auto found = holders_->find(vm);
    return found == holders_->end() ? std::nullopt : std::optional<replica_id>(found->second);
}

std::size_t fleet_state::live_replicas(const std::string& team) const
{
    const auto counts = [&](const auto& item) {
        return item.second.team == team && item.second.live();
    };
    return static_cast<std::size_t>(std::count_if(replicas_->begin(), replicas_->end(), counts));
}

std::shared_ptr<const fleet_state> fleet_state_builder::build() const
{
    return std::make_shared<const fleet_state>(state_);
}

verdict fleet_state_builder::apply_payload(const std::string& payload, log_offset offset)
{
    schema::journal_record record;
    if (record.ParseFromString(payload)) {
        return apply(record, offset);
    }
    if (state_.can_judge() && offset > state_.offset_) {
        state_.offset_ = offset;
    }
    return rejected(void_reason::unreadable, "the payload is no journal record");
}

verdict fleet_state_builder::apply(const schema::journal_record& record, log_offset offset)
{
    if (!state_.can_judge()) {
        return rejected(void_reason::newer_format,
                        "the journal's format is newer than the program");
    }
    if (offset <= state_.offset_) {
        return {judgement::duplicate, void_reason::none, "the state covers this offset already"};
    }
    state_.offset_ = offset;
    if (record.has_checkpoint()) {
        return {judgement::neutral, void_reason::none, "a checkpoint chunk"};
    }
    if (seen(record.id())) {
        return {judgement::duplicate, void_reason::none, "a second copy of an earlier record"};
    }
    remember(record.id());
    return judge(record, offset);
}

verdict fleet_state_builder::judge(const schema::journal_record& record, log_offset offset)
{
    if (record.format() > state_.format_) {
        return rejected(void_reason::newer_format,
                        "written with format " + std::to_string(record.format()) +
                            "; in force is " + std::to_string(state_.format_));
    }
    using change = schema::journal_record;
    switch (record.change_case()) {
    case change::kConfiguration:
        return change_configuration(record, offset);
    case change::kFormation:
        return form(record.formation(), offset);
    case change::kServing:
        return serve(record.serving());
    case change::kRetirement:
        return retire(record.retirement());
    case change::kRelease:
        return release(record.release());
    case change::kFormatRaise:
        return raise_format(record.format_raise());
    default:
        return rejected(void_reason::unreadable, "the record states no known change");
    }
}

verdict fleet_state_builder::change_configuration(const schema::journal_record& record,
                                                  log_offset offset)
{
    const schema::configuration_change& change = record.configuration();
    if (change.base_version() != state_.configuration_version_) {
        return rejected(void_reason::stale_base,
                        "edits version " + std::to_string(change.base_version()) +
                            "; in force is " + std::to_string(state_.configuration_version_));
    }
    const auto faults = validate(change.configuration());
    if (!faults.empty()) {
        return rejected(void_reason::not_valid, join_faults(faults));
    }
    auto next = std::make_shared<const schema::fleet_configuration>(change.configuration());
    state_.teams_ = merge_teams(*next, *state_.teams_, offset);
    configuration_entry entry{offset, change.author(), change.comment(), record.written_at_ms(),
                              next};
    state_.history_ = extend_history(*state_.history_, std::move(entry));
    state_.configuration_ = std::move(next);
    state_.configuration_version_ = offset;
    return {};
}

verdict fleet_state_builder::check_vms(const schema::replica_formation& formation) const
{
    const auto& drained = state_.configuration_->drained_vms();
    std::set<std::string> listed;
    for (const std::string& vm : formation.vms()) {
        if (vm.empty() || !listed.insert(vm).second) {
            return rejected(void_reason::vm_repeated, "\"" + vm + "\" is empty or listed twice");
        }
        const auto holder = state_.holder_of(vm);
        if (holder) {
            return rejected(void_reason::vm_held,
                            vm + " is held by replica " + std::to_string(*holder));
        }
        if (std::find(drained.begin(), drained.end(), vm) != drained.end()) {
            return rejected(void_reason::vm_drained, vm + " is drained");
        }
    }
    return {};
}

verdict fleet_state_builder::check_formation(const schema::replica_formation& formation) const
{
    const auto team = state_.teams_->find(formation.team());
    if (team == state_.teams_->end()) {
        return rejected(void_reason::unknown_team, "no team \"" + formation.team() + "\"");
    }
    const schema::team_parameters& wanted = team->second.parameters;
    const std::uint64_t version = formation.configuration_version();
    if (version < team->second.since || version > state_.configuration_version_ ||
        formation.model() != wanted.model()) {
        return rejected(void_reason::parameters_changed,
                        "presumes version " + std::to_string(version) +
                            "; the team's parameters are of version " +
                            std::to_string(team->second.since));
    }
    if (static_cast<std::uint32_t>(formation.vms_size()) != wanted.vms_per_replica()) {
        return rejected(void_reason::wrong_vm_count,
                        "a replica spans " + std::to_string(wanted.vms_per_replica()) + " VMs");
    }
    const replica* replaced = state_.find_replica(formation.replaces());
    const bool replaces_own =
        replaced != nullptr && replaced->live() && replaced->team == formation.team();
    const std::size_t allowed = wanted.replicas() + (replaces_own ? 1U : 0U);
    if (state_.live_replicas(formation.team()) >= allowed) {
        return rejected(void_reason::enough_replicas,
                        "the team has its " + std::to_string(wanted.replicas()) + " replicas");
    }
    return check_vms(formation);
}

verdict fleet_state_builder::form(const schema::replica_formation& formation, log_offset offset)
{
    verdict v = check_formation(formation);
    if (!v.accepted()) {
        return v;
    }
    replica formed;
    formed.id = offset;
    formed.team = formation.team();
    formed.model = formation.model();
    formed.phase = schema::forming;
    formed.configuration_version = formation.configuration_version();
    formed.reason = formation.reason();
    auto& holders = writable(state_.holders_);
    for (const std::string& vm : formation.vms()) {
        formed.members.push_back({vm, false});
        holders.emplace(vm, offset);
    }
    writable(state_.replicas_).emplace(offset, std::move(formed));
    return v;
}

replica* fleet_state_builder::writable_replica(replica_id id)
{
    return &writable(state_.replicas_).at(id);
}

verdict fleet_state_builder::serve(const schema::replica_serving& serving)
{
    const replica* known = state_.find_replica(serving.replica_id());
    if (known == nullptr) {
        return rejected(void_reason::unknown_replica, "no such replica");
    }
    if (known->phase != schema::forming) {
        return rejected(void_reason::wrong_phase, "the replica is not forming");
    }
    writable_replica(serving.replica_id())->phase = schema::serving;
    return {};
}

verdict fleet_state_builder::retire(const schema::replica_retirement& retirement)
{
    const replica* known = state_.find_replica(retirement.replica_id());
    if (known == nullptr) {
        return rejected(void_reason::unknown_replica, "no such replica");
    }
    if (!known->live()) {
        return rejected(void_reason::wrong_phase, "the replica retires already");
    }
    replica* retired = writable_replica(retirement.replica_id());
    retired->phase = schema::retiring;
    retired->reason = retirement.reason();
    return {};
}

verdict fleet_state_builder::release(const schema::vm_release& release)
{
    const replica* known = state_.find_replica(release.replica_id());
    if (known == nullptr) {
        return rejected(void_reason::unknown_replica, "no such replica");
    }
    if (known->phase != schema::retiring) {
        return rejected(void_reason::wrong_phase, "the replica is not retiring");
    }
    const auto evidence = release.evidence();
    if (evidence != schema::engine_confirmed && evidence != schema::vm_gone &&
        evidence != schema::quarantine_over) {
        return rejected(void_reason::no_evidence, "no evidence that the VM is free");
    }
    if (state_.holder_of(release.vm()) != release.replica_id()) {
        return rejected(void_reason::wrong_phase, "the replica does not hold the VM");
    }
    writable(state_.holders_).erase(release.vm());
    auto& members = writable_replica(release.replica_id())->members;
    const auto is_released = [](const replica_vm& member) { return member.released; };
    for (replica_vm& member : members) {
        member.released = member.released || member.vm == release.vm();
    }
    if (std::all_of(members.begin(), members.end(), is_released)) {
        state_.replicas_->erase(release.replica_id());
    }
    return {};
}

verdict fleet_state_builder::raise_format(const schema::format_change& change)
{
    if (change.from() != state_.format_ || change.to() != state_.format_ + 1) {
        return rejected(void_reason::wrong_format_change,
                        "in force is format " + std::to_string(state_.format_));
    }
    state_.format_ = change.to();
    return {};
}

bool fleet_state_builder::seen(const std::string& id) const
{
    const auto& ids = *state_.recent_ids_;
    return !id.empty() && std::find(ids.begin(), ids.end(), id) != ids.end();
}

void fleet_state_builder::remember(const std::string& id)
{
    if (id.empty()) {
        return;
    }
    auto& ids = writable(state_.recent_ids_);
    ids.push_back(id);
    if (ids.size() > remembered_ids) {
        ids.pop_front();
    }
}

} // namespace chervildyke
