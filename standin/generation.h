/** \file
 * Defines generation, the continuous batch of one engine and the attempts that run in it.
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
#include "standin/prefix_cache.h"
#include "standin/wake_list.h"

namespace chervildyke::standin {

enum class attempt_state { queued, running, finished, cancelled, broken };

/** One call as the engine runs it. The text follows from the prompt, so only counts are kept. */
struct attempt {
    schema::engine_call call;
    std::string subject;
    std::uint32_t answer_tokens = 0; // Of the whole answer, what came before included.
    std::uint32_t chunks = 0;        // How many this attempt sends in all.
    std::uint32_t emitted = 0;
    std::uint32_t cached_tokens = 0;
    std::uint64_t arrival = 0;
    attempt_state state = attempt_state::queued;
    time_point first_token_at{};
    time_point ended_at{};
    wake_list changed;

    /** The server-sent event of one chunk. */
    std::string event(std::uint32_t sequence) const;
};

/** What the engine around a batch knows. */
struct generation_hooks {
    std::function<bool()> group_whole;  // The group can compute now; else the batch stalls.
    std::function<bool()> group_broken; // It never will again; the attempts are lost.
    std::function<double()> slowdown;
};

/** Runs attempts in one batch: a token takes longer the more attempts run. Keeps ended attempts
 * for a while, so that a broken stream can be resumed.
 */
class generation : public std::enable_shared_from_this<generation> {
  public:
    generation(boost::asio::any_io_executor executor,
               const schema::standin_engine_settings& settings, generation_hooks hooks);

    /** Starts an attempt, or finds the one that has this id already.
     * \return nothing when the queue is full.
     */
    std::shared_ptr<attempt> start(const schema::engine_call& call, prefix_cache& cache);
    std::shared_ptr<attempt> find(const std::string& attempt_id) const;
    void cancel(const std::string& attempt_id);

    /** Breaks all attempts; none is accepted any more. */
    void stop();

    std::size_t running() const { return running_.size(); }
    std::size_t queued() const { return queue_.size(); }
    bool quiet() const { return running_.empty() && queue_.empty(); }
    duration token_time() const;
    std::uint64_t tokens() const { return tokens_; }
    std::uint64_t started() const { return arrivals_; }

  private:
    boost::asio::awaitable<void> run();
    void fill_batch();
    void emit_tokens();
    void end(attempt& which, attempt_state state);
    void forget_old();

    boost::asio::any_io_executor executor_;
    schema::standin_engine_settings settings_;
    generation_hooks hooks_;
    std::unordered_map<std::string, std::shared_ptr<attempt>> attempts_;
    std::deque<std::shared_ptr<attempt>> ended_;
    std::vector<std::shared_ptr<attempt>> running_;
    std::vector<std::shared_ptr<attempt>> queue_; // The one to run next stands last.
    std::uint64_t arrivals_ = 0;
    std::uint64_t tokens_ = 0;
    bool active_ = false;
    bool stopped_ = false;
};

} // namespace chervildyke::standin
