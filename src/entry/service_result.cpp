/** \file
 * Implements service_result.
 */
#include "entry/service_result.h"

#include <utility>

#include "external/json_message.h"
#include "platform.pb.h"

namespace chervildyke {

namespace {

constexpr duration retry_after = 1s;

} // namespace

service_result failed_result(call_outcome outcome, unsigned status, std::string reason)
{
    service_result result;
    result.outcome = outcome;
    result.status = status;
    result.reason = std::move(reason);
    return result;
}

api_error to_error(const service_result& result)
{
    api_error error = unavailable(result.reason, "service_unavailable", retry_after);
    error.status = result.status;
    error.outcome = result.outcome;
    if (result.outcome == call_outcome::unknown) {
        error.code = "outcome_unknown";
        error.retry_after.reset();
    }
    return error;
}

service_result classify_reply(http_reply reply)
{
    schema::refusal refusal;
    const bool is_refusal = reply.status >= 400 && from_json(reply.body, refusal);
    if (is_refusal && refusal.not_run()) {
        return failed_result(call_outcome::not_run, reply.status, refusal.reason());
    }
    if (reply.status >= 500 || promises_not_run(reply.status)) {
        return failed_result(call_outcome::unknown, 502,
                             "the backend server replied with HTTP status " +
                                 std::to_string(reply.status));
    }
    service_result result;
    result.outcome = call_outcome::complete;
    result.status = reply.status;
    result.reply.status = reply.status;
    result.reply.content_type = std::move(reply.content_type);
    result.reply.body = std::move(reply.body);
    return result;
}

service_result classify_failure(const http_failure& failure)
{
    if (failure.code == http_error::not_sent) {
        return failed_result(call_outcome::not_run, 503, failure.reason);
    }
    const unsigned status = failure.code == http_error::timed_out ? 504 : 502;
    return failed_result(call_outcome::unknown, status, failure.reason);
}

} // namespace chervildyke
