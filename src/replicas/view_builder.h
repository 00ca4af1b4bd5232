/** \file
 * Defines how the routing view that entries follow is built.
 */
#pragma once

#include <string>
#include <vector>

#include "control_api.pb.h"
#include "journal/fleet_state.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

/** What a view says beside the state and the reports. */
struct view_context {
    std::string control; // The name of the control that builds it.
    bool ready = false;  // The control's journal is ready.
    watch_bounds bounds;
    std::vector<schema::entry_view> entries;
    std::vector<std::string> teams; // The teams to include; empty means all.
};

/** Builds the view. A replica is shown as serving only when the journal says so and every member
 * freshly reported that it is ready in this replica and is not leaving.
 */
schema::routing_view build_view(const fleet_state& state, const fleet_knowledge& fleet,
                                const view_context& context, time_point now);

} // namespace chervildyke
