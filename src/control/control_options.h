/** \file
 * Defines the defaults of a control's settings and their typed form.
 */
#pragma once

#include "journal/journal_node.h"
#include "orders/order_coordinator.h"
#include "replicas/replica_reconciler.h"
#include "replicas/vm_watcher.h"
#include "settings.pb.h"

namespace chervildyke {

/** The options of each part, as the settings and the defaults give them. */
struct control_options {
    std::string self;        // This control's name among the members: its VM.
    std::string incarnation; // New for each start.
    duration view_heartbeat = 500ms;
    watch_bounds bounds;
    journal_options journal;
    vm_watcher_options watcher;
    replica_reconciler_options keeper;
    order_coordinator_settings desk;
};

/** \param settings checked already.
 * \param incarnation a name that no other start has.
 */
control_options make_control_options(const schema::control_settings& settings,
                                     const std::string& incarnation);

} // namespace chervildyke
