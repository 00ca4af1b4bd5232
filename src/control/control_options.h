/** \file
 * Defines control_options, the typed options of a control node's components.
 */
#pragma once

#include "journal/journal_node.h"
#include "orders/order_coordinator.h"
#include "replicas/replica_reconciler.h"
#include "replicas/vm_watcher.h"
#include "settings.pb.h"

namespace chervildyke {

/** The options of all components: the values of the settings, with defaults for the others. */
struct control_options {
    std::string self;                // The member name of this control node: its VM.
    std::string incarnation;         // Unique to each start of the process.
    duration view_heartbeat = 500ms; // The longest time between two views to one entry.
    watch_bounds bounds;
    journal_options journal;
    vm_watcher_options watcher;
    replica_reconciler_options reconciler;
    order_coordinator_settings coordinator;
};

/** Converts settings to options.
 * \param settings validated settings; zero values are replaced by defaults.
 * \param incarnation a name that is unique to this start of the process.
 */
control_options make_control_options(const schema::control_settings& settings,
                                     const std::string& incarnation);

} // namespace chervildyke
