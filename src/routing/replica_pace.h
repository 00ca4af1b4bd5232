/** \file
 * Defines replica_pace, which predicts how long a replica takes from its engine's profile.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "fleet/engine_profile.h"

namespace chervildyke {

/** Predictions for one replica of a model. */
class replica_pace {
  public:
    replica_pace(const engine_profile& engine, const model_profile& model);

    /** Time of one step, in which each running call gets a token. */
    duration step(std::uint32_t running) const;

    /** Time to read a prompt, alone. */
    duration read_prompt(double tokens) const;

    /** Time between two events of a stream. */
    duration event_gap(std::uint32_t running) const;

    /** Time until the first event of a new call.
     * \param running calls that write.
     * \param waiting_tokens of prompts that are to be read before its own.
     */
    duration first_event(std::uint32_t running, double waiting_tokens, double own_tokens) const;

    /** Replica time that a call takes up when the batch is full. */
    duration share_of_full_batch(double prompt_tokens, double answer_tokens) const;

  private:
    engine_profile engine_;
    double pace_;
};

} // namespace chervildyke
