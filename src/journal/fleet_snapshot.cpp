/** \file
 * Implements the conversion between a fleet_state and the snapshot that checkpoints and members
 * transfer.
 */
#include <google/protobuf/util/message_differencer.h>

#include "journal/fleet_state.h"
#include "journal/replica_record.h"
#include "journal/team_parameters.h"

namespace chervildyke {

namespace {

using google::protobuf::util::MessageDifferencer;

/** Writes one history entry. The current configuration is stored once in the snapshot, so its
 * history entry omits it.
 */
void write_entry(const configuration_entry& from, bool is_current,
                 schema::configuration_version_record& into)
{
    into.set_version(from.version);
    into.set_author(from.author);
    into.set_comment(from.comment);
    into.set_written_at_ms(from.written_at_ms);
    if (from.configuration != nullptr && !is_current) {
        *into.mutable_configuration() = *from.configuration;
    }
}

configuration_entry read_entry(const schema::configuration_version_record& from,
                               std::uint64_t current_version,
                               const std::shared_ptr<const schema::fleet_configuration>& current)
{
    configuration_entry read{from.version(), from.author(), from.comment(), from.written_at_ms(),
                             nullptr};
    if (from.version() == current_version) {
        read.configuration = current;
    }
    else if (from.has_configuration()) {
        read.configuration =
            std::make_shared<const schema::fleet_configuration>(from.configuration());
    }
    return read;
}

std::map<std::string, std::uint64_t> read_team_versions(const schema::state_snapshot& snapshot)
{
    std::map<std::string, std::uint64_t> versions;
    for (const schema::team_version& item : snapshot.team_versions()) {
        versions[item.team()] = item.version();
    }
    return versions;
}

} // namespace

schema::state_snapshot fleet_state::to_snapshot() const
{
    schema::state_snapshot snapshot;
    snapshot.set_offset(offset_);
    snapshot.set_format(format_);
    snapshot.set_any_applied(offset_ > 0);
    snapshot.set_configuration_version(configuration_version_);
    *snapshot.mutable_configuration() = *configuration_;
    for (const auto& [id, item] : *replicas_) {
        write_replica(item, *snapshot.add_replicas());
    }
    for (const std::string& id : *recent_ids_) {
        snapshot.add_recent_ids(id);
    }
    for (const configuration_entry& entry : *history_) {
        write_entry(entry, entry.version == configuration_version_, *snapshot.add_history());
    }
    for (const auto& [name, team] : *teams_) {
        schema::team_version* version = snapshot.add_team_versions();
        version->set_team(name);
        version->set_version(team.parameters_version);
    }
    return snapshot;
}

journal_result<std::shared_ptr<const fleet_state>>
fleet_state::from_snapshot(const schema::state_snapshot& snapshot)
{
    if (snapshot.format() == 0) {
        return journal_failure{journal_error::unreadable, "the snapshot has no format"};
    }
    auto state = std::make_shared<fleet_state>();
    state->offset_ = snapshot.offset();
    state->format_ = snapshot.format();
    state->configuration_version_ = snapshot.configuration_version();
    state->configuration_ =
        std::make_shared<const schema::fleet_configuration>(snapshot.configuration());
    const auto versions = read_team_versions(snapshot);
    auto teams = std::make_shared<team_map>();
    for (const schema::team& team : state->configuration_->teams()) {
        const auto version = versions.find(team.name());
        teams->emplace(team.name(),
                       configured_team{effective_parameters(*state->configuration_, team),
                                       version == versions.end() ? 0 : version->second});
    }
    state->teams_ = std::move(teams);
    for (const schema::replica_record& item : snapshot.replicas()) {
        for (const schema::replica_member& member : item.members()) {
            if (!member.released() &&
                !state->holders_->emplace(member.vm(), item.replica_id()).second) {
                return journal_failure{journal_error::unreadable,
                                       "two replicas of the snapshot hold VM " + member.vm()};
            }
        }
        state->replicas_->emplace(item.replica_id(), read_replica(item));
    }
    state->recent_ids_->assign(snapshot.recent_ids().begin(), snapshot.recent_ids().end());
    auto history = std::make_shared<history_list>();
    for (const schema::configuration_version_record& entry : snapshot.history()) {
        history->push_back(read_entry(entry, state->configuration_version_, state->configuration_));
    }
    state->history_ = std::move(history);
    return std::shared_ptr<const fleet_state>(std::move(state));
}

bool fleet_state::operator==(const fleet_state& other) const
{
    return MessageDifferencer::Equals(to_snapshot(), other.to_snapshot());
}

} // namespace chervildyke
