/** \file
 * Defines engine_call_runner, which runs one call on model engines, with retries.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/metrics.h"
#include "entry/call_context.h"
#include "entry/engine_attempt.h"

namespace chervildyke {

/** A call to be run and the conditions for its attempts. */
struct engine_call_request {
    routing_request routing;
    schema::engine_call call; // Attempt id and replica are set for each attempt.
    bool idempotent = true;   // If false, the call runs at most once.
    time_point deadline{};
    histogram* time_to_first_token = nullptr; // Records times; may be null.
    histogram* inter_token_latency = nullptr; // Records times; may be null.
};

enum class engine_call_end {
    complete,
    caller_left,
    no_replica,        // No replica had capacity for the call.
    refused,           // The last attempt did not run, and no retry was allowed.
    broken,            // The last attempt may have run, and no retry was allowed.
    deadline_exceeded, // The deadline passed.
};

/** How a call ended. */
struct engine_call_result {
    engine_call_end end = engine_call_end::broken;
    call_outcome outcome = call_outcome::not_run;
    std::string reason;
    std::string finish_reason;
    std::uint32_t tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::optional<duration> retry_after;
};

/** Receives the next chunks; returns false if the caller has disconnected. */
using chunk_hook = std::function<boost::asio::awaitable<bool>(std::vector<schema::engine_chunk>)>;

/** Sends a call to a replica, resumes a broken stream there and, if the call is idempotent,
 * continues it on another replica. The chunks passed to the hook form one completion without gaps.
 */
class engine_call_runner {
  public:
    engine_call_runner(call_context& context, engine_call_request request, chunk_hook on_chunks);
    ~engine_call_runner();
    engine_call_runner(const engine_call_runner&) = delete;
    engine_call_runner& operator=(const engine_call_runner&) = delete;

    /** Runs the call to its end. If the task is cancelled, the attempt is cancelled at the engine.
     */
    boost::asio::awaitable<engine_call_result> run();

  private:
    boost::asio::awaitable<std::optional<chosen_replica>> choose_replica();
    boost::asio::awaitable<attempt_progress> run_attempt(chosen_replica chosen);
    boost::asio::awaitable<attempt_progress> read_stream(engine_attempt& attempt);

    /** Resumes a broken attempt at its engine, which then sends only chunks not received yet. The
     * attempt is not started again if the engine does not know it any more.
     */
    boost::asio::awaitable<attempt_progress> resume(const engine_attempt& broken);

    schema::engine_call make_attempt_call(const chosen_replica& chosen) const;

    /** Takes a retry from the retry budget, if the retry policy allows one.
     * \return true if the call may be retried.
     */
    bool take_retry(const attempt_progress& failed);

    /** Appends the chunks to the call's text, and records the time to the first token or between
     * tokens.
     */
    void note_chunks(const std::vector<schema::engine_chunk>& chunks, std::uint64_t replica);

    /** Reports the failure to the router, and lets later attempts avoid the replica. */
    void note_failure(const attempt_progress& failed, std::uint64_t replica);

    /** Cancels the current attempt at its engine in the background, if one may be running. */
    void cancel_current_attempt();
    engine_call_result make_result(engine_call_end end, std::string reason) const;
    duration time_left() const;

    std::shared_ptr<call_context> context_;
    engine_call_request request_;
    chunk_hook on_chunks_;
    std::string current_address_; // Of the attempt that an engine may be running.
    std::string current_attempt_id_;
    std::string text_; // Of all attempts so far.
    std::string finish_reason_;
    std::uint32_t tokens_ = 0;
    std::uint32_t cached_tokens_ = 0;
    std::uint32_t attempt_count_ = 0;
    time_point failed_replicas_retry_at_{}; // Replicas that failed are not retried before.
    std::uint32_t resume_count_ = 0;
    bool may_have_run_ = false;
    bool caller_left_ = false;
    time_point sent_at_{};
    time_point last_chunk_at_{};
    bool first_chunk_received_ = false; // Of the current attempt.
};

} // namespace chervildyke
