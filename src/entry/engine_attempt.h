/** \file
 * Defines engine_attempt, one try of a call at one model engine.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "entry/sse_parser.h"
#include "platform.pb.h"

namespace chervildyke {

enum class attempt_state {
    running,
    complete, // The terminal chunk came.
    not_sent, // The engine can't have seen it.
    refused,  // The engine said that it ran nothing.
    broken,   // The engine may have run it, in part or whole.
    stalled,  // As broken, but the engine still holds the connection and said nothing in time.
};

/** What one wait brought. */
struct attempt_step {
    attempt_state state = attempt_state::running;
    std::vector<schema::engine_chunk> chunks; // In order, without gaps, of this attempt only.
    std::string reason;
    std::optional<duration> retry_after;
};

/** Sends a call and reads its stream. Drops chunks of other attempts and chunks seen before; a
 * gap breaks the attempt. Reads only when asked to, so that a slow caller holds the engine back.
 */
class engine_attempt {
  public:
    /** \param call its resume_from is the first sequence number expected. */
    engine_attempt(std::shared_ptr<http_client> http, std::string address,
                   schema::engine_call call);

    /** Sends the call and waits for the head of the answer.
     * \param fresh_connection true when a lost request must not be mistaken for one that was sent.
     */
    boost::asio::awaitable<attempt_step> open(duration timeout, bool fresh_connection);

    /** Waits for the next chunks. */
    boost::asio::awaitable<attempt_step> next(duration timeout);

    /** Reads the end of a complete answer, so that its connection can be used again. */
    boost::asio::awaitable<void> finish();

    std::uint32_t next_sequence() const { return next_sequence_; }
    std::uint64_t dropped_chunks() const { return dropped_; }
    const std::string& address() const { return address_; }
    const schema::engine_call& call() const { return call_; }

  private:
    boost::asio::awaitable<attempt_step> read_refusal(unsigned status, duration timeout);
    bool take_event(const std::string& data, attempt_step& step);

    std::shared_ptr<http_client> http_;
    std::string address_;
    schema::engine_call call_;
    std::shared_ptr<http_stream> stream_;
    sse_parser parser_;
    std::uint32_t next_sequence_;
    std::uint64_t dropped_ = 0;
};

/** Tells the engine to drop an attempt; failure is ignored, since the engine also ends calls
 * whose connection closed.
 */
boost::asio::awaitable<void> cancel_attempt(std::shared_ptr<http_client> http, std::string address,
                                            std::string attempt_id);

} // namespace chervildyke
