/** \file
 * Defines continuous_batch, the simulated continuous batching of one engine, and its attempts.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "platform.pb.h"
#include "settings.pb.h"
#include "standin/async_condition.h"
#include "standin/prefix_cache.h"

namespace chervildyke::standin {

enum class attempt_state { queued, running, finished, cancelled, broken };

/** One call as the engine runs it. The text of an answer is computed from the prompt, so only
 * counts are stored.
 */
struct attempt {
    schema::engine_call call;
    std::string subject;
    std::uint32_t answer_tokens = 0; // Of the whole answer, including the call's prior tokens.
    std::uint32_t total_chunks = 0;  // That this attempt sends.
    std::uint32_t emitted_chunks = 0;
    std::uint32_t cached_tokens = 0; // Prompt tokens found in the prefix cache.
    std::uint64_t arrival_number = 0;
    attempt_state state = attempt_state::queued;
    time_point first_token_at{};
    time_point ended_at{};
    async_condition changed; // Notified when chunks are emitted and when the attempt ends.

    /** \return the server-sent event of one chunk. */
    std::string chunk_event(std::uint32_t sequence) const;
};

/** How a batch queries its engine. */
struct batch_hooks {
    std::function<bool()> is_group_ready; // All members can compute; otherwise the batch stalls.
    std::function<bool()> is_group_lost;  // A member is lost for good; all attempts are broken.
    std::function<double()> slowdown_factor;
};

/** Runs attempts in one batch, in which each token takes longer the more attempts run. Ended
 * attempts are kept for a limited time, so that a broken stream can be resumed.
 */
class continuous_batch : public std::enable_shared_from_this<continuous_batch> {
  public:
    continuous_batch(boost::asio::any_io_executor executor,
                     const schema::standin_engine_settings& settings, batch_hooks hooks);

    /** Queues an attempt, unless an attempt with its id exists.
     * \return the new or the existing attempt; null when the queue is full or the batch stopped.
     */
    std::shared_ptr<attempt> start(const schema::engine_call& call, prefix_cache& cache);

    /** \return the attempt, or null when it is unknown or has expired. */
    std::shared_ptr<attempt> find(const std::string& attempt_id) const;

    /** Ends an attempt that is queued or running; does nothing when it is unknown or has ended. */
    void cancel(const std::string& attempt_id);

    /** Ends all attempts as broken and accepts no new ones. */
    void stop();

    std::size_t running_attempts() const { return running_.size(); }
    std::size_t queued_attempts() const { return queue_.size(); }
    bool is_idle() const { return running_.empty() && queue_.empty(); }

    /** \return the time between two tokens of an attempt at the current load. */
    duration token_time() const;

    /** \return the number of chunks that all attempts emitted. */
    std::uint64_t emitted_tokens() const { return emitted_tokens_; }

    /** \return the number of attempts accepted so far. */
    std::uint64_t started_attempts() const { return started_attempts_; }

  private:
    boost::asio::awaitable<void> run();
    void fill_batch();
    void emit_tokens();
    void end_attempt(attempt& ended, attempt_state state);
    void remove_expired();

    boost::asio::any_io_executor executor_;
    schema::standin_engine_settings settings_;
    batch_hooks hooks_;
    std::unordered_map<std::string, std::shared_ptr<attempt>> attempts_;
    std::deque<std::shared_ptr<attempt>> ended_;
    std::vector<std::shared_ptr<attempt>> running_;
    std::vector<std::shared_ptr<attempt>> queue_; // The next to run is last.
    std::uint64_t started_attempts_ = 0;
    std::uint64_t emitted_tokens_ = 0;
    bool loop_active_ = false;
    bool stopped_ = false;
};

} // namespace chervildyke::standin
