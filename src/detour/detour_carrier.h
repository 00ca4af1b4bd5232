/** \file
 * Defines detour_carrier, which sends requests to backend servers for nodes that are cut off from
 * them.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "base/metrics.h"
#include "detour/detour_fields.h"
#include "detour/server_links.h"

namespace chervildyke {

/** What a carrier needs to know of its node. */
struct detour_carrier_hooks {
    /** Returns the server if this node lists it in this incarnation. */
    std::function<std::optional<server_target>(const backend_incarnation&)> find_server;

    /** Returns why this node may carry nothing to the service now; empty if it may. */
    std::function<std::string(const std::string& service)> refusal;

    /** Returns why this node may not call the server now; empty if it may. */
    std::function<std::string(const server_target&)> server_refusal;

    /** Called when a request is sent to the server. */
    std::function<void(const server_target&)> on_sent;

    /** Called with the head of a server's answer. */
    std::function<void(const server_target&, unsigned status, const std::vector<http_header>&)>
        on_answer;

    /** Returns the id of the call that a request belongs to, for the log. */
    std::function<std::string(const http_request&)> call_id;

    /** Returns true if an answer with these headers is the one to the call. */
    std::function<bool(const std::string& call_id, const std::vector<http_header>&)> is_answer_to;
};

/** Serves the requests that other nodes send to this one for a backend server. Each is sent once,
 * directly, or not at all.
 */
class detour_carrier {
  public:
    /** All arguments outlive this object. */
    detour_carrier(server_links& links, metrics_registry& metrics, detour_carrier_hooks hooks)
        : links_(links), metrics_(metrics), hooks_(std::move(hooks))
    {
    }

    boost::asio::awaitable<void> serve(http_exchange& exchange);

  private:
    /** One request in progress. */
    struct carried_call {
        http_exchange& exchange;
        detour_order order;
        std::string id; // Of the call.
        time_point deadline{};
        std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
        std::string outcome = "cancelled";
    };

    boost::asio::awaitable<void> carry(carried_call& call);
    boost::asio::awaitable<void> pass_on(carried_call& call, http_stream& answer);
    boost::asio::awaitable<void> refuse(carried_call& call, http_failure failure);

    server_links& links_;
    metrics_registry& metrics_;
    detour_carrier_hooks hooks_;
    std::size_t in_progress_ = 0;
};

} // namespace chervildyke
