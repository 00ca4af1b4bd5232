/** \file
 * Defines api_error, a refusal in the shape that OpenAI clients read.
 */
#pragma once

#include <optional>
#include <string>

#include "base/clock.h"
#include "base/http_message.h"
#include "base/http_server.h"
#include "base/result.h"
#include "entry/call_guard.h"

namespace chervildyke {

/** Why a call has no answer. */
struct api_error {
    unsigned status = 500;
    std::string message;
    std::string type = "invalid_request_error";
    std::string code;
    call_outcome outcome = call_outcome::not_run;
    std::optional<duration> retry_after; // When the caller may come back.

    bool operator==(const api_error&) const = default;
};

/** \return a 400 whose outcome is not_run. */
api_error invalid_request(std::string message, std::string code = "invalid_request");

/** \return a 503 whose outcome is not_run. */
api_error unavailable(std::string message, std::string code, duration retry_after);

/** \return the error as a JSON object {"error":{...}}, for a body or a stream's event. */
std::string to_json_text(const api_error& error);

http_reply to_reply(const api_error& error);

/** \return the reply to a request that could not be read. */
http_reply bad_request_reply(bad_request kind);

/** Reads X-Chervil-Deadline-Ms.
 * \param fallback used when the header is missing.
 * \return the time that the caller allows; nothing when the header is no number in range.
 */
std::optional<duration> read_deadline(const http_request& request, duration fallback);

/** Reads X-Chervil-Key-Created-Ms, when the caller made its key.
 * \return zero when the header is missing; nothing when it is no number.
 */
std::optional<std::uint64_t> read_key_created(const http_request& request);

/** A value beside the error that the caller is told. */
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
