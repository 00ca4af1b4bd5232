/** \file
 * Defines service_calls, which routes callers' calls to plain services.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/call_guard.h"
#include "routing/backend_balancer.h"

namespace chervildyke {

struct service_call_settings {
    std::string failure_domain;
    duration default_timeout = 10s;        // For an operation that states none.
    duration longest_wait_to_connect = 2s; // For one attempt of a repeatable operation.
    std::uint32_t max_attempts = 4;
};

/** What the calls of one entry share. */
struct service_call_context {
    boost::asio::any_io_executor executor;
    random_source random;
    std::shared_ptr<http_client> http;
    std::shared_ptr<metrics_registry> metrics;
    call_guard guard;
};

/** Answers POST /v1/services/{service}/{operation}.
 *
 * A repeatable operation is tried again on another backend server while its deadline and the retry
 * budget allow. One that must not be repeated is claimed first and leaves this entry once: another
 * backend server is tried only when the call certainly did not run, since no byte of it was sent
 * or the backend server refused it.
 */
class service_calls {
  public:
    service_calls(service_call_context context, service_call_settings settings);

    /** \return the route; it keeps what it needs alive. */
    service_route route() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
