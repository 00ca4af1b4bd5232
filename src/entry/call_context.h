/** \file
 * Defines call_context, the state that all calls of one entry share.
 */
#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/metrics.h"
#include "base/random.h"
#include "entry/at_most_once.h"
#include "routing/admission.h"
#include "routing/replica_router.h"
#include "routing/retry_policy.h"

namespace chervildyke {

/** Shared by all calls. Outlives each of them, also those in progress when the process ends. */
struct call_context : std::enable_shared_from_this<call_context> {
    boost::asio::any_io_executor executor;
    random_source random;
    std::shared_ptr<http_client> http;
    std::shared_ptr<metrics_registry> metrics;
    std::shared_ptr<replica_router> router;
    std::shared_ptr<admission> admissions;
    retry_budget retries;
    at_most_once_hooks at_most_once;
};

} // namespace chervildyke
