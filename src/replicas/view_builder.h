/** \file
 * Defines build_view, which builds the routing view that entries follow.
 */
#pragma once

#include <string>
#include <vector>

#include "control_api.pb.h"
#include "journal/fleet_state.h"
#include "replicas/observed_fleet.h"

namespace chervildyke {

/** What a view contains besides the state and the reports. */
struct view_context {
    std::string control; // The control that builds the view.
    bool ready = false;  // The control knows the journal and the replicas' VMs.
    watch_bounds bounds;
    std::vector<schema::entry_view> entries;
    std::vector<std::string> teams; // The teams to include; all if empty.
};

/** Builds the routing view. A replica is serving in it only if it is serving in the journal and
 * every member has freshly reported that it is ready in this replica and is not leaving.
 */
schema::routing_view build_view(const fleet_state& state, const observed_fleet& fleet,
                                const view_context& context, time_point now);

} // namespace chervildyke
