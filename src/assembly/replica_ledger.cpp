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

constexpr const char* header_key = "header";
constexpr unsigned epoch_offset_bits = 32; // Offsets of one era are smaller; eras come above them.

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

std::uint64_t epoch_at(log_position position)
{
    return (position.era << epoch_offset_bits) + position.offset + 1;
}

keyed_record make_ledger_header(std::uint64_t era, bool restoring)
{
    schema::ledger_header header;
    header.set_era(era);
    header.set_restoring(restoring);
    keyed_record record;
    record.key = header_key;
    record.value = header.SerializeAsString();
    return record;
}

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
    log_.clear();
    header_.Clear();
    end_ = newest.end();
    for (const keyed_record& record : newest.records) {
        if (record.key == header_key) {
            header_.ParseFromString(record.value.value_or(""));
        }
        else if (record.value) {
            log_[record.key] = record;
        }
    }
    ++version_;
    if (is_current()) {
        agree_on_log();
        return;
    }
    ledger_log.write("log_not_current", {{"era", std::to_string(end_.era)},
                                         {"header_era", std::to_string(header_.era())},
                                         {"records", std::to_string(log_.size())},
                                         {"agreed_era", std::to_string(agreed_end_.era)},
                                         {"agreed_end", std::to_string(agreed_end_.offset)},
                                         {"replicas", std::to_string(replicas_.size())}});
}

void replica_ledger::apply(const keyed_records& records)
{
    for (const keyed_record& record : records.records) {
        if (record.key == header_key) {
            note_header(record);
        }
        else {
            note_record(record);
        }
        if (is_current()) {
            agreed_end_ = {end_.era, record.offset + 1};
        }
    }
    end_.offset = records.next_offset;
    ++version_;
}

void replica_ledger::note_header(const keyed_record& record)
{
    const bool was_current = is_current();
    header_.Clear();
    header_.ParseFromString(record.value.value_or(""));
    if (is_current() == was_current) {
        return;
    }
    ledger_log.write(was_current ? "log_not_current" : "log_current",
                     {{"offset", std::to_string(record.offset)},
                      {"era", std::to_string(end_.era)},
                      {"header_era", std::to_string(header_.era())}});
    if (!was_current) {
        agree_on_log();
    }
}

void replica_ledger::note_record(const keyed_record& record)
{
    if (record.value) {
        log_[record.key] = record;
    }
    else {
        log_.erase(record.key);
    }
    if (is_current()) {
        apply_one(record);
    }
}

/** Replaces the agreed replicas by those in the log. */
void replica_ledger::agree_on_log()
{
    replicas_.clear();
    holders_.clear();
    std::vector<const keyed_record*> sorted;
    for (const auto& [key, record] : log_) {
        sorted.push_back(&record);
    }
    std::sort(sorted.begin(), sorted.end(),
              [](const keyed_record* a, const keyed_record* b) { return a->offset < b->offset; });
    for (const keyed_record* record : sorted) {
        apply_one(*record);
    }
    agreed_end_ = end_;
}

std::vector<keyed_record> replica_ledger::make_restoring_records() const
{
    if (agreed_end_ == log_position()) {
        return {make_ledger_header(end_.era)};
    }
    std::vector<keyed_record> records = {make_ledger_header(end_.era, true)};
    for (const auto& [key, record] : log_) {
        if (!replicas_.contains(key)) {
            keyed_record removed;
            removed.key = key;
            records.push_back(std::move(removed));
        }
    }
    for (const auto& [name, replica] : replicas_) {
        keyed_record agreed = to_record(name, replica);
        const auto logged = log_.find(name);
        if (logged == log_.end() || logged->second.value != agreed.value) {
            records.push_back(std::move(agreed));
        }
    }
    records.push_back(make_ledger_header(end_.era));
    return records;
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
