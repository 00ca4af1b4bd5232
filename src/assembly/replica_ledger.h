/** \file
 * Defines replica_ledger, the replicas on which all nodes agree through the shared log.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "fleet/shared_log.h"
#include "node.pb.h"

namespace chervildyke {

inline constexpr const char* replica_topic = "replicas";

/** The current replicas, built from the records of the replicas topic. Writers append only at the
 * log's end, so each record was made with all earlier records known. In addition every reader
 * rejects a record that takes a VM which another replica holds.
 */
class replica_ledger {
  public:
    /** Replaces the state with the newest record of each replica. */
    void replace(const keyed_records& newest);

    /** Applies records in log order. */
    void apply(const keyed_records& records);

    /** \return the replicas by name. */
    const std::map<std::string, schema::shared_replica>& replicas() const { return replicas_; }

    /** \return the name of the replica that holds the VM, or nothing. */
    std::optional<std::string> holder_of(const std::string& vm) const;

    /** \return the offset of the next record. */
    std::uint64_t end() const { return end_; }

    /** \return a number that increases with each change. */
    std::uint64_t version() const { return version_; }

  private:
    void apply_one(const keyed_record& record);
    bool holds_members_of_others(const std::string& name,
                                 const schema::shared_replica& replica) const;

    std::map<std::string, schema::shared_replica> replicas_; // By name.
    std::map<std::string, std::string> holders_;             // Replica name by VM.
    std::uint64_t end_ = 0;
    std::uint64_t version_ = 0;
};

/** \return the record that stores the replica under its name. */
keyed_record to_record(const std::string& name, const schema::shared_replica& replica);

/** \return the record that retires the replica.
 * \param abort_calls true to abort its running calls instead of letting them finish.
 */
keyed_record make_retiring_record(const std::string& name, schema::shared_replica replica,
                                  const std::string& reason, bool abort_calls);

} // namespace chervildyke
