/** \file
 * Implements the conversion of records and durations to and from the messages between nodes.
 */
#include "relay/message_values.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace chervildyke {

std::vector<keyed_record> from_messages(const ledger_messages& messages)
{
    std::vector<keyed_record> records;
    for (const schema::ledger_record& message : messages) {
        keyed_record record;
        record.offset = message.offset();
        record.key = message.key();
        if (!message.value().empty()) {
            record.value = message.value();
        }
        records.push_back(std::move(record));
    }
    return records;
}

void to_messages(const std::vector<keyed_record>& records, ledger_messages& messages)
{
    for (const keyed_record& record : records) {
        schema::ledger_record& message = *messages.Add();
        message.set_offset(record.offset);
        message.set_key(record.key);
        message.set_value(record.value.value_or(""));
    }
}

std::map<std::uint64_t, replica_usage> from_messages(const count_messages& messages)
{
    std::map<std::uint64_t, replica_usage> usage;
    for (const schema::replica_count& count : messages) {
        usage[count.epoch()] = {count.running(), count.prompt_tokens(),
                                std::chrono::milliseconds(count.silent_ms()), count.refuses()};
    }
    return usage;
}

void to_messages(const std::map<std::uint64_t, replica_usage>& usage, count_messages& messages)
{
    for (const auto& [epoch, use] : usage) {
        schema::replica_count& count = *messages.Add();
        count.set_epoch(epoch);
        count.set_running(use.running);
        count.set_prompt_tokens(use.prompt_tokens);
        count.set_silent_ms(to_whole_ms(use.silent));
        count.set_refuses(use.refuses);
    }
}

waiting_counts from_messages(const waiting_messages& messages)
{
    // More calls never wait for one model at a node; a larger number must not stop all later ranks.
    constexpr std::uint32_t max_calls = 1000;
    waiting_counts waiting;
    for (const schema::waiting_call_count& message : messages) {
        if (const auto rank = rank_from_number(message.rank()); rank && message.calls() > 0) {
            waiting[message.model()][*rank] = std::min(message.calls(), max_calls);
        }
    }
    return waiting;
}

void to_messages(const waiting_counts& waiting, waiting_messages& messages)
{
    for (const auto& [model, counts] : waiting) {
        for (const auto& [rank, calls] : counts) {
            schema::waiting_call_count& message = *messages.Add();
            message.set_model(model);
            message.set_rank(to_number(rank));
            message.set_calls(calls);
        }
    }
}

std::uint32_t to_whole_ms(duration span)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace chervildyke
