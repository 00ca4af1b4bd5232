/** \file
 * Defines replica_ledger, the replicas that all nodes have agreed on through the shared log.
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

/** Follows the topic of replicas. Writers append only where the log ends, so each record was made
 * in knowledge of all before it; a record that takes a VM which another replica holds is void all
 * the same, for every reader.
 */
class replica_ledger {
  public:
    /** Takes the newest record of each replica. */
    void replace(const keyed_records& newest);

    /** Takes records in the order of the log. */
    void apply(const keyed_records& records);

    /** By name. */
    const std::map<std::string, schema::shared_replica>& replicas() const { return replicas_; }

    /** \return the name of the replica that holds the VM, or nothing. */
    std::optional<std::string> holder_of(const std::string& vm) const;

    /** The offset that the next record gets. */
    std::uint64_t end() const { return end_; }

    /** Rises with each change. */
    std::uint64_t version() const { return version_; }

  private:
    void apply_one(const keyed_record& record);
    bool holds_members_of_others(const std::string& name,
                                 const schema::shared_replica& replica) const;

    std::map<std::string, schema::shared_replica> replicas_;
    std::map<std::string, std::string> holders_; // VM to replica.
    std::uint64_t end_ = 0;
    std::uint64_t version_ = 0;
};

/** \return the record that states the replica. */
keyed_record to_record(const std::string& name, const schema::shared_replica& replica);

/** \return the record with which the replica gives way.
 * \param abort_calls breaks its calls off instead of letting them end.
 */
keyed_record retired(const std::string& name, schema::shared_replica replica,
                     const std::string& reason, bool abort_calls);

} // namespace chervildyke
