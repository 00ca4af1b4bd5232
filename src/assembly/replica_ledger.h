/** \file
 * Defines replica_ledger, the replicas on which all nodes agree through the shared log.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/shared_log.h"
#include "node.pb.h"

namespace chervildyke {

inline constexpr const char* replica_topic = "replicas";

/** \return the epoch of a replica that a record at the position forms. Epochs increase over all
 * eras of the log, so that no VM is commanded with one that it has seen before; they are never
 * zero.
 */
std::uint64_t epoch_at(log_position position);

/** The current replicas, built from the records of the replicas topic. Writers append only at the
 * log's end, so each record was made with all earlier records known. In addition every reader
 * rejects a record that takes a VM which another replica holds.
 *
 * Each append begins with a header that names the era which its writer has read. When the log was
 * restored from an older copy, it lacks what was agreed since: its newest header names an earlier
 * era. So does a late append of a writer that has not read the current era. Until a header of the
 * current era follows, the agreed replicas stay as they were, and the node that knows most of them
 * writes what the log lacks (make_restoring_records()).
 */
class replica_ledger {
  public:
    /** Replaces the content of the log with the newest record of each key. */
    void replace(const keyed_records& newest);

    /** Applies records in log order, of the era of the last replace(). */
    void apply(const keyed_records& records);

    /** \return the agreed replicas by name. */
    const std::map<std::string, schema::shared_replica>& replicas() const { return replicas_; }

    /** \return the name of the replica that holds the VM, or nothing. */
    std::optional<std::string> holder_of(const std::string& vm) const;

    /** \return the position of the next record. */
    log_position end() const { return end_; }

    /** \return true if the log contains what was agreed, so that records may be appended. */
    bool is_current() const { return header_.era() == end_.era && !header_.restoring(); }

    /** \return true if the log was written in an earlier era and nobody has restored it since. A
     * log that was never written is not known to be a copy.
     */
    bool is_unrestored_copy() const { return header_.era() != 0 && !is_current(); }

    /** \return the position up to which the agreed replicas were read: end() while the log is
     * current. Zero if nothing agreed was read yet.
     */
    log_position agreed_end() const { return agreed_end_; }

    /** \return the records, to be appended at end(), that make the log current: replicas that it
     * lacks or holds in an older state, and the removal of those that are gone. If this node has
     * read nothing agreed, the content of the log becomes agreed as it is.
     */
    std::vector<keyed_record> make_restoring_records() const;

    /** \return a number that increases with each change. */
    std::uint64_t version() const { return version_; }

  private:
    void note_record(const keyed_record& record);
    void note_header(const keyed_record& record);
    void agree_on_log();
    void apply_one(const keyed_record& record);
    bool holds_members_of_others(const std::string& name,
                                 const schema::shared_replica& replica) const;

    std::map<std::string, keyed_record> log_; // The newest record of each key in the log.
    schema::ledger_header header_;            // The newest one in the log.
    std::map<std::string, schema::shared_replica> replicas_; // By name.
    std::map<std::string, std::string> holders_;             // Replica name by VM.
    log_position end_;
    log_position agreed_end_;
    std::uint64_t version_ = 0;
};

/** \return the header with which each append to the replicas topic begins.
 * \param era the era of the log that the writer has read.
 */
keyed_record make_ledger_header(std::uint64_t era, bool restoring = false);

/** \return the record that stores the replica under its name. */
keyed_record to_record(const std::string& name, const schema::shared_replica& replica);

/** \return the record that retires the replica.
 * \param abort_calls true to abort its running calls instead of letting them finish.
 */
keyed_record make_retiring_record(const std::string& name, schema::shared_replica replica,
                                  const std::string& reason, bool abort_calls);

} // namespace chervildyke
