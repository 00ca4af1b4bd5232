/** \file
 * Defines engine_client, the calls of the control plane on a model engine.
 */
#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "external/external_error.h"
#include "platform.pb.h"

namespace chervildyke {

/** The control plane's calls on one engine, by ip:port. Calls for callers are made by the entry. */
struct engine_client {
    std::function<boost::asio::awaitable<external_result<schema::engine_report>>(
        std::string address, duration timeout)>
        report;

    /** Sends an order. After external_error::unknown_outcome the engine may obey it, now or later.
     */
    std::function<boost::asio::awaitable<external_result<schema::engine_order_reply>>(
        std::string address, schema::engine_order order, duration timeout)>
        order;
};

/** The calls on the weight store. */
struct weight_store_client {
    std::function<boost::asio::awaitable<external_result<schema::weight_store_status>>()> status;
};

} // namespace chervildyke
