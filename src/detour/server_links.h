/** \file
 * Defines server_links, which sends the requests of a node to backend servers, by way of another
 * node while this one is cut off from their service.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "base/metrics.h"
#include "base/random.h"
#include "detour/carrier_choice.h"
#include "fleet/backend_incarnation.h"
#include "routing/service_reach.h"

namespace chervildyke {

/** The backend server to which a request goes. */
struct server_target {
    std::string call_id; // Of the call that the request belongs to, for the log.
    std::string service;
    backend_incarnation server;
    std::string address; // ip:port

    bool operator==(const server_target&) const = default;
};

/** What server_links needs to know of the fleet. */
struct server_link_hooks {
    /** Returns the listed servers of a service. */
    std::function<std::vector<server_target>(const std::string& service)> servers;

    /** Returns the other nodes that are live, with what each can do for the service. */
    std::function<std::vector<carrier_candidate>(const std::string& service)> nodes;

    /** Called when this node has become cut off from a service, or reaches it again; may be empty.
     */
    std::function<void(const std::string& service, bool is_cut_off)> on_change;
};

struct server_link_settings {
    duration connect_timeout = 250ms; // Of a check, and to a carrier.
    duration carrier_holdoff = 500ms; // After a carrier failed; its next datagrams tell why.
    duration carrier_reserve = 10ms;  // Of a request's time, for the way back from the carrier.
    std::size_t max_carriers = 3;     // Tried for one request that none of them has sent.
    duration max_idle_time = 2s;      // Of a connection to a carrier that is used again.
};

class server_links : public std::enable_shared_from_this<server_links> {
  public:
    /** \param self the name of this node. */
    server_links(boost::asio::any_io_executor executor, std::string self,
                 std::shared_ptr<http_client> http, std::shared_ptr<metrics_registry> metrics,
                 random_source random, server_link_hooks hooks, server_link_settings settings = {});

    /** Sends a request and returns once the header of its answer has arrived; like
     * http_client::open(), but by way of another node while this one is cut off from the service.
     * Without such a node it is sent directly.
     */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open(server_target target, http_request request, http_call_options options);

    /** Sends a request directly. Its outcome counts for whether this node is cut off. */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open_directly(server_target target, http_request request, http_call_options options);

    /** Records that a server did not answer another kind of request. */
    void note_failure(const std::string& service, const std::string& server);

    /** Connects to some servers of a service.
     * \return true if none of them accepted: this node may be cut off, and what it has seen of one
     * server proves nothing.
     */
    boost::asio::awaitable<bool> reaches_none(std::string service);

    bool is_cut_off(const std::string& service) const { return reach_.is_cut_off(service); }

    /** \return the services from which this node is cut off. */
    std::vector<std::string> cut_off_services() const { return reach_.cut_off_services(); }

  private:
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open_by_carrier(server_target target, http_request request, http_call_options options);
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    send_to_carrier(carrier_candidate carrier, http_request request, http_call_options options);
    void record_detour(const server_target& target, const carrier_candidate& carrier,
                       const http_result<std::shared_ptr<http_stream>>& opened);
    std::vector<carrier_candidate> carriers(const std::string& service) const;
    void hold_off(const carrier_candidate& carrier)
    {
        held_off_[carrier.name] = monotonic_clock::now() + settings_.carrier_holdoff;
    }
    void check_soon(const std::string& service);
    boost::asio::awaitable<void> run_checks(std::string service, std::size_t servers);
    boost::asio::awaitable<std::size_t> count_connected(std::vector<server_target> servers);
    std::vector<server_target> sample(const std::string& service, std::size_t count) const;

    boost::asio::any_io_executor executor_;
    std::string self_;
    std::shared_ptr<http_client> http_;
    std::shared_ptr<metrics_registry> metrics_;
    random_source random_;
    server_link_hooks hooks_;
    server_link_settings settings_;
    service_reach reach_;
    std::map<std::string, time_point> held_off_;   // Carriers that failed, by name.
    std::map<std::string, std::size_t> in_flight_; // Detours, by the name of their carrier.
};

} // namespace chervildyke
