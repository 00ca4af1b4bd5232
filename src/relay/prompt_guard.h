/** \file
 * Defines prompt_guard, which keeps prompts that crash servers from being sent, and reports to the
 * crash evidence what becomes of the attempts of one call.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"
#include "routing/prompt_turns.h"

namespace chervildyke {

/** Why a call is not sent. */
struct send_refusal {
    std::string reason;
    std::optional<time_point> until; // When it may be tried again, if that is known.

    bool operator==(const send_refusal&) const = default;
};

/** A slot for an attempt, unless the prompt or the replicas forbid it. */
struct guarded_slot {
    replica_queue_result granted;
    std::optional<send_refusal> refusal;
};

/** The shared parts of one call's prompt and the node's evidence about them. */
class prompt_guard {
  public:
    explicit prompt_guard(relayed_call& call) : call_(call) {}

    /** \return the refusal if the prompt is blocked. */
    std::optional<send_refusal> find_refusal() const;

    /** Waits for the turn of the prompt and then for a slot. A prompt whose parts are doubtful
     * waits while others with them are tried.
     */
    boost::asio::awaitable<guarded_slot> admit(replica_queue_request request);

    /** \return false if another crash would block the prompt, so that the call is not sent again.
     */
    bool may_retry() const;

    /** Records that an attempt has received an event.
     * \param events its events so far.
     */
    void note_event(std::uint32_t events);

    /** Records that an attempt has received a whole answer. */
    void note_whole_answer();

    /** Records that no attempt is in progress. */
    void note_end() { turn_.reset(); }

    /** Checks, after a server broke off an attempt, whether the server has ended, and records the
     * crash if it had only started to answer.
     * \param events the events of the attempt.
     */
    boost::asio::awaitable<void> check_crash(selected_replica selected, std::uint32_t events) const;

  private:
    const std::vector<std::string>& parts() const { return call_.parameters.shared_parts; }
    static std::optional<send_refusal> refusal_of(const prompt_verdict& verdict);
    boost::asio::awaitable<std::optional<send_refusal>> wait_for_turn(time_point untested_until);

    relayed_call& call_;
    std::unique_ptr<prompt_turns::turn> turn_;
};

} // namespace chervildyke
