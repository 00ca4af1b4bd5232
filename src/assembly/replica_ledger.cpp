/** \file
 * Implements replica_ledger.
 */
#include "assembly/replica_ledger.h"

#include <algorithm>
#include <vector>

#include "base/event_log.h"

namespace chervildyke {

namespace {

const event_log ledger_log("ledger");

const char* to_text(schema::shared_phase phase)
{
    switch (phase) {
    case schema::shared_phase_forming:
        return "forming";
    case schema::shared_phase_serving:
        return "serving";
    case schema::shared_phase_retiring:
        return "retiring";
    default:
        return "none";
    }
}

std::string member_text(const schema::shared_replica& replica)
{
    std::string text;
    for (const schema::shared_member& member : replica.members()) {
        text += (text.empty() ? "" : ",") + member.id();
    }
    return text;
}

} // namespace

keyed_record to_record(const std::string& name, const schema::shared_replica& replica)
{
    keyed_record record;
    record.key = name;
    record.value = replica.SerializeAsString();
    return record;
}

keyed_record make_retiring_record(const std::string& name, schema::shared_replica replica,
                                  const std::string& reason, bool abort_calls)
{
    replica.set_phase(schema::shared_phase_retiring);
    replica.set_reason(reason);
    replica.set_abort_calls(abort_calls);
    return to_record(name, replica);
}

void replica_ledger::replace(const keyed_records& newest)
{
    replicas_.clear();
    holders_.clear();
    std::vector<keyed_record> sorted = newest.records;
    std::sort(sorted.begin(), sorted.end(),
              [](const keyed_record& a, const keyed_record& b) { return a.offset < b.offset; });
    for (const keyed_record& record : sorted) {
        apply_one(record);
    }
    end_ = newest.next_offset;
    ++version_;
}

void replica_ledger::apply(const keyed_records& records)
{
    for (const keyed_record& record : records.records) {
        apply_one(record);
    }
    end_ = records.next_offset;
    ++version_;
}

bool replica_ledger::holds_members_of_others(const std::string& name,
                                             const schema::shared_replica& replica) const
{
    for (const schema::shared_member& member : replica.members()) {
        const auto holder = holders_.find(member.id());
        if (holder != holders_.end() && holder->second != name) {
            return true;
        }
    }
    return false;
}

void replica_ledger::apply_one(const keyed_record& record)
{
    const std::string offset = std::to_string(record.offset);
    if (!record.value) {
        std::erase_if(holders_, [&](const auto& entry) { return entry.second == record.key; });
        replicas_.erase(record.key);
        ledger_log.write("replica_dropped", {{"replica", record.key}, {"offset", offset}});
        return;
    }
    schema::shared_replica replica;
    const bool readable = replica.ParseFromString(*record.value) && replica.members_size() > 0;
    if (!readable || holds_members_of_others(record.key, replica)) {
        ledger_log.write("record_rejected",
                         {{"replica", record.key},
                          {"offset", offset},
                          {"reason", readable ? "a member already belongs to another replica"
                                              : "the record is malformed or has no members"}});
        return;
    }
    for (const schema::shared_member& member : replica.members()) {
        holders_[member.id()] = record.key;
    }
    ledger_log.write("replica_recorded", {{"replica", record.key},
                                          {"offset", offset},
                                          {"epoch", std::to_string(replica.epoch())},
                                          {"model", replica.model()},
                                          {"phase", to_text(replica.phase())},
                                          {"members", member_text(replica)},
                                          {"reason", replica.reason()}});
    replicas_[record.key] = std::move(replica);
}

std::optional<std::string> replica_ledger::holder_of(const std::string& vm) const
{
    const auto found = holders_.find(vm);
    return found == holders_.end() ? std::nullopt : std::optional(found->second);
}

} // namespace chervildyke
