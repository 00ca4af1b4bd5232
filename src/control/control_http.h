/** \file
 * Defines the control's HTTP side: health, readiness and metrics.
 */
#pragma once

#include <functional>
#include <string>

#include "base/http_server.h"

namespace chervildyke {

/** What the control's HTTP calls ask of the node. */
struct control_http_hooks {
    std::function<bool()> ready;
    std::function<std::string()> not_ready_reason;
    std::function<std::string()> metrics; // Prometheus text.
};

/** \return a handler for GET /healthz, /readyz and /metrics. */
http_handler control_http_handler(control_http_hooks hooks);

} // namespace chervildyke
