/** \file
 * Defines prompt_guard, which keeps prompts that crash servers from being sent, and reports to the
 * crash evidence what becomes of the attempts of one call.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "relay/relayed_call.h"
#include "routing/crash_evidence.h"

namespace chervildyke {

/** Why a call must not be sent. */
struct prompt_refusal {
    std::string reason;
    time_point until{}; // When the prompt may be tried again.

    bool operator==(const prompt_refusal&) const = default;
};

/** The shared parts of one call's prompt and the node's evidence about them. */
class prompt_guard {
  public:
    explicit prompt_guard(relayed_call& call);

    /** \return the refusal if a part of the prompt is blocked. */
    std::optional<prompt_refusal> find_refusal() const;

    /** \return false if another crash would block a part, so that the call is not sent again. */
    bool may_retry() const;

    /** Records that an attempt has received an event.
     * \param events its events so far.
     */
    void note_event(std::uint32_t events) const;

    /** Records that an attempt has received a whole answer. */
    void note_whole_answer() const;

    /** Checks, after a server broke off an attempt, whether the server has ended, and records the
     * crash if it had only started to answer.
     * \param events the events of the attempt.
     */
    boost::asio::awaitable<void> check_crash(selected_replica selected, std::uint32_t events) const;

  private:
    relayed_call& call_;
    std::vector<prompt_part> parts_;
};

} // namespace chervildyke
