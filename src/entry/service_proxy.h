/** \file
 * Defines service_proxy, which forwards calls to the backend servers of plain services.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/at_most_once.h"
#include "routing/backend_balancer.h"

namespace chervildyke {

struct service_proxy_settings {
    std::string failure_domain;     // Of this entry.
    duration default_timeout = 10s; // Of an operation without a configured timeout.
    duration connect_timeout = 2s;  // Of one attempt of an idempotent operation.
    std::uint32_t max_attempts = 4;
};

/** The state that all service calls of one entry share. */
struct service_proxy_context {
    boost::asio::any_io_executor executor;
    random_source random;
    std::shared_ptr<http_client> http;
    std::shared_ptr<metrics_registry> metrics;
    at_most_once_hooks at_most_once;
};

/** Handles POST /v1/services/{service}/{operation}.
 *
 * A call of an idempotent operation, one with the configuration value repeatable, is retried on
 * another backend server while its deadline and the retry budget allow. An attempt that is silent
 * for long goes on beside the retry; the first of them to complete wins. Any other call is claimed
 * first and then runs at most once: it is retried only if it certainly did not run, because no byte
 * of it was sent or the backend server refused it.
 */
class service_proxy {
  public:
    service_proxy(service_proxy_context context, service_proxy_settings settings);

    /** \return the handler, which stays valid after the proxy is destroyed. */
    service_call_handler handler() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
