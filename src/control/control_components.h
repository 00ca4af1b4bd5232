/** \file
 * Defines the components of a control node and the hooks that connect them.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/random.h"
#include "control/control_client_cache.h"
#include "control/control_http.h"
#include "control/control_node.h"
#include "control/control_options.h"
#include "control/entry_status_poller.h"
#include "control/node_status.h"
#include "control/view_publisher.h"
#include "external/http_external.h"
#include "journal/journal_node.h"
#include "members/member_table.h"
#include "members/prober.h"
#include "orders/order_coordinator.h"
#include "replicas/replica_reconciler.h"
#include "replicas/report_table.h"
#include "replicas/vm_watcher.h"
#include "rpc/control_server.h"

namespace chervildyke {

/** All components of one control node. The constructor connects them by hooks; no task runs before
 * start().
 */
struct control_node::components {
    components(boost::asio::any_io_executor executor_in, schema::control_settings settings_in);

    bool start();
    boost::asio::awaitable<void> stop();

    boost::asio::any_io_executor executor;
    schema::control_settings settings;
    random_source random;
    control_options options;
    std::shared_ptr<http_client> http;
    control_client_cache control_clients;
    entry_status_poller entry_poller;
    journal_node journal;
    member_table members;
    prober failure_detector;
    report_table reports;
    vm_watcher watcher;
    replica_reconciler reconciler;
    order_coordinator coordinator;
    view_publisher publisher;
    control_server rpc_server;
    http_server http_endpoints;
    std::string last_reason;
    bool stopping = false;

    /** Since when too many engine reports are missing; empty while enough have arrived. */
    std::optional<time_point> reports_missing_since;

    /** When the VM list and the journal state were first both known. */
    std::optional<time_point> inputs_known_since;

  private:
    journal_hooks make_journal_hooks();
    prober_hooks make_prober_hooks();
    vm_watcher_hooks make_watcher_hooks();
    replica_reconciler_hooks make_reconciler_hooks();
    order_coordinator_hooks make_coordinator_hooks();
    control_rpc_hooks make_rpc_hooks();
    control_http_hooks make_http_hooks();

    /** \return what runs on the VMs of a pool, according to the current configuration. */
    vm_role role_of_pool(const std::string& pool) const;

    /** Whether this node is not stopping and knows the fleet completely and recently enough to plan
     * repairs.
     */
    bool can_act();

    /** Whether reports of nearly all listed engines have arrived, or the detection bound has passed
     * while too many were missing. Control nodes whose reports differ make conflicting plans: one
     * assigns VMs that the plan of another one uses.
     */
    bool has_most_engine_reports();

    /** Whether a report of every VM of the live replicas has arrived, or the detection bound has
     * passed since the VM list and the journal state were known. A view built before that would
     * show healthy replicas as broken.
     */
    bool has_replica_reports();

    /** ip:port of the control nodes that the settings and the VM list name. */
    std::vector<std::string> control_addresses() const;

    /** The entries that the VM list shows, with their state as the members report it. */
    std::vector<schema::entry_view> known_entries() const;

    /** Sets the calls in flight of an entry from the state of its VM's member, and marks the entry
     * as draining when the member is draining, down or left.
     */
    void merge_member_state(schema::entry_view& view) const;

    /** Builds the routing view that entries receive. */
    schema::routing_view make_view();

    /** \return the client of the member with the highest journal offset; the client of a random
     * seed while no state of another member has arrived; null when there is no seed either.
     */
    std::shared_ptr<control_client> most_advanced_peer();

    /** \return the client of a member by its VM; null for an unknown member. */
    std::shared_ptr<control_client> find_peer(const std::string& vm);

    /** Updates this node's own state in the member table at a fixed interval. */
    boost::asio::awaitable<void> publish_self_state();

    /** Evicts the clients of control nodes that are gone, since VMs are replaced all the time. */
    boost::asio::awaitable<void> evict_unused_clients();

    status_sources make_status_sources() const;
};

} // namespace chervildyke
