/** \file
 * Implements the validation and the application of journal records.
 */
#include "journal/fleet_state.h"

#include <algorithm>
#include <set>

#include <google/protobuf/util/message_differencer.h>

#include "journal/team_parameters.h"
#include "journal/validate.h"

namespace chervildyke {

namespace {

constexpr std::size_t max_recent_ids = 512;     // Record ids kept to detect duplicates.
constexpr std::size_t max_history_entries = 64; // Configurations in the history.
// How many of the newest entries keep their configuration.
constexpr std::size_t max_history_configurations = 8;

record_outcome rejected(rejection_reason code, std::string reason)
{
    return {record_status::rejected, code, std::move(reason)};
}

bool same_parameters(const schema::team_parameters& left, const schema::team_parameters& right)
{
    return google::protobuf::util::MessageDifferencer::Equals(left, right);
}

/** Returns a part for writing, and copies it first unless this is its sole owner. */
template <typename Part>
Part& copy_if_shared(std::shared_ptr<Part>& part)
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
        configured_team next{effective_parameters(configuration, team), version};
        const auto known = before.find(team.name());
        if (known != before.end() && same_parameters(known->second.parameters, next.parameters)) {
            next.parameters_version = known->second.parameters_version;
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
    if (history->size() > max_history_entries) {
        history->erase(history->begin());
    }
    if (history->size() > max_history_configurations) {
        (*history)[history->size() - max_history_configurations - 1].configuration = nullptr;
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

apply_result fleet_state::apply(const schema::journal_record& record, log_offset offset) const
{
    fleet_state_builder builder(*this);
    record_outcome outcome = builder.apply(record, offset);
    return {builder.build(), std::move(outcome)};
}

apply_result fleet_state::apply_payload(const std::string& payload, log_offset offset) const
{
    fleet_state_builder builder(*this);
    record_outcome outcome = builder.apply_payload(payload, offset);
    return {builder.build(), std::move(outcome)};
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

record_outcome fleet_state_builder::apply_payload(const std::string& payload, log_offset offset)
{
    schema::journal_record record;
    if (record.ParseFromString(payload)) {
        return apply(record, offset);
    }
    if (state_.supports_format() && offset > state_.offset_) {
        state_.offset_ = offset;
    }
    return rejected(rejection_reason::unreadable,
                    "the payload can't be parsed as a journal record");
}

record_outcome fleet_state_builder::apply(const schema::journal_record& record, log_offset offset)
{
    if (!state_.supports_format()) {
        return rejected(rejection_reason::newer_format,
                        "the journal's format is newer than this program supports");
    }
    if (offset <= state_.offset_) {
        return {record_status::duplicate, rejection_reason::none,
                "the state already includes this offset"};
    }
    state_.offset_ = offset;
    if (record.has_checkpoint()) {
        return {record_status::neutral, rejection_reason::none, "a checkpoint chunk"};
    }
    if (is_recent_id(record.id())) {
        return {record_status::duplicate, rejection_reason::none,
                "a copy of an earlier record with the same id"};
    }
    add_recent_id(record.id());
    return apply_change(record, offset);
}

record_outcome fleet_state_builder::apply_change(const schema::journal_record& record,
                                                 log_offset offset)
{
    if (record.format() > state_.format_) {
        return rejected(rejection_reason::newer_format,
                        "the record has format " + std::to_string(record.format()) +
                            "; the journal's format is " + std::to_string(state_.format_));
    }
    using change = schema::journal_record;
    switch (record.change_case()) {
    case change::kConfiguration:
        return apply_configuration(record, offset);
    case change::kFormation:
        return apply_formation(record.formation(), offset);
    case change::kServing:
        return apply_serving(record.serving());
    case change::kRetirement:
        return apply_retirement(record.retirement());
    case change::kRelease:
        return apply_release(record.release());
    case change::kFormatRaise:
        return apply_format_change(record.format_raise());
    default:
        return rejected(rejection_reason::unreadable, "the record contains no known change");
    }
}

record_outcome fleet_state_builder::apply_configuration(const schema::journal_record& record,
                                                        log_offset offset)
{
    const schema::configuration_change& change = record.configuration();
    if (change.base_version() != state_.configuration_version_) {
        return rejected(rejection_reason::stale_base,
                        "the change is based on version " + std::to_string(change.base_version()) +
                            "; the current version is " +
                            std::to_string(state_.configuration_version_));
    }
    const auto faults = validate(change.configuration());
    if (!faults.empty()) {
        return rejected(rejection_reason::invalid_configuration, join_faults(faults));
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

record_outcome fleet_state_builder::check_vms(const schema::replica_formation& formation) const
{
    const auto& drained = state_.configuration_->drained_vms();
    std::set<std::string> listed;
    for (const std::string& vm : formation.vms()) {
        if (vm.empty() || !listed.insert(vm).second) {
            return rejected(rejection_reason::vm_repeated,
                            "VM \"" + vm + "\" is empty or listed twice");
        }
        const auto holder = state_.holder_of(vm);
        if (holder) {
            return rejected(rejection_reason::vm_held,
                            "VM " + vm + " is held by replica " + std::to_string(*holder));
        }
        if (std::find(drained.begin(), drained.end(), vm) != drained.end()) {
            return rejected(rejection_reason::vm_drained, "VM " + vm + " is drained");
        }
    }
    return {};
}

record_outcome
fleet_state_builder::check_formation(const schema::replica_formation& formation) const
{
    const auto team = state_.teams_->find(formation.team());
    if (team == state_.teams_->end()) {
        return rejected(rejection_reason::unknown_team,
                        "unknown team \"" + formation.team() + "\"");
    }
    const schema::team_parameters& wanted = team->second.parameters;
    const std::uint64_t version = formation.configuration_version();
    if (version < team->second.parameters_version || version > state_.configuration_version_ ||
        formation.model() != wanted.model()) {
        return rejected(rejection_reason::parameters_changed,
                        "the formation is based on version " + std::to_string(version) +
                            "; the team's parameters are those of version " +
                            std::to_string(team->second.parameters_version));
    }
    if (static_cast<std::uint32_t>(formation.vms_size()) != wanted.vms_per_replica()) {
        return rejected(rejection_reason::wrong_vm_count,
                        "found " + std::to_string(formation.vms_size()) + " VMs; expected " +
                            std::to_string(wanted.vms_per_replica()));
    }
    const replica* replaced = state_.find_replica(formation.replaces());
    const bool replaces_own =
        replaced != nullptr && replaced->live() && replaced->team == formation.team();
    const std::size_t allowed = wanted.replicas() + (replaces_own ? 1U : 0U);
    if (state_.live_replicas(formation.team()) >= allowed) {
        return rejected(rejection_reason::replica_limit_reached,
                        "the team already has its " + std::to_string(wanted.replicas()) +
                            " replicas");
    }
    return check_vms(formation);
}

record_outcome fleet_state_builder::apply_formation(const schema::replica_formation& formation,
                                                    log_offset offset)
{
    record_outcome outcome = check_formation(formation);
    if (!outcome.accepted()) {
        return outcome;
    }
    replica formed;
    formed.id = offset;
    formed.team = formation.team();
    formed.model = formation.model();
    formed.phase = schema::forming;
    formed.configuration_version = formation.configuration_version();
    formed.reason = formation.reason();
    auto& holders = copy_if_shared(state_.holders_);
    for (const std::string& vm : formation.vms()) {
        formed.members.push_back({vm, false});
        holders.emplace(vm, offset);
    }
    copy_if_shared(state_.replicas_).emplace(offset, std::move(formed));
    return outcome;
}

replica* fleet_state_builder::mutable_replica(replica_id id)
{
    return &copy_if_shared(state_.replicas_).at(id);
}

record_outcome fleet_state_builder::apply_serving(const schema::replica_serving& serving)
{
    const replica* known = state_.find_replica(serving.replica_id());
    if (known == nullptr) {
        return rejected(rejection_reason::unknown_replica,
                        "unknown replica " + std::to_string(serving.replica_id()));
    }
    if (known->phase != schema::forming) {
        return rejected(rejection_reason::wrong_phase, "the replica is not forming");
    }
    mutable_replica(serving.replica_id())->phase = schema::serving;
    return {};
}

record_outcome fleet_state_builder::apply_retirement(const schema::replica_retirement& retirement)
{
    const replica* known = state_.find_replica(retirement.replica_id());
    if (known == nullptr) {
        return rejected(rejection_reason::unknown_replica,
                        "unknown replica " + std::to_string(retirement.replica_id()));
    }
    if (!known->live()) {
        return rejected(rejection_reason::wrong_phase, "the replica is already retiring");
    }
    replica* retired = mutable_replica(retirement.replica_id());
    retired->phase = schema::retiring;
    retired->reason = retirement.reason();
    return {};
}

record_outcome fleet_state_builder::apply_release(const schema::vm_release& release)
{
    const replica* known = state_.find_replica(release.replica_id());
    if (known == nullptr) {
        return rejected(rejection_reason::unknown_replica,
                        "unknown replica " + std::to_string(release.replica_id()));
    }
    if (known->phase != schema::retiring) {
        return rejected(rejection_reason::wrong_phase, "the replica is not retiring");
    }
    const auto evidence = release.evidence();
    if (evidence != schema::engine_confirmed && evidence != schema::vm_gone &&
        evidence != schema::quarantine_over) {
        return rejected(rejection_reason::no_evidence,
                        "the release has no evidence that the VM is free");
    }
    if (state_.holder_of(release.vm()) != release.replica_id()) {
        return rejected(rejection_reason::wrong_phase, "the replica does not hold the VM");
    }
    copy_if_shared(state_.holders_).erase(release.vm());
    auto& members = mutable_replica(release.replica_id())->members;
    const auto is_released = [](const replica_vm& member) { return member.released; };
    for (replica_vm& member : members) {
        member.released = member.released || member.vm == release.vm();
    }
    if (std::all_of(members.begin(), members.end(), is_released)) {
        state_.replicas_->erase(release.replica_id());
    }
    return {};
}

record_outcome fleet_state_builder::apply_format_change(const schema::format_change& change)
{
    if (change.from() != state_.format_ || change.to() != state_.format_ + 1) {
        return rejected(rejection_reason::wrong_format_change,
                        "found a change from format " + std::to_string(change.from()) + " to " +
                            std::to_string(change.to()) + "; the journal's format is " +
                            std::to_string(state_.format_));
    }
    state_.format_ = change.to();
    return {};
}

bool fleet_state_builder::is_recent_id(const std::string& id) const
{
    const auto& ids = *state_.recent_ids_;
    return !id.empty() && std::find(ids.begin(), ids.end(), id) != ids.end();
}

void fleet_state_builder::add_recent_id(const std::string& id)
{
    if (id.empty()) {
        return;
    }
    auto& ids = copy_if_shared(state_.recent_ids_);
    ids.push_back(id);
    if (ids.size() > max_recent_ids) {
        ids.pop_front();
    }
}

} // namespace chervildyke
