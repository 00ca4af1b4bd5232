/** \file
 * Defines engine_attempt, one attempt of a call at one model engine.
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

enum class engine_attempt_state {
    running,
    complete, // The last chunk was received.
    not_sent, // The engine received nothing of it.
    refused,  // The engine replied that it ran nothing.
    broken,   // The engine may have run all or part of it.
    stalled,  // As broken, but the connection is still open and a timeout expired.
};

/** The state of an attempt and the chunks received since the last one. */
struct attempt_progress {
    engine_attempt_state state = engine_attempt_state::running;
    std::vector<schema::engine_chunk> chunks; // In order, without gaps or repetitions.
    std::string reason;
    std::optional<duration> retry_after;
};

/** Sends a call and reads its stream. Drops chunks of other attempts and repeated chunks; a gap
 * breaks the attempt. Reads only in next_chunks(), so that a slow caller exerts backpressure on the
 * engine.
 */
class engine_attempt {
  public:
    /** \param address ip:port of the engine.
     * \param call its resume_from is the first sequence number expected.
     */
    engine_attempt(std::shared_ptr<http_client> http, std::string address,
                   schema::engine_call call);

    /** Sends the call and waits for the head of the reply.
     * \param fresh_connection true to use no idle connection. The engine may already have closed
     * one, and then it is unknown whether the request was sent.
     */
    boost::asio::awaitable<attempt_progress> open(duration timeout, bool fresh_connection);

    /** Waits for the next chunks; open() must have returned the state running. */
    boost::asio::awaitable<attempt_progress> next_chunks(duration timeout);

    /** Reads the end of a complete stream, so that its connection can be reused. */
    boost::asio::awaitable<void> finish();

    std::uint32_t next_sequence() const { return next_sequence_; }
    std::uint64_t dropped_chunks() const { return dropped_chunks_; }
    const std::string& address() const { return address_; }
    const schema::engine_call& call() const { return call_; }

  private:
    boost::asio::awaitable<attempt_progress> read_refusal(unsigned status, duration timeout);
    bool process_event(const std::string& data, attempt_progress& progress);

    std::shared_ptr<http_client> http_;
    std::string address_;
    schema::engine_call call_;
    std::shared_ptr<http_stream> stream_;
    sse_parser parser_;
    std::uint32_t next_sequence_;
    std::uint64_t dropped_chunks_ = 0;
};

/** Requests that an engine cancel an attempt. Failure is ignored, since an engine also ends calls
 * whose connection is closed.
 */
boost::asio::awaitable<void> cancel_attempt(std::shared_ptr<http_client> http, std::string address,
                                            std::string attempt_id);

} // namespace chervildyke
