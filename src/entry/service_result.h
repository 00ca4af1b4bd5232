/** \file
 * Defines service_result, how a service call ended, and determines it from what a backend server
 * replied.
 */
#pragma once

#include <string>

#include "base/http_client.h"
#include "base/http_message.h"
#include "entry/api_error.h"
#include "entry/at_most_once.h"

namespace chervildyke {

/** How a service call or one of its attempts ended. */
struct service_result {
    call_outcome outcome = call_outcome::not_run;
    http_reply reply; // If complete.
    std::string reason;
    unsigned status = 503;
};

service_result failed_result(call_outcome outcome, unsigned status, std::string reason);

/** Determines the outcome from a reply of a backend server. */
service_result classify_reply(http_reply reply);

/** Determines the outcome of an attempt without a reply. */
service_result classify_failure(const http_failure& failure);

/** \return the error that is returned to the caller. */
api_error to_error(const service_result& result);

} // namespace chervildyke
