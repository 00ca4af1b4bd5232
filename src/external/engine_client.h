/** \file
 * Defines engine_client and weight_store_client, the calls of the control plane to model engines
 * and to the weight store.
 */
#pragma once

#include <functional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "external/external_error.h"
#include "platform.pb.h"

namespace chervildyke {

/** The calls of the control plane to engines, addressed by ip:port. The inference requests of
 * callers are sent by the entry, not through this client.
 */
struct engine_client {
    /** Requests the state of the engine. */
    std::function<boost::asio::awaitable<external_result<schema::engine_report>>(
        std::string address, duration timeout)>
        report;

    /** Sends an order. After external_error::unknown_outcome the engine may still execute it, at
     * once or later.
     */
    std::function<boost::asio::awaitable<external_result<schema::engine_order_reply>>(
        std::string address, schema::engine_order order, duration timeout)>
        order;
};

/** The call to the weight store. */
struct weight_store_client {
    /** Requests the state of the weight store. */
    std::function<boost::asio::awaitable<external_result<schema::weight_store_status>>()> status;
};

} // namespace chervildyke
