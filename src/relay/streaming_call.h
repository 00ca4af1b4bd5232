/** \file
 * Defines streaming_call, which answers one call of a caller from a replica of its model.
 */
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "relay/event_forwarder.h"
#include "relay/prompt_guard.h"
#include "relay/relayed_call.h"
#include "relay/stall_detector.h"

namespace chervildyke {

/** How an attempt at a replica ended. */
enum class attempt_result {
    complete,   // The whole stream was forwarded.
    answered,   // With something other than a stream.
    not_run,    // Certainly not executed.
    broken,     // It may have been executed; the answer is incomplete.
    superseded, // Another attempt received an event first.
    caller_left,
};

struct attempt_end {
    attempt_result result = attempt_result::not_run;
    std::string reason;
    http_reply reply;              // Set if the answer is not a stream.
    bool server_broke_off = false; // The connection ended before the answer did.
};

/** One call with its attempts at replicas. Beside an attempt that is silent, a second one may run
 * at another replica. The first of them to receive an event goes on and the other is cancelled, so
 * a call loses nothing to a server that was only silent for a while.
 */
class streaming_call {
  public:
    explicit streaming_call(relayed_call& call)
        : call_(call), prompt_(call), forwarder_(call), attempt_ended_(call.context.executor),
          write_limit_(std::make_shared<timer>(call.context.executor))
    {
    }

    boost::asio::awaitable<void> run();

  private:
    static constexpr std::uint32_t max_sends = 4; // Attempts of one call, including refused ones.

    /** One attempt in progress. */
    struct running_attempt {
        selected_replica selected;
        std::unique_ptr<replica_balancer::call> slot;
        time_point sent_at{};
        std::optional<std::uint32_t> priority; // In the engine's queue.
        std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
        std::unique_ptr<stall_detector> detector;
        bool has_replacement = false;   // Another attempt was started because this one is silent.
        bool superseded = false;        // Another attempt has received an event first.
        std::uint32_t events = 0;       // Received by this attempt.
        std::optional<attempt_end> end; // Set once the attempt has ended.
    };

    boost::asio::awaitable<bool> start_next(attempt_end& last);
    void start(replica_queue_result granted);
    boost::asio::awaitable<attempt_end> attempt(running_attempt& running);
    void note_failure(const running_attempt& running, const attempt_end& end, bool answered) const;
    boost::asio::awaitable<attempt_end> read_answer(http_stream& answer, running_attempt& running);
    boost::asio::awaitable<attempt_end> read_error(http_stream& answer,
                                                   const running_attempt& running);
    boost::asio::awaitable<attempt_end> forward_events(http_stream& answer,
                                                       running_attempt& running);
    void supersede_others(const running_attempt& winner);
    void cancel_attempts()
    {
        for (const auto& running : attempts_) {
            running->cancel->cancel();
        }
    }
    /** Ends a call without an answer so far, since the process ends. */
    void end_before_stop()
    {
        node_stops_ = !forwarder_.started();
        if (node_stops_) {
            cancel_attempts();
        }
    }
    void limit_writes();
    boost::asio::awaitable<attempt_end> wait_for_end();
    boost::asio::awaitable<void> end_attempts();
    boost::asio::awaitable<void> finish(attempt_end last);
    bool may_retry(const attempt_end& ended);
    bool may_fail_over() const;
    bool should_end(running_attempt& running, silent_attempt silent);
    /** \return the time that an attempt may still take. */
    duration usable_time_left() const;
    duration retry_after() const;

    relayed_call& call_;
    prompt_guard prompt_;
    event_forwarder forwarder_;
    bool forwarding_ = false;     // An event is being written to the caller.
    bool caller_is_late_ = false; // It did not take an event by the deadline.
    bool node_stops_ = false;     // The process ends before the call is answered.
    std::set<std::uint64_t> tried_;
    std::vector<std::unique_ptr<running_attempt>> attempts_; // Two at most.
    timer attempt_ended_;                                    // Cancelled when an attempt ends.
    std::shared_ptr<timer> write_limit_; // Expires after the deadline; reset when the call ends.
    std::optional<time_point> paused_until_; // All replicas have asked for no calls until then.
    std::optional<duration> expected_room_;  // Retry-After by which room for the call is expected.
};

} // namespace chervildyke
