/** \file
 * Implements replica_latency_model.
 */
#include "routing/replica_latency_model.h"

#include <algorithm>

#include "base/milliseconds.h"

namespace chervildyke {

replica_latency_model::replica_latency_model(const engine_profile& engine,
                                             const model_profile& model)
    : engine_(engine), time_factor_(model.time_factor)
{
}

duration replica_latency_model::step_time(std::uint32_t running) const
{
    const double context = engine_.usual_prompt_tokens + engine_.usual_answer_tokens / 2;
    const double per_call =
        engine_.step_ms_per_call + engine_.step_ms_per_1000_tokens * context / 1000;
    return from_ms(time_factor_ * (engine_.step_ms + per_call * running));
}

duration replica_latency_model::prefill_time(double tokens) const
{
    const double million_pairs = tokens * tokens / 2e6;
    return from_ms(time_factor_ * (tokens / engine_.prompt_tokens_per_ms +
                                   million_pairs * engine_.prompt_ms_per_million_pairs));
}

duration replica_latency_model::event_gap(std::uint32_t running) const
{
    return step_time(running) * engine_.tokens_per_event;
}

duration replica_latency_model::time_to_first_event(std::uint32_t running, double queued_tokens,
                                                    double own_tokens) const
{
    // A call joins between two engine passes, on average half a pass after it arrives. Its prompt
    // is prefilled in the next pass, and the pass after that produces its first event.
    const duration passes = 2 * event_gap(running) + event_gap(running) / 2;
    return prefill_time(queued_tokens) + prefill_time(own_tokens) + passes;
}

duration replica_latency_model::replica_time_of_call(double prompt_tokens,
                                                     double answer_tokens) const
{
    const duration per_token = step_time(engine_.batch_slots) / std::max(engine_.batch_slots, 1U);
    return prefill_time(prompt_tokens) +
           std::chrono::duration_cast<duration>(per_token * answer_tokens);
}

} // namespace chervildyke
