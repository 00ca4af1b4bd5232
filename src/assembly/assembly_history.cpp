/** \file
 * Implements assembly_history.
 */
#include "assembly/assembly_history.h"

namespace chervildyke {

void assembly_history::note_sent(const std::string& vm, const engine_command& command,
                                 time_point now, bool loads_weights)
{
    if (command.kind == command_kind::join && loads_weights) {
        commands_.erase({vm, command_kind::stage, 0});
    }
    sent_command& sent = commands_[{vm, command.kind, command.epoch}];
    sent = {now, command.model, std::nullopt, sent.unanswered};
}

void assembly_history::note_outcome(const std::string& vm, const engine_command& command,
                                    command_outcome outcome)
{
    const auto found = commands_.find({vm, command.kind, command.epoch});
    if (found != commands_.end()) {
        sent_command& sent = found->second;
        const bool answered =
            outcome != command_outcome::unclear && outcome != command_outcome::no_contact;
        sent.outcome = outcome;
        sent.unanswered = answered ? 0 : sent.unanswered + 1;
    }
}

const sent_command* assembly_history::find(const std::string& vm, command_kind kind,
                                           std::uint64_t epoch) const
{
    const auto found = commands_.find({vm, kind, epoch});
    return found == commands_.end() ? nullptr : &found->second;
}

bool assembly_history::sent_since(const std::string& vm, command_kind kind, time_point time) const
{
    for (auto sent = commands_.lower_bound({vm, kind, 0});
         sent != commands_.end() && std::get<0>(sent->first) == vm &&
         std::get<command_kind>(sent->first) == kind;
         ++sent) {
        if (sent->second.at >= time) {
            return true;
        }
    }
    return false;
}

std::vector<std::pair<std::string, sent_command>>
assembly_history::loads_since(time_point time) const
{
    std::vector<std::pair<std::string, sent_command>> loads;
    for (const auto& [key, sent] : commands_) {
        if (std::get<command_kind>(key) == command_kind::stage && sent.at >= time) {
            loads.emplace_back(std::get<0>(key), sent);
        }
    }
    return loads;
}

void assembly_history::note_probe_sent(const std::string& vm, time_point now)
{
    probes_[vm].last_at = now;
}

void assembly_history::note_probe_outcome(const std::string& vm, probe_outcome outcome,
                                          time_point now)
{
    probe_state& probe = probes_[vm];
    if (outcome == probe_outcome::answered) {
        probe.answered_at = now;
        probe.failures = 0;
        probe.refused = false;
        return;
    }
    if (probe.failures == 0) {
        probe.first_failure_at = now;
    }
    ++probe.failures;
    probe.last_failure_at = now;
    probe.refused = outcome == probe_outcome::refused;
}

const probe_state* assembly_history::find_probe(const std::string& vm) const
{
    const auto found = probes_.find(vm);
    return found == probes_.end() ? nullptr : &found->second;
}

const lost_head* assembly_history::find_lost_head(std::uint64_t epoch) const
{
    const auto found = lost_heads_.find(epoch);
    return found == lost_heads_.end() ? nullptr : &found->second;
}

void assembly_history::erase_older_than(time_point time)
{
    std::erase_if(commands_, [time](const auto& entry) { return entry.second.at < time; });
    std::erase_if(probes_, [time](const auto& entry) { return entry.second.last_at < time; });
    std::erase_if(lost_heads_, [time](const auto& entry) { return entry.second.since < time; });
    std::erase_if(closed_, [time](const auto& entry) { return entry.second < time; });
}

} // namespace chervildyke
