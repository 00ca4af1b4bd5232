/** \file
 * Implements the drawing of faults.
 */
#include "soak/schedule.h"

#include <algorithm>
#include <array>

#include "base/random.h"

namespace chervildyke::soak {

namespace {

struct kind_row {
    fault_kind kind;
    const char* name;
    std::uint32_t weight; // How often it is drawn, beside the others.
    bool lasts;
    bool planned;
};

constexpr std::array<kind_row, 25> kinds = {{
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

constexpr std::uint64_t fewest_faults = 6;
constexpr std::uint64_t most_faults = 18;
constexpr std::uint64_t shortest_ms = 300; // Of a fault that lasts.
constexpr std::uint64_t longest_ms = 6'000;
constexpr double in_series = 0.3; // The share of faults that come right behind another.
constexpr std::uint64_t series_gap_ms = 400;

const kind_row& row_of(fault_kind kind)
{
    return *std::find_if(kinds.begin(), kinds.end(),
                         [kind](const kind_row& row) { return row.kind == kind; });
}

const kind_row& draw_kind(const random_source& random)
{
    std::uint32_t total = 0;
    for (const kind_row& row : kinds) {
        total += row.weight;
    }
    std::uint64_t left = random_below(random, total);
    for (const kind_row& row : kinds) {
        if (left < row.weight) {
            return row;
        }
        left -= row.weight;
    }
    return kinds.back();
}

std::chrono::milliseconds draw_ms(const random_source& random, std::uint64_t from, std::uint64_t to)
{
    return std::chrono::milliseconds(from + random_below(random, to - from));
}

} // namespace

bool is_planned_work(fault_kind kind)
{
    return row_of(kind).planned;
}

std::string planned_fault::to_string() const
{
    const std::array<const char*, 3> places = {"callers to node", "node to store", "to server"};
    std::string text = row_of(kind).name;
    if (text.starts_with("link")) {
        text += std::string(" (") + places[static_cast<std::size_t>(place)] + ")";
    }
    return text + " target " + std::to_string(target % 1000) + " for " +
           std::to_string(lasts / 1ms) + " ms";
}

std::vector<planned_fault> draw_schedule(std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed);
    const std::uint64_t count = fewest_faults + random_below(random, most_faults - fewest_faults);
    const auto span_ms = static_cast<std::uint64_t>(span / 1ms);
    std::vector<planned_fault> faults;
    for (std::uint64_t i = 0; i < count; ++i) {
        planned_fault fault;
        const bool follows = !faults.empty() && random_fraction(random) < in_series;
        fault.at = draw_ms(random, 0, span_ms);
        if (follows) {
            const std::size_t before = random_below(random, faults.size());
            const duration gap = draw_ms(random, 0, series_gap_ms);
            fault.at = std::min<duration>(faults[before].at + gap, span);
        }
        const kind_row& row = draw_kind(random);
        fault.kind = row.kind;
        fault.lasts = row.lasts ? draw_ms(random, shortest_ms, longest_ms) : duration::zero();
        fault.place = static_cast<link_place>(random_below(random, 3));
        fault.target = random();
        faults.push_back(fault);
    }
    std::sort(faults.begin(), faults.end(),
              [](const planned_fault& a, const planned_fault& b) { return a.at < b.at; });
    return faults;
}

} // namespace chervildyke::soak
