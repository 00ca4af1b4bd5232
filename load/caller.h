/** \file
 * Defines caller, which makes calls as a caller of the system would.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/random.h"

namespace chervildyke::load {

enum class outcome { none, complete, not_run, unknown };

const char* to_string(outcome which);

/** What a caller wants: an answer of a team's model, or an operation of a service. */
struct call_spec {
    std::string tenant;
    std::string bearer;
    std::string team;
    std::string prompt;
    std::string subject; // What the answer follows from.
    std::uint32_t tokens = 0;
    std::string operation; // service/operation; empty for a model call.
    std::string body;      // Of an operation.
    std::string key;       // Idempotency key; empty: none.
    std::uint32_t deadline_ms = 0;
    std::uint32_t tries = 1;

    bool operator==(const call_spec&) const = default;
};

/** How one try ended. */
struct try_result {
    outcome ended = outcome::none;
    unsigned status = 0; // Zero when there was no answer.
    std::string text;    // The answer, or the confirmation.
    std::string finish_reason;
    std::string reason;
    std::string entry;
    bool sent = false;    // A byte of the request may have reached the entry.
    bool cut_off = false; // An answer that began did not end.
    time_point started{};
    time_point first_token{};
    time_point ended_at{};
    std::vector<float> gaps_ms; // Between tokens.

    /** Takes a part of the answer and notes when it came. */
    void take_text(const std::string& part);
};

/** Asks the system for addresses, keeps the answer for as long as it holds, and goes on at the
 * next address when one fails.
 */
class caller {
  public:
    caller(std::shared_ptr<http_client> http, std::vector<std::string> seeds, random_source random);

    /** Makes a call and tries again where an ordinary client would: with the same key after an
     * answer was lost, and after not_run.
     * \return every try; the last one is what the caller ends with.
     */
    boost::asio::awaitable<std::vector<try_result>> call(call_spec spec);

    /** One try at one entry. */
    boost::asio::awaitable<try_result> try_once(call_spec spec, std::string entry);

    /** The entry to use now. */
    boost::asio::awaitable<std::string> address();

    /** Goes on at another address. */
    void leave(const std::string& entry);

  private:
    boost::asio::awaitable<void> ask_for_addresses();
    boost::asio::awaitable<void> read_answer(try_result& result, std::shared_ptr<http_stream> from,
                                             time_point end);

    std::shared_ptr<http_client> http_;
    std::vector<std::string> seeds_;
    random_source random_;
    std::vector<std::string> addresses_;
    time_point valid_until_{};
    std::size_t next_ = 0;
};

} // namespace chervildyke::load
