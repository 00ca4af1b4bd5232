/** \file
 * Implements assembly_memory.
 */
#include "assembly/assembly_memory.h"

namespace chervildyke {

void assembly_memory::note_sent(const std::string& vm, const replica_order& order, time_point now,
                                bool loads_weights)
{
    if (order.kind == order_kind::join && loads_weights) {
        orders_.erase({vm, order_kind::stage, 0});
    }
    orders_[{vm, order.kind, order.epoch}] = {now, order.model, std::nullopt};
}

void assembly_memory::note_outcome(const std::string& vm, const replica_order& order,
                                   order_outcome outcome)
{
    const auto found = orders_.find({vm, order.kind, order.epoch});
    if (found != orders_.end()) {
        found->second.outcome = outcome;
    }
}

const sent_order* assembly_memory::find(const std::string& vm, order_kind kind,
                                        std::uint64_t epoch) const
{
    const auto found = orders_.find({vm, kind, epoch});
    return found == orders_.end() ? nullptr : &found->second;
}

bool assembly_memory::sent_since(const std::string& vm, order_kind kind, time_point time) const
{
    for (auto sent = orders_.lower_bound({vm, kind, 0});
         sent != orders_.end() && std::get<0>(sent->first) == vm &&
         std::get<order_kind>(sent->first) == kind;
         ++sent) {
        if (sent->second.at >= time) {
            return true;
        }
    }
    return false;
}

std::vector<std::pair<std::string, sent_order>> assembly_memory::loads_since(time_point time) const
{
    std::vector<std::pair<std::string, sent_order>> loads;
    for (const auto& [key, sent] : orders_) {
        if (std::get<order_kind>(key) == order_kind::stage && sent.at >= time) {
            loads.emplace_back(std::get<0>(key), sent);
        }
    }
    return loads;
}

void assembly_memory::note_probe_sent(const std::string& vm, time_point now)
{
    probes_[vm].last_at = now;
}

void assembly_memory::note_probe(const std::string& vm, probe_outcome outcome, time_point now)
{
    probe_memory& probe = probes_[vm];
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
    probe.refused = outcome == probe_outcome::refused;
}

const probe_memory* assembly_memory::probe_of(const std::string& vm) const
{
    const auto found = probes_.find(vm);
    return found == probes_.end() ? nullptr : &found->second;
}

const lost_head* assembly_memory::lost_head_of(std::uint64_t epoch) const
{
    const auto found = lost_heads_.find(epoch);
    return found == lost_heads_.end() ? nullptr : &found->second;
}

void assembly_memory::forget_before(time_point time)
{
    std::erase_if(orders_, [time](const auto& entry) { return entry.second.at < time; });
    std::erase_if(probes_, [time](const auto& entry) { return entry.second.last_at < time; });
    std::erase_if(lost_heads_, [time](const auto& entry) { return entry.second.since < time; });
}

} // namespace chervildyke
