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
    bool excuses_nothing;
};

// Kinds without a weight are drawn on their own, so that the other faults of a seed stay the same.
constexpr std::array<fault_kind_info, 30> fault_kinds = {{
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
    {fault_kind::server_endless, "server_endless", 0, true, false},
    {fault_kind::server_silent, "server_silent", 0, true, true},
    {fault_kind::poison_prompts, "poison_prompts", 0, true, false},
    {fault_kind::store_restored, "store_restored", 0, true, false},
    {fault_kind::server_isolated, "server_isolated", 0, true, false},
}};

constexpr std::size_t link_kind_count = 3;
constexpr std::uint64_t min_faults = 6;
constexpr std::uint64_t fault_limit = 18; // A schedule has fewer faults.
constexpr std::uint64_t min_length_ms = 300;
constexpr std::uint64_t length_limit_ms = 6'000;      // Faults are shorter.
constexpr double follow_up_probability = 0.3;         // That a fault starts soon after another.
constexpr std::uint64_t follow_up_gap_limit_ms = 400; // It starts earlier.
constexpr std::uint64_t silence_seed_offset = 0x5117'0000'0000'0000;
constexpr std::uint64_t poison_seed_offset = 0x9015'0000'0000'0000;
constexpr std::uint64_t restore_seed_offset = 0xe2a5'0000'0000'0000;
constexpr std::uint64_t endless_seed_offset = 0xe4d1'0000'0000'0000;
constexpr std::uint64_t isolation_seed_offset = 0x1501'0000'0000'0000;
constexpr std::uint64_t missed_seed_offset = 0x3155'0000'0000'0000;
constexpr std::uint64_t max_missed_times = 2; // One key is revoked in each.
constexpr int missed_changes = 8;
constexpr std::uint64_t min_rejection_ms = 7'000; // Longer than a revoked key is accepted.
constexpr std::uint64_t rejection_limit_ms = 9'000;
constexpr std::uint64_t min_missed_lead_ms = 300; // From the rejection to the revocation.
constexpr std::uint64_t missed_lead_limit_ms = 2'500;
constexpr std::uint64_t copies_limit = 1U << 20U;
constexpr std::uint64_t rejection_overlap_limit_ms = 600; // It ends later than a restore's outage.
constexpr std::uint64_t max_restores = 3;
constexpr std::uint64_t min_isolations = 2;
constexpr std::uint64_t isolation_limit = 6;                 // A schedule has fewer of them.
constexpr std::uint64_t min_isolation_ms = 4'000;            // An entry expires meanwhile.
constexpr std::uint64_t isolation_length_limit_ms = 10'000;  // Each is shorter.
constexpr std::uint64_t late_commands_lead_limit_ms = 3'000; // They begin less than this before it.
constexpr std::uint64_t min_endless = 2;
constexpr std::uint64_t endless_limit = 6; // A schedule has fewer servers that send without end.
constexpr int lost_changes = 3;            // Before each restore.
constexpr std::uint64_t lost_change_limit_ms = 4'000; // Each comes less than this before it.
constexpr std::uint64_t outage_limit_ms = 2'500;      // The store comes back earlier.
constexpr std::uint64_t min_silence_ms = 700;
constexpr std::uint64_t silence_limit_ms = 1'501;    // Silences are shorter.
constexpr double silence_beside_probability = 0.6;   // That one starts near a planned operation.
constexpr std::uint64_t silence_lead_limit_ms = 800; // It starts less than this before it.
constexpr std::uint64_t silences_limit = 5;          // Fewer start at other times.

const fault_kind_info& info_of(fault_kind kind)
{
    return *std::find_if(fault_kinds.begin(), fault_kinds.end(),
                         [kind](const fault_kind_info& info) { return info.kind == kind; });
}

const fault_kind_info& draw_kind(const random_source& random, const schedule_options& options)
{
    const auto weight_of = [&options](const fault_kind_info& info) {
        return !options.excusing_nothing_only || info.excuses_nothing ? info.weight : 0;
    };
    std::uint32_t total = 0;
    for (const fault_kind_info& info : fault_kinds) {
        total += weight_of(info);
    }
    std::uint64_t remaining = random_below(random, total);
    for (const fault_kind_info& info : fault_kinds) {
        if (remaining < weight_of(info)) {
            return info;
        }
        remaining -= weight_of(info);
    }
    return fault_kinds.back();
}

std::chrono::milliseconds draw_ms(const random_source& random, std::uint64_t from, std::uint64_t to)
{
    return std::chrono::milliseconds(from + random_below(random, to - from));
}

scheduled_fault draw_silence(const random_source& random, duration start)
{
    scheduled_fault silence;
    silence.kind = fault_kind::server_silent;
    silence.start = start;
    silence.length = draw_ms(random, min_silence_ms, silence_limit_ms);
    silence.target = random();
    return silence;
}

/** Adds a time of calls with poison prompts, from the first quarter of the span to the last one. */
void add_poison(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed ^ poison_seed_offset);
    const auto quarter_ms = static_cast<std::uint64_t>(span / 1ms) / 4;
    scheduled_fault poison;
    poison.kind = fault_kind::poison_prompts;
    poison.start = draw_ms(random, 0, quarter_ms);
    poison.length = draw_ms(random, 3 * quarter_ms, 4 * quarter_ms) - poison.start;
    faults.push_back(poison);
}

/** Adds changes of the configuration shortly before a restore, which the older copy lacks. */
void add_lost_changes(std::vector<scheduled_fault>& faults, const random_source& random,
                      duration restore_start)
{
    for (int i = 0; i < lost_changes; ++i) {
        scheduled_fault change;
        change.kind = fault_kind::configuration_changed;
        change.start = std::max<duration>(restore_start - draw_ms(random, 0, lost_change_limit_ms),
                                          duration::zero());
        change.target = random();
        faults.push_back(change);
    }
}

/** Adds restores of the store, some of them soon after another one. */
void add_restores(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed ^ restore_seed_offset);
    const std::uint64_t count = 1 + random_below(random, max_restores);
    duration last_end{};
    for (std::uint64_t i = 0; i < count; ++i) {
        scheduled_fault restore;
        restore.kind = fault_kind::store_restored;
        restore.start = draw_ms(random, 0, static_cast<std::uint64_t>(span / 1ms));
        if (i > 0 && random_fraction(random) < follow_up_probability) {
            restore.start = last_end + draw_ms(random, 0, follow_up_gap_limit_ms);
        }
        restore.length = draw_ms(random, min_length_ms, outage_limit_ms);
        restore.target = random();
        last_end = restore.start + restore.length;
        add_lost_changes(faults, random, restore.start);
        faults.push_back(restore);
    }
}

/** Adds times in which the store rejects a node while the configuration changes and a key is
 * revoked.
 *
 * \param restores adds a restore of the store near the end of each.
 */
void add_missed_changes(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span,
                        bool restores)
{
    const random_source random = seeded_random(seed ^ missed_seed_offset);
    const std::uint64_t count = 1 + random_below(random, max_missed_times);
    for (std::uint64_t i = 0; i < count; ++i) {
        scheduled_fault rejection;
        rejection.kind = fault_kind::store_rejects_node;
        rejection.start = draw_ms(random, 0, static_cast<std::uint64_t>(span / 1ms));
        rejection.length = draw_ms(random, min_rejection_ms, rejection_limit_ms);
        rejection.target = random();
        scheduled_fault revocation;
        revocation.kind = fault_kind::key_revoked;
        revocation.start =
            rejection.start + draw_ms(random, min_missed_lead_ms, missed_lead_limit_ms);
        for (int change = 0; change < missed_changes; ++change) {
            scheduled_fault missed;
            missed.kind = fault_kind::configuration_changed;
            missed.start = rejection.start + draw_ms(random, 0, min_rejection_ms);
            faults.push_back(missed);
        }
        if (restores) {
            scheduled_fault restore;
            restore.kind = fault_kind::store_restored;
            restore.length = draw_ms(random, min_length_ms, 2 * min_length_ms);
            restore.start = rejection.start + rejection.length - restore.length -
                            draw_ms(random, 0, rejection_overlap_limit_ms);
            // The copy is older than the rejection.
            restore.target = random_below(random, copies_limit) * (copy_age_spread / 1ms) +
                             rejection_limit_ms +
                             random_below(random, (copy_age_spread / 1ms) - rejection_limit_ms);
            faults.push_back(restore);
        }
        faults.push_back(rejection);
        faults.push_back(revocation);
    }
}

/** Adds times in which the answers of a server go on without end. */
void add_endless(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed ^ endless_seed_offset);
    const std::uint64_t count = min_endless + random_below(random, endless_limit - min_endless);
    for (std::uint64_t i = 0; i < count; ++i) {
        scheduled_fault endless;
        endless.kind = fault_kind::server_endless;
        endless.start = draw_ms(random, 0, static_cast<std::uint64_t>(span / 1ms));
        endless.length = draw_ms(random, min_length_ms, length_limit_ms);
        endless.target = random();
        faults.push_back(endless);
    }
}

/** Adds servers that reach nobody for a while, some of them while commands are executed late. */
void add_isolations(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed ^ isolation_seed_offset);
    const std::uint64_t count =
        min_isolations + random_below(random, isolation_limit - min_isolations);
    for (std::uint64_t i = 0; i < count; ++i) {
        scheduled_fault isolation;
        isolation.kind = fault_kind::server_isolated;
        isolation.start = draw_ms(random, 0, static_cast<std::uint64_t>(span / 1ms));
        isolation.length = draw_ms(random, min_isolation_ms, isolation_length_limit_ms);
        isolation.target = random();
        faults.push_back(isolation);
        scheduled_fault late;
        late.kind = fault_kind::orders_late;
        late.start = std::max<duration>(
            isolation.start - draw_ms(random, 0, late_commands_lead_limit_ms), duration::zero());
        late.length = isolation.length;
        late.target = random();
        if (random_fraction(random) < follow_up_probability) {
            faults.push_back(late);
        }
    }
}

/** Adds silences of servers around the planned operations of a schedule and at other times. */
void add_silences(std::vector<scheduled_fault>& faults, std::uint64_t seed, duration span)
{
    const random_source random = seeded_random(seed ^ silence_seed_offset);
    std::vector<scheduled_fault> silences;
    for (const scheduled_fault& fault : faults) {
        if (excuses_nothing(fault.kind) && random_fraction(random) < silence_beside_probability) {
            const duration earliest =
                fault.start - std::chrono::milliseconds(silence_lead_limit_ms);
            const duration start =
                earliest + draw_ms(random, 0, silence_lead_limit_ms + follow_up_gap_limit_ms);
            silences.push_back(
                draw_silence(random, std::clamp<duration>(start, duration::zero(), span)));
        }
    }
    const std::uint64_t count = random_below(random, silences_limit);
    for (std::uint64_t i = 0; i < count; ++i) {
        const duration start = draw_ms(random, 0, static_cast<std::uint64_t>(span / 1ms));
        silences.push_back(draw_silence(random, start));
    }
    faults.insert(faults.end(), silences.begin(), silences.end());
}

} // namespace

bool excuses_nothing(fault_kind kind)
{
    return info_of(kind).excuses_nothing;
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

std::vector<scheduled_fault> draw_schedule(std::uint64_t seed, duration span,
                                           const schedule_options& options)
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
        const fault_kind_info& info = draw_kind(random, options);
        fault.kind = info.kind;
        fault.length =
            info.has_length ? draw_ms(random, min_length_ms, length_limit_ms) : duration::zero();
        fault.link = static_cast<link_kind>(random_below(random, link_kind_count));
        fault.target = random();
        faults.push_back(fault);
    }
    add_silences(faults, seed, span);
    if (options.poison) {
        add_poison(faults, seed, span);
    }
    if (options.restores) {
        add_restores(faults, seed, span);
    }
    if (options.endless) {
        add_endless(faults, seed, span);
    }
    if (options.isolations) {
        add_isolations(faults, seed, span);
    }
    if (options.missed_changes) {
        add_missed_changes(faults, seed, span, options.restores);
    }
    std::sort(faults.begin(), faults.end(),
              [](const scheduled_fault& a, const scheduled_fault& b) { return a.start < b.start; });
    return faults;
}

} // namespace chervildyke::soak
