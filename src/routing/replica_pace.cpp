/** \file
 * Implements replica_pace.
 */
#include "routing/replica_pace.h"

#include <algorithm>

#include "base/milliseconds.h"

namespace chervildyke {

replica_pace::replica_pace(const engine_profile& engine, const model_profile& model)
    : engine_(engine), pace_(model.pace)
{
}

duration replica_pace::step(std::uint32_t running) const
{
    const double context = engine_.usual_prompt_tokens + engine_.usual_answer_tokens / 2;
    const double per_call =
        engine_.step_ms_per_call + engine_.step_ms_per_1000_tokens * context / 1000;
    return from_ms(pace_ * (engine_.step_ms + per_call * running));
}

duration replica_pace::read_prompt(double tokens) const
{
    const double million_pairs = tokens * tokens / 2e6;
    return from_ms(pace_ * (tokens / engine_.prompt_tokens_per_ms +
                            million_pairs * engine_.prompt_ms_per_million_pairs));
}

duration replica_pace::event_gap(std::uint32_t running) const
{
    return step(running) * engine_.tokens_per_event;
}

duration replica_pace::first_event(std::uint32_t running, double waiting_tokens,
                                   double own_tokens) const
{
    // A call joins between two passes, of which half is over on average; its prompt is read in the
    // next one, and the one after that writes its first event.
    const duration passes = 2 * event_gap(running) + event_gap(running) / 2;
    return read_prompt(waiting_tokens) + read_prompt(own_tokens) + passes;
}

duration replica_pace::share_of_full_batch(double prompt_tokens, double answer_tokens) const
{
    const duration per_token = step(engine_.batch_slots) / std::max(engine_.batch_slots, 1U);
    return read_prompt(prompt_tokens) +
           std::chrono::duration_cast<duration>(per_token * answer_tokens);
}

} // namespace chervildyke
