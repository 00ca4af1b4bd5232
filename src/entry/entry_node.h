/** \file
 * Defines entry_node, the data plane of one entry VM.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "entry/call_context.h"
#include "entry/completion_request.h"
#include "entry/control_link.h"
#include "entry/member_check.h"
#include "entry/tenant_keys.h"
#include "entry/view_follower.h"
#include "settings.pb.h"

namespace chervildyke {

/** Tells callers which entries to use, takes their calls and answers them. */
class entry_node {
  public:
    /** \param settings checked already; zero values are replaced by defaults.
     * \param random gives ids and choices.
     */
    entry_node(boost::asio::any_io_executor executor, const schema::entry_settings& settings,
               const random_source& random);
    ~entry_node();
    entry_node(const entry_node&) = delete;
    entry_node& operator=(const entry_node&) = delete;

    /** Starts to listen and to follow the controls.
     * \return false with last_reason() set when the address can't be had.
     */
    bool start();
    const std::string& last_reason() const { return server_.last_reason(); }

    /** Stops to be offered to callers, and completes once no call is in progress.
     * \return false when calls were still in progress after the drain timeout.
     */
    boost::asio::awaitable<bool> drain();

    /** The hooks of calls that run at most once; set before start(). */
    call_guard& guard() { return context_->guard; }
    service_route on_service_call;

    control_link& controls() { return link_; }
    call_context& context() { return *context_; }
    const std::string& incarnation() const { return incarnation_; }
    std::uint16_t port() const { return server_.port(); }

    /** Takes a view as if a control had sent it. */
    bool offer_view(routing_view_ptr view) { return follower_.offer(std::move(view)); }

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> route(http_exchange& exchange);
    boost::asio::awaitable<void> serve_call(http_exchange& exchange);
    boost::asio::awaitable<void> serve_completion(http_exchange& exchange, call_kind kind,
                                                  caller who, routing_view_ptr view);
    http_reply answer_get(const http_request& request);
    http_reply list_models(const http_request& request);
    schema::entry_load load() const;
    schema::entry_status status() const;
    bool ready() const;
    bool view_is_stale() const;
    void add_gauges();

    boost::asio::any_io_executor executor_;
    schema::entry_settings settings_;
    std::string incarnation_;
    std::string address_; // ip:port for callers.
    std::shared_ptr<call_context> context_;
    tenant_keys keys_;
    control_link link_;
    view_follower follower_;
    member_check checks_;
    bool draining_ = false;
    http_server server_;
};

} // namespace chervildyke
