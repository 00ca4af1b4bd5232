/** \file
 * Implements make_fleet_view_settings.
 */
#include "relay/fleet_view_settings.h"

#include <algorithm>

#include "base/milliseconds.h"
#include "relay/shared_reading.h"

namespace chervildyke {

namespace {

// Interval between reads of the backend list, as a fraction of the time for which leaving servers
// still take calls.
constexpr double backend_interval_share = 0.6;

// Part of the time in which a change must be in force that is left after the longest poll: for the
// answer of the log, and for calls that are in flight.
constexpr duration apply_reserve = 600ms;

constexpr duration min_poll_wait = 400ms; // Shorter polls would be too many calls on the log.

/** \return the longest poll of a topic whose changes must be in force within a time; the usual
 * wait if that is shorter or no time is set.
 */
duration longest_poll(duration apply_time, duration usual)
{
    if (apply_time <= duration::zero()) {
        return usual;
    }
    return std::clamp<duration>(apply_time - apply_reserve, min_poll_wait, usual);
}

} // namespace

fleet_view_settings make_fleet_view_settings(const schema::relay_settings& node)
{
    const duration drain_time = from_ms(node.backend_drain_ms());
    fleet_view_settings made;
    made.configuration_wait =
        longest_poll(from_ms(node.configuration_apply_ms()), made.configuration_wait);
    made.leader_configuration_wait =
        std::min(made.leader_configuration_wait, made.configuration_wait);
    made.backend_wait = longest_poll(drain_time, made.backend_wait);
    made.backend_interval =
        std::chrono::duration_cast<duration>(drain_time * backend_interval_share);
    made.max_shared_configuration_age = shared_configuration_age(node);
    return made;
}

} // namespace chervildyke
