/** \file
 * Defines replica_latency_model, which predicts a replica's latencies from its engine's profile.
 */
#pragma once

#include <cstdint>

#include "base/clock.h"
#include "fleet/engine_profile.h"

namespace chervildyke {

/** Predictions for one replica of a model. */
class replica_latency_model {
  public:
    replica_latency_model(const engine_profile& engine, const model_profile& model);

    /** Time of one decode step, in which each running call gets a token. */
    duration step_time(std::uint32_t running) const;

    /** Time to prefill a prompt, without other calls. */
    duration prefill_time(double tokens) const;

    /** Time between two events of a stream. */
    duration event_gap(std::uint32_t running) const;

    /** Time until the first event of a new call.
     * \param running calls that generate tokens.
     * \param queued_tokens of prompts that are prefilled before its own.
     */
    duration time_to_first_event(std::uint32_t running, double queued_tokens,
                                 double own_tokens) const;

    /** Replica time that a call uses when the batch is full. */
    duration replica_time_of_call(double prompt_tokens, double answer_tokens) const;

  private:
    engine_profile engine_;
    double time_factor_;
};

} // namespace chervildyke
