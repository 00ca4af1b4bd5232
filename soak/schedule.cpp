/** \file
 * Implements the drawing of schedules.
 */
#include "soak/schedule.h"

#include <algorithm>
#include <array>

#include "base/random.h"

namespace chervildyke::soak {

namespace {

/** How faults of one kind are drawn and printed. */
struct fault_kind_info {
    fault_kind kind;
    const char* name;
    std::uint32_t weight; // How often it is drawn relative to the others.
    bool has_length;      // False for faults that take effect at one moment.
    bool planned_operation;
};

constexpr std::array<fault_kind_info, 25> fault_kinds = {{
    {fault_kind::node_killed, "node_killed", 4, false, false},
    {fault_kind::node_stopped, "node_stopped", 4, false, true},
    {fault_kind::node_frozen, "node_frozen", 3, true, false},
    {fault_kind::node_reloaded, "node_reloaded", 2, false, true},
    {fault_kind::all_nodes_killed, "all_nodes_killed", 1, false, false},
    {fault_kind::link_slow, "link_slow", 2, true, false},
    {fault_kind::link_reset, "link_reset", 3, false, false},
    {fault_kind::link_cut_forward, "link_cut_forward", 2, true, false},
    {fault_kind::link_cut_backward, "link_cut_backward", 2, true, false},
    {fault_kind::link_silent, "link_silent", 3, false, false},
    {fault_kind::server_crashed, "server_crashed", 5, false, false},
    {fault_kind::server_leaves, "server_leaves", 3, false, true},
    {fault_kind::server_cut_from_store, "server_cut_from_store", 2, false, false},
    {fault_kind::server_slow, "server_slow", 1, true, false},
    {fault_kind::server_fails, "server_fails", 2, true, false},
    {fault_kind::server_loses_answers, "server_loses_answers", 2, true, false},
    {fault_kind::server_breaks_off, "server_breaks_off", 2, true, false},
    {fault_kind::orders_late, "orders_late", 2, true, false},
    {fault_kind::store_down, "store_down", 2, true, false},
    {fault_kind::store_slow, "store_slow", 1, true, false},
    {fault_kind::store_loses_answers, "store_loses_answers", 2, true, false},
    {fault_kind::store_rejects_node, "store_rejects_node", 2, true, false},
    {fault_kind::store_forgets, "store_forgets", 2, false, false},
    {fault_kind::configuration_changed, "configuration_changed", 4, false, true},
    {fault_kind::key_revoked, "key_revoked", 2, false, true},
}};

constexpr std::size_t link_kind_count = 3;
constexpr std::uint64_t min_faults = 6;
constexpr std::uint64_t fault_limit = 18; // A schedule has fewer faults.
constexpr std::uint64_t min_length_ms = 300;
constexpr std::uint64_t length_limit_ms = 6'000;      // Faults are shorter.
constexpr double follow_up_probability = 0.3;         // That a fault starts soon after another.
constexpr std::uint64_t follow_up_gap_limit_ms = 400; // It starts earlier.

const fault_kind_info& info_of(fault_kind kind)
{
    return *std::find_if(fault_kinds.begin(), fault_kinds.end(),
                         [kind](const fault_kind_info& info) { return info.kind == kind; });
}

const fault_kind_info& draw_kind(const random_source& random)
{
    std::uint32_t total = 0;
    for (const fault_kind_info& info : fault_kinds) {
        total += info.weight;
    }
    std::uint64_t remaining = random_below(random, total);
    for (const fault_kind_info& info : fault_kinds) {
        if (remaining < info.weight) {
            return info;
        }
        remaining -= info.weight;
    }
    return fault_kinds.back();
}

std::chrono::milliseconds draw_ms(const random_source& random, std::uint64_t from, std::uint64_t to)
{
    return std::chrono::milliseconds(from + random_below(random, to - from));
}

} // namespace

bool is_planned_operation(fault_kind kind)
{
    return info_of(kind).planned_operation;
}

std::string scheduled_fault::to_string() const
{
    const std::array<const char*, link_kind_count> link_names = {"callers to node", "node to store",
                                                                 "to server"};
    std::string text = info_of(kind).name;
    if (text.starts_with("link")) {
        text += std::string(" (") + link_names[static_cast<std::size_t>(link)] + ")";
    }
    return text + " target " + std::to_string(target % 1000) + " for " +
           std::to_string(length / 1ms) + " ms";
}

std::vector<scheduled_fault> draw_schedule(std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed);
    const std::uint64_t count = min_faults + random_below(random, fault_limit - min_faults);
    const auto span_ms = static_cast<std::uint64_t>(span / 1ms);
    std::vector<scheduled_fault> faults;
    for (std::uint64_t i = 0; i < count; ++i) {
        scheduled_fault fault;
        const bool follows_another =
            !faults.empty() && random_fraction(random) < follow_up_probability;
        fault.start = draw_ms(random, 0, span_ms);
        if (follows_another) {
            const std::size_t earlier = random_below(random, faults.size());
            const duration gap = draw_ms(random, 0, follow_up_gap_limit_ms);
            fault.start = std::min<duration>(faults[earlier].start + gap, span);
        }
        const fault_kind_info& info = draw_kind(random);
        fault.kind = info.kind;
        fault.length =
            info.has_length ? draw_ms(random, min_length_ms, length_limit_ms) : duration::zero();
        fault.link = static_cast<link_kind>(random_below(random, link_kind_count));
        fault.target = random();
        faults.push_back(fault);
    }
    std::sort(faults.begin(), faults.end(),
              [](const scheduled_fault& a, const scheduled_fault& b) { return a.start < b.start; });
    return faults;
}

} // namespace chervildyke::soak
