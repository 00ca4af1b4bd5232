/** \file
 * Defines fleet_view_settings, how often and for how long a node reads the topics of the shared
 * log.
 */
#pragma once

#include "base/clock.h"
#include "fleet/shared_log.h"
#include "node.pb.h"

namespace chervildyke {

struct fleet_view_settings {
    // Long-poll time of one read of the configuration; each read that ends resets the age of the
    // configuration. The log may answer a change only at the end of the poll, so it is shorter than
    // the time in which a configuration must be in force. A dead connection is detected 0.7 s
    // later, before keys are refused because the configuration is too old.
    duration configuration_wait = 1400ms;

    // The same on the leader. It is shorter because a leader that can't reach the store must
    // step down soon.
    duration leader_configuration_wait = 1200ms;

    // A node for which another node reads the configuration reads it itself once it is older. Zero:
    // each node reads for itself.
    duration max_shared_configuration_age{};

    // Long-poll time of one read of the backend list, which changes seldom. Shorter than the time
    // within which calls to a leaving server must stop, for the same reason.
    duration backend_wait = 1400ms;

    // The list is read once it is older. Less than the time within which calls to a leaving server
    // must stop.
    duration backend_interval = 1s;

    // The leader's long-poll time and the pause between its reads of the list. Other nodes get the
    // list from the leader: it is at most 0.7 s old there and takes 0.5 s to reach 64 nodes.
    duration leader_backend_wait = 500ms;
    duration leader_backend_interval = 200ms;

    // Between two checks of whether the configuration or the list must be read.
    duration list_age_check_interval = 200ms;

    // While the log answers the leader, its messages make the list no older than this: the wait and
    // interval of its reads, and two messages.
    duration max_confirmation_gap = 1s;

    // Replicas that are older are read. The leader reads them every replica_interval.
    duration max_replica_age = 5s;

    // The leader's pause between reads of the list while replicas form; one step of forming takes
    // 200 ms. Also the pause between reads of the configuration before the first is published.
    duration forming_backend_interval = 150ms;

    // Between two checks of the replicas when no peer reports newer records.
    duration replica_interval = 3s;

    // Records that a peer reports having are read after this time unless its next messages bring
    // them.
    duration peer_record_wait = 250ms;

    // The same for records of replicas where another node reads the log for this one.
    duration missing_replica_wait = 1s;

    // How long a record is sent to peers; each of 64 nodes gets two messages in this time.
    duration recent_record_window = 1200ms;

    // From a peer's report of a newer configuration to a read beside the open long poll, which
    // usually ends with the same change by then.
    duration poll_end_spread = 20ms;

    // After a failed read. Each read is a call on the log.
    duration retry_interval = 400ms;

    // From the first read of the list in an era: the time in which backend servers list themselves
    // again if the log was restored.
    duration restored_list_settle_time = log_rewrite_time;
};

/** \return the settings of a node: its long polls are shorter than the times in which a published
 * change must be in force, so that a change whose append does not end an open poll is known in
 * time.
 */
fleet_view_settings make_fleet_view_settings(const schema::relay_settings& node);

} // namespace chervildyke
