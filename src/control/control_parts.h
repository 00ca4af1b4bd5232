/** \file
 * Defines the parts of a control node and the hooks between them.
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
#include "control/control_http.h"
#include "control/control_node.h"
#include "control/control_options.h"
#include "control/entry_watch.h"
#include "control/node_status.h"
#include "control/peer_directory.h"
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

/** All parts of one control. Construction wires the hooks; nothing runs before start(). */
struct control_node::parts {
    parts(boost::asio::any_io_executor executor_in, schema::control_settings settings_in);

    bool start();
    boost::asio::awaitable<void> stop();

    boost::asio::any_io_executor executor;
    schema::control_settings settings;
    random_source random;
    control_options options;
    std::shared_ptr<http_client> http;
    peer_directory peers;
    entry_watch entry;
    journal_node journal;
    member_table members;
    prober probes;
    report_table table;
    vm_watcher watcher;
    replica_reconciler keeper;
    order_coordinator desk;
    view_publisher views;
    control_server rpc;
    http_server pages;
    std::string last_reason;
    bool stopping = false;
    std::optional<time_point> unheard_since; // Many listed engines were not heard since.
    std::optional<time_point> watches_since; // The VM list and the state are both known since.

  private:
    journal_hooks make_journal_hooks();
    prober_hooks make_prober_hooks();
    vm_watcher_hooks make_watcher_hooks();
    replica_reconciler_hooks make_keeper_hooks();
    order_coordinator_hooks make_desk_hooks();
    control_hooks make_rpc_hooks();
    control_http_hooks make_page_hooks();

    vm_role role_of_pool(const std::string& pool) const;
    bool can_act();

    /** Whether nearly all listed engines were heard, or had the time to answer. Controls that plan
     * on different knowledge take VMs from each other's plans.
     */
    bool knows_most_engines();

    /** Whether every VM of a live replica was heard, or had the time to answer. Before, a view of
     * this control would show replicas as broken that are not.
     */
    bool knows_replicas();
    std::vector<std::string> control_addresses() const;
    std::vector<schema::entry_view> known_entries() const;
    void add_member_news(schema::entry_view& shown) const;
    schema::routing_view current_view();
    std::shared_ptr<control_client> advanced_peer();
    std::shared_ptr<control_client> peer_of(const std::string& vm);
    boost::asio::awaitable<void> keep_self_news();

    /** Forgets clients of controls that are gone; VMs are replaced all the time. */
    boost::asio::awaitable<void> forget_gone_peers();
    status_sources sources() const;
};

} // namespace chervildyke
