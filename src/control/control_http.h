/** \file
 * Defines the HTTP endpoints of a control node: health, readiness and metrics.
 */
#pragma once

#include <functional>
#include <string>

#include "base/http_server.h"

namespace chervildyke {

/** The functions through which the HTTP endpoints query their control node. */
struct control_http_hooks {
    std::function<bool()> ready;

    /** The cause, as text for operators; called only while ready() returns false. */
    std::function<std::string()> not_ready_reason;

    /** \return the metrics in the Prometheus text format. */
    std::function<std::string()> metrics;
};

/** \return a handler for GET /healthz, /readyz and /metrics, which does not check the method.
 * While the node is not ready, /readyz gets 503. Any other path gets 404.
 */
http_handler make_control_http_handler(control_http_hooks hooks);

} // namespace chervildyke
