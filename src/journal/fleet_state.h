/** \file
 * Defines fleet_state, the replicated state that every reader of the journal computes by applying
 * the same records in the same order.
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
#include "journal/record_outcome.h"
#include "journal/replica.h"

namespace chervildyke {

/** The newest journal format that this program can apply. */
constexpr std::uint32_t newest_supported_format = 1;

/** One accepted configuration. */
struct configuration_entry {
    std::uint64_t version = 0;
    std::string author;
    std::string comment;
    std::uint64_t written_at_ms = 0;
    std::shared_ptr<const schema::fleet_configuration> configuration; // Null for old versions.
};

/** A team of the current configuration, with its template merged in. */
struct configured_team {
    schema::team_parameters parameters;
    std::uint64_t parameters_version = 0; // The version that introduced them.
};

struct apply_result;

/** The current configuration and the replicas, at one offset of the journal.
 * Copies share their parts and are therefore cheap. The outcome of a record depends only on the
 * state and the record, so two readers with equal states reach equal outcomes, no matter at which
 * offset they started.
 */
class fleet_state {
  public:
    using replica_map = std::map<replica_id, replica>;
    using team_map = std::map<std::string, configured_team>;
    using history_list = std::vector<configuration_entry>;

    /** The state before the first record. */
    fleet_state();

    /** Validates a record and applies it if it is accepted.
     * \param record a record of the journal.
     * \param offset the record's offset; a record at or below offset() is a duplicate.
     * \return the state after the record, and the record's outcome.
     */
    apply_result apply(const schema::journal_record& record, log_offset offset) const;

    /** Parses and applies a log payload. Every reader rejects a payload that is not a record. */
    apply_result apply_payload(const std::string& payload, log_offset offset) const;

    log_offset offset() const { return offset_; }
    std::uint32_t format() const { return format_; }

    /** False once the journal has moved to a format that this program does not support. The
     * program then must not apply any further record, as it can't validate it.
     */
    bool supports_format() const { return format_ <= newest_supported_format; }

    std::uint64_t configuration_version() const { return configuration_version_; }

    /** The current configuration; empty before the first one is accepted; never null. */
    const std::shared_ptr<const schema::fleet_configuration>& configuration() const
    {
        return configuration_;
    }

    /** All forming, serving and retiring replicas. */
    const replica_map& replicas() const { return *replicas_; }

    /** \return the replica, or null when it is unknown or released. */
    const replica* find_replica(replica_id id) const;

    /** \return the replica that holds the VM; empty when the VM is free. */
    std::optional<replica_id> holder_of(const std::string& vm) const;

    /** The teams of the current configuration, with merged parameters. */
    const team_map& teams() const { return *teams_; }

    /** The newest accepted configurations, oldest first. */
    const history_list& history() const { return *history_; }

    /** \return the team's number of forming and serving replicas. */
    std::size_t live_replicas(const std::string& team) const;

    /** \return the whole state as a message; from_snapshot() restores an equal state. */
    schema::state_snapshot to_snapshot() const;

    /** Restores a state.
     * \return the state; journal_error::unreadable for a snapshot without a format, or one in which
     * two replicas hold the same VM.
     */
    static journal_result<std::shared_ptr<const fleet_state>>
    from_snapshot(const schema::state_snapshot& snapshot);

    /** Compares the content and the offset. */
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
    std::shared_ptr<replica_map> replicas_; // Changed only while a builder is its sole owner.
    std::shared_ptr<holder_map> holders_;
    std::shared_ptr<id_window> recent_ids_;
};

/** The state after one record, and the record's outcome. */
struct apply_result {
    std::shared_ptr<const fleet_state> state;
    record_outcome outcome;
};

/** Applies a sequence of records to a state, and copies each part of the state at most once. */
class fleet_state_builder {
  public:
    explicit fleet_state_builder(const fleet_state& base) : state_(base) {}

    /** As fleet_state::apply(), in place. */
    record_outcome apply(const schema::journal_record& record, log_offset offset);

    /** As fleet_state::apply_payload(), in place. */
    record_outcome apply_payload(const std::string& payload, log_offset offset);

    /** The state so far; a different object from those that build() returned. */
    const fleet_state& current() const { return state_; }

    /** \return the state so far; more records may be applied afterwards. */
    std::shared_ptr<const fleet_state> build() const;

  private:
    record_outcome apply_change(const schema::journal_record& record, log_offset offset);
    record_outcome apply_configuration(const schema::journal_record& record, log_offset offset);
    record_outcome apply_formation(const schema::replica_formation& formation, log_offset offset);
    record_outcome check_formation(const schema::replica_formation& formation) const;
    record_outcome check_vms(const schema::replica_formation& formation) const;
    record_outcome apply_serving(const schema::replica_serving& serving);
    record_outcome apply_retirement(const schema::replica_retirement& retirement);
    record_outcome apply_release(const schema::vm_release& release);
    record_outcome apply_format_change(const schema::format_change& change);
    bool is_recent_id(const std::string& id) const;
    void add_recent_id(const std::string& id);
    replica* mutable_replica(replica_id id);

    fleet_state state_;
};

} // namespace chervildyke
