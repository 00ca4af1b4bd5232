/** \file
 * Defines entry_caller, which calls the system through its entries as a caller's client does.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/random.h"

namespace chervildyke::load {

/** The outcome that an answer states; none if it states none. */
enum class call_outcome { none, complete, not_run, unknown };

const char* to_string(call_outcome outcome);

/** A call: a prompt for a team's model, or an operation of a service. */
struct call_spec {
    std::string tenant;
    std::string api_key;
    std::string team;
    std::string prompt;
    std::string answer_subject; // The part of the prompt that determines the expected answer.
    std::uint32_t max_tokens = 0;
    std::string operation;         // service/operation; empty for a model call.
    std::string body;              // Of an operation.
    std::string idempotency_key;   // Empty: none.
    std::uint32_t deadline_ms = 0; // Zero: none is sent.
    std::uint32_t max_attempts = 1;

    bool operator==(const call_spec&) const = default;
};

/** The result of one attempt. */
struct attempt_result {
    call_outcome outcome = call_outcome::none;
    unsigned status = 0; // HTTP status; zero if no answer came.
    std::string text;    // The answer, or the confirmation of an order.
    std::string finish_reason;
    std::string reason;
    std::string address;                 // ip:port that the attempt was sent to.
    bool possibly_sent = false;          // A byte of the request may have reached the address.
    bool cut_off = false;                // The answer began but did not end properly.
    std::optional<duration> retry_after; // For how long the entry asked the caller to wait.
    time_point started_at{};
    time_point first_token_at{};
    time_point ended_at{};
    std::vector<float> token_gaps_ms; // Between consecutive tokens.

    /** Appends a part of the answer and records its arrival time. */
    void append_text(const std::string& part);
};

/** Discovers the entries, caches their addresses until the TTL expires, and fails over to the next
 * entry if one fails.
 */
class entry_caller {
  public:
    /** \param seed_addresses ip:port of entries to ask for the current addresses.
     * \param random chooses the first entry.
     */
    entry_caller(std::shared_ptr<http_client> http, std::vector<std::string> seed_addresses,
                 random_source random);

    /** Makes a call and retries it where an ordinary client would: after not_run, and, for an order
     * with the same idempotency key, if the answer was lost.
     * \return all attempts in order; the last one is the result of the call.
     */
    boost::asio::awaitable<std::vector<attempt_result>> call(call_spec spec);

    /** Makes one attempt at one entry. */
    boost::asio::awaitable<attempt_result> call_once(call_spec spec, std::string entry);

    /** \return ip:port of the entry to use now. */
    boost::asio::awaitable<std::string> entry_address();

    /** Switches to the next entry if this one is in use. */
    void fail_over_from(const std::string& entry);

  private:
    boost::asio::awaitable<void> refresh_entries();
    boost::asio::awaitable<void>
    read_answer(attempt_result& result, std::shared_ptr<http_stream> stream, time_point deadline);

    std::shared_ptr<http_client> http_;
    std::vector<std::string> seed_addresses_;
    random_source random_;
    std::vector<std::string> entry_addresses_; // As discovered; empty: the seeds are used.
    time_point valid_until_{};                 // Of entry_addresses_.
    std::size_t current_index_ = 0;            // Taken modulo the number of addresses.
};

} // namespace chervildyke::load
