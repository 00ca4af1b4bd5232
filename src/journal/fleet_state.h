/** \file
 * Defines fleet_state, the immutable value that every reader of the journal reaches by applying
 * the same records.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "external/log_client.h"
#include "journal.pb.h"
#include "journal/journal_error.h"
#include "journal/replica.h"
#include "journal/verdict.h"

namespace chervildyke {

/** The newest format whose rule this program knows. */
constexpr std::uint32_t newest_format = 1;

/** One accepted configuration. */
struct configuration_entry {
    std::uint64_t version = 0;
    std::string author;
    std::string comment;
    std::uint64_t written_at_ms = 0;
    std::shared_ptr<const schema::fleet_configuration> configuration; // Null for older ones.
};

/** A team with its template merged in. */
struct team_state {
    schema::team_parameters parameters;
    std::uint64_t since = 0; // The configuration version that gave it these parameters.
};

struct applied;

/** The configuration in force and the replicas, at one offset of the journal.
 * A copy shares its parts, so it is cheap. Judging needs nothing but the state and the record:
 * two readers with equal states reach equal verdicts, wherever they started.
 */
class fleet_state {
  public:
    using replica_map = std::map<replica_id, replica>;
    using team_map = std::map<std::string, team_state>;
    using history_list = std::vector<configuration_entry>;

    /** The state before the first record. */
    fleet_state();

    /** Judges a record at its offset and applies it if it is accepted.
     * \param record a record of the journal.
     * \param offset its place; a record at or below offset() is a duplicate.
     */
    applied apply(const schema::journal_record& record, log_offset offset) const;

    /** As apply, from the bytes in the log. Bytes that are no record are void for all. */
    applied apply_payload(const std::string& payload, log_offset offset) const;

    log_offset offset() const { return offset_; }
    std::uint32_t format() const { return format_; }

    /** False once the journal moved to a format that this program does not know: it must
     * apply nothing more, as it can't judge.
     */
    bool can_judge() const { return format_ <= newest_format; }

    std::uint64_t configuration_version() const { return configuration_version_; }

    /** The configuration in force; empty before the first; never null. */
    const std::shared_ptr<const schema::fleet_configuration>& configuration() const
    {
        return configuration_;
    }

    /** Forming, serving and retiring replicas. */
    const replica_map& replicas() const { return *replicas_; }

    /** \return the replica, or null when unknown or released. */
    const replica* find_replica(replica_id id) const;

    /** \return the replica that holds the VM. */
    std::optional<replica_id> holder_of(const std::string& vm) const;

    /** The teams in force with merged parameters. */
    const team_map& teams() const { return *teams_; }

    /** The newest accepted configurations, oldest first. */
    const history_list& history() const { return *history_; }

    /** How many forming and serving replicas the team has. */
    std::size_t live_replicas(const std::string& team) const;

    schema::state_snapshot to_snapshot() const;
    static journal_result<std::shared_ptr<const fleet_state>>
    from_snapshot(const schema::state_snapshot& snapshot);

    /** Equal content at an equal offset. */
    bool operator==(const fleet_state& other) const;

  private:
    friend class fleet_state_builder;
    using holder_map = std::unordered_map<std::string, replica_id>;
    using id_window = std::deque<std::string>;

    log_offset offset_ = 0;
    std::uint32_t format_ = 1;
    std::uint64_t configuration_version_ = 0;
    std::shared_ptr<const schema::fleet_configuration> configuration_;
    std::shared_ptr<const team_map> teams_;
    std::shared_ptr<const history_list> history_;
    std::shared_ptr<replica_map> replicas_; // Changed only while a builder is its one owner.
    std::shared_ptr<holder_map> holders_;
    std::shared_ptr<id_window> recent_ids_;
};

/** What one record led to. */
struct applied {
    std::shared_ptr<const fleet_state> next;
    verdict v;
};

/** Applies a run of records to a state and copies each part at most once. */
class fleet_state_builder {
  public:
    explicit fleet_state_builder(const fleet_state& base) : state_(base) {}

    verdict apply(const schema::journal_record& record, log_offset offset);
    verdict apply_payload(const std::string& payload, log_offset offset);

    /** The state so far; not shared with what build() returned. */
    const fleet_state& current() const { return state_; }

    /** \return the state so far; the builder may go on. */
    std::shared_ptr<const fleet_state> build() const;

  private:
    verdict judge(const schema::journal_record& record, log_offset offset);
    verdict change_configuration(const schema::journal_record& record, log_offset offset);
    verdict form(const schema::replica_formation& formation, log_offset offset);
    verdict check_formation(const schema::replica_formation& formation) const;
    verdict check_vms(const schema::replica_formation& formation) const;
    verdict serve(const schema::replica_serving& serving);
    verdict retire(const schema::replica_retirement& retirement);
    verdict release(const schema::vm_release& release);
    verdict raise_format(const schema::format_change& change);
    bool seen(const std::string& id) const;
    void remember(const std::string& id);
    replica* writable_replica(replica_id id);

    fleet_state state_;
};

} // namespace chervildyke
