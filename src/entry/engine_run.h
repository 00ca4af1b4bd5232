/** \file
 * Defines engine_run, which gets one whole answer out of the replicas, whatever attempts it takes.
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

/** What is to be run and under which rules. */
struct engine_run_request {
    routing_request question;
    schema::engine_call call; // Without attempt and replica.
    bool repeatable = true;   // False: sent at most once.
    time_point deadline{};
    histogram* first_token = nullptr; // Where to note times; may be null.
    histogram* between_tokens = nullptr;
};

enum class run_end {
    complete,
    caller_left,
    no_replica,  // None that is whole and has room.
    refused,     // By every replica that was asked.
    broken,      // No further attempt was allowed.
    out_of_time, // The deadline passed.
};

/** How a run ended. */
struct engine_run_result {
    run_end end = run_end::broken;
    call_outcome outcome = call_outcome::not_run;
    std::string reason;
    std::string finish_reason;
    std::uint32_t tokens = 0;
    std::uint32_t cached_tokens = 0;
    std::optional<duration> retry_after;
};

/** Takes the answer's next chunks; returns false once the caller is gone. */
using chunk_hook = std::function<boost::asio::awaitable<bool>(std::vector<schema::engine_chunk>)>;

/** Sends the call to a replica, resumes a broken stream there, and goes on elsewhere when the call
 * is repeatable, so that the chunks handed on form one answer without gaps.
 */
class engine_run {
  public:
    engine_run(call_context& context, engine_run_request request, chunk_hook on_chunks);
    ~engine_run();
    engine_run(const engine_run&) = delete;
    engine_run& operator=(const engine_run&) = delete;

    /** When the task is cancelled instead, the engine is told to drop the attempt. */
    boost::asio::awaitable<engine_run_result> run();

  private:
    boost::asio::awaitable<std::optional<chosen_replica>> choose();
    boost::asio::awaitable<attempt_step> make_attempt(chosen_replica chosen);
    boost::asio::awaitable<attempt_step> read_to_end(engine_attempt& attempt);
    boost::asio::awaitable<attempt_step> resume(const engine_attempt& broken);
    schema::engine_call call_for(const chosen_replica& chosen) const;
    bool may_try_again(const attempt_step& failed);
    void note_chunks(const std::vector<schema::engine_chunk>& chunks, std::uint64_t replica);
    void note_failure(const attempt_step& failed, std::uint64_t replica);
    void drop_current();
    engine_run_result give_up(run_end end, std::string reason) const;
    duration time_left() const;

    std::shared_ptr<call_context> context_;
    engine_run_request request_;
    chunk_hook on_chunks_;
    std::string current_address_; // Of the attempt that an engine may be running.
    std::string current_attempt_;
    std::string text_; // The answer so far.
    std::string finish_reason_;
    std::uint32_t tokens_ = 0;
    std::uint32_t cached_tokens_ = 0;
    std::uint32_t attempts_ = 0;
    time_point again_at_{}; // A replica that failed a begun call is not tried again before.
    std::uint32_t resumes_ = 0;
    bool may_have_run_ = false;
    bool caller_left_ = false;
    time_point sent_at_{};
    time_point last_chunk_at_{};
    bool first_chunk_seen_ = false; // Of the attempt in progress.
};

} // namespace chervildyke
