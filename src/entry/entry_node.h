/** \file
 * Defines entry_node, which serves callers on one entry VM.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "entry/call_context.h"
#include "entry/completion_request.h"
#include "entry/failover_control_client.h"
#include "entry/health_checker.h"
#include "entry/tenant_authenticator.h"
#include "entry/view_watcher.h"
#include "settings.pb.h"

namespace chervildyke {

/** Serves HTTP: the calls of callers, the list of entries, and status and metrics. */
class entry_node {
  public:
    /** \param settings validated already; zero values are replaced by defaults.
     * \param random used for ids, keys and load balancing.
     */
    entry_node(boost::asio::any_io_executor executor, const schema::entry_settings& settings,
               const random_source& random);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Starts to listen, to watch the controls and to check replicas.
     * \return false with last_reason() set if it can't listen on the address.
     */
    bool start();
    const std::string& last_reason() const { return server_.last_reason(); }

    /** Leaves the list of entries, stops accepting connections after a notice period, and waits
     * until no call is in progress.
     * \return false if calls were still in progress after the drain timeout.
     */
    boost::asio::awaitable<bool> drain();

    /** The hooks of calls that run at most once; to be set before start(). */
    at_most_once_hooks& at_most_once() { return context_->at_most_once; }
    /** Handles service calls; to be set before start(). */
    service_call_handler on_service_call;

    failover_control_client& controls() { return controls_; }
    call_context& context() { return *context_; }
    const std::string& incarnation() const { return incarnation_; }
    std::uint16_t port() const { return server_.port(); }

    /** Processes a view as if a control had sent it. See view_watcher::offer(). */
    bool offer_view(routing_view_ptr view) { return view_watcher_.offer(std::move(view)); }

  private:
    boost::asio::awaitable<void> handle_request(http_exchange& exchange);
    boost::asio::awaitable<void> route(http_exchange& exchange);
    boost::asio::awaitable<void> handle_post(http_exchange& exchange);
    boost::asio::awaitable<void> handle_completion(http_exchange& exchange, completion_kind kind,
                                                   caller_info caller, routing_view_ptr view);
    http_reply handle_get(const http_request& request);
    http_reply list_models(const http_request& request);
    schema::entry_load load() const;
    schema::entry_status status() const;
    bool ready() const;
    bool view_is_stale() const;
    void register_gauges();

    boost::asio::any_io_executor executor_;
    schema::entry_settings settings_;
    std::string incarnation_;
    std::string address_; // ip:port for callers.
    std::shared_ptr<call_context> context_;
    tenant_authenticator authenticator_;
    failover_control_client controls_;
    view_watcher view_watcher_;
    health_checker health_checker_;
    bool draining_ = false;
    http_server server_;
};

} // namespace chervildyke
