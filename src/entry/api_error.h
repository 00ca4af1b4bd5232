/** \file
 * Defines api_error, an error in the format of the OpenAI API, and the parsing of common headers.
 */
#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/http_message.h"
#include "base/http_server.h"
#include "base/result.h"
#include "entry/at_most_once.h"

namespace chervildyke {

/** Why a call has no complete response. */
struct api_error {
    unsigned status = 500;
    std::string message;
    std::string type = "invalid_request_error";
    std::string code;
    call_outcome outcome = call_outcome::not_run;
    std::optional<duration> retry_after; // When the caller may retry.

    bool operator==(const api_error&) const = default;
};

/** \return an error with status 400 and outcome not_run. */
api_error invalid_request(std::string message, std::string code = "invalid_request");

/** \return an error with status 503 and outcome not_run. */
api_error unavailable(std::string message, std::string code, duration retry_after);

/** \return the error as a JSON object {"error":{...}}, for a body or an event. */
std::string to_json_text(const api_error& error);

/** \return the HTTP reply that reports the error. */
http_reply to_reply(const api_error& error);

/** \return the reply to a request that can't be read. */
http_reply bad_request_reply(bad_request kind);

/** Reads X-Chervil-Deadline-Ms.
 * \param fallback the result if the header is missing.
 * \return the time until the caller's deadline, or nothing if the header is no integer or out of
 * range.
 */
std::optional<duration> read_call_timeout(const http_request& request, duration fallback);

/** Reads X-Chervil-Key-Created-Ms, the creation time of the idempotency key.
 * \return milliseconds since 1970, zero if the header is missing, or nothing if it is no integer or
 * negative.
 */
std::optional<std::uint64_t> read_key_creation_time_ms(const http_request& request);

/** A value, or the error that is returned to the caller. */
template <typename Value>
class [[nodiscard]] api_result {
  public:
    api_result(Value value) : value_(std::move(value)) {}     // NOLINT(google-explicit-constructor)
    api_result(api_error error) : error_(std::move(error)) {} // NOLINT(google-explicit-constructor)

    explicit operator bool() const { return value_.has_value(); }
    Value& operator*() { return *value_; }
    Value* operator->() { return &*value_; }
    const api_error& error() const { return error_; }

  private:
    std::optional<Value> value_;
    api_error error_;
};

} // namespace chervildyke
