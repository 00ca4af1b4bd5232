/** \file
 * Implements note_demand and make_slot_request.
 */
#include "relay/call_demand.h"

#include <algorithm>

#include "routing/overload_policy.h"
#include "routing/replica_latency_model.h"

namespace chervildyke {

namespace {

// Limits of the wait for a slot, as fractions of the target for the first event. The rest of the
// target is for the prompt. The lower limit applies where a call on a full replica can't meet the
// target; slots become free more often than that.
constexpr double max_wait_share = 0.6;
constexpr double min_wait_share = 0.05;

// How long a call that fails over waits for a slot at another replica; callers abandon a stream
// after a gap of 2 s.
constexpr duration failover_wait = 1200ms;

// The urgency of a new call is failover_urgency minus its priority, of which zero is the highest.
// That of a call that fails over is greater by failover_urgency, so it goes before all new calls.
constexpr std::uint32_t failover_urgency = 100;
constexpr std::uint32_t max_priority = 99; // Greater numbers count as this one.

// A call that misses its target anyway takes no slot of a replica that is fuller than this
// fraction, which leaves the rest to calls that can meet theirs.
constexpr double late_fill_limit = 0.75;

// A call whose deadline is shorter than this fraction of the route's timeout counts as returning
// after a refusal. Callers set the deadline of a new call up to 15% below the timeout, and wait for
// up to a third of their time before they return.
constexpr double returning_time_share = 0.84;

bool is_returning(const relayed_call& call)
{
    const duration time_limit = call.parameters.time_left.value_or(call.route->timeout);
    return time_limit < call.route->timeout * returning_time_share;
}

bool is_late(const relayed_call& call, bool started)
{
    const duration spent = monotonic_clock::now() - call.arrived_at;
    return is_returning(call) || started || spent > call.route->latency_target;
}

/** \return how long a new call may wait for a slot and still meet its latency target. */
duration max_wait(const relayed_call& call, const replica_request& wanted)
{
    const duration target = call.route->latency_target;
    const auto share = [target](double part) {
        return std::chrono::duration_cast<duration>(target * part);
    };
    const duration spare = target - call.context.replica_lb->first_event_of_full_batch(wanted);
    return std::clamp(spare, share(min_wait_share), share(max_wait_share));
}

/** \return the tokens of the answer that are expected. */
double answer_tokens(const relayed_call& call, const engine_profile& engine)
{
    const double usual = engine.usual_answer_tokens;
    const double most =
        call.parameters.max_answer_tokens > 0 ? call.parameters.max_answer_tokens : usual;
    return std::min(most,
                    call.parameters.answer_hint.value_or(static_cast<std::uint32_t>(usual)) * 1.0);
}

// Of the predicted time of an answer. The engine serves late calls last, and answers may be longer
// than expected.
constexpr double answer_time_factor = 1.2;

/** \return what decides about the call, or nullopt if calls of its service do not differ in
 * urgency. */
std::optional<overload_terms> make_overload_terms(const relayed_call& call,
                                                  const replica_request& wanted, bool is_late)
{
    const backend_service* service = call.configuration->find_service(call.service);
    const model_profile* model = service != nullptr && service->engine
                                     ? service->engine->find(call.parameters.model)
                                     : nullptr;
    if (model == nullptr || !call.configuration->has_mixed_priorities(call.service)) {
        return std::nullopt;
    }
    const engine_profile& engine = *service->engine;
    const replica_latency_model latency(engine, *model);
    const double answer = answer_tokens(call, engine);
    const duration needed =
        call.context.replica_lb->first_event_of_full_batch(wanted) +
        std::chrono::duration_cast<duration>(latency.step_time(engine.batch_slots) * answer);
    overload_terms terms;
    terms.priority = call.priority;
    // A call that engines have only refused keeps its rank: it lost no part of an answer, and a
    // late one would go before those in time.
    terms.has_started = call.end.sends > call.end.not_run;
    terms.in_time_until = is_late ? time_point::min() : call.arrived_at + max_wait(call, wanted);
    terms.deadline = call.deadline;
    terms.start_by =
        call.deadline - std::chrono::duration_cast<duration>(needed * answer_time_factor);
    const duration usual =
        latency.replica_time_of_call(engine.usual_prompt_tokens, engine.usual_answer_tokens);
    if (usual > duration::zero()) {
        const duration work = latency.replica_time_of_call(wanted.prompt_tokens, answer);
        terms.relative_work =
            static_cast<double>(work.count()) / static_cast<double>(usual.count());
    }
    return terms;
}

} // namespace

void note_demand(const relayed_call& call)
{
    const backend_service* service = call.configuration->find_service(call.service);
    const model_profile* model = service->engine->find(call.parameters.model);
    if (model == nullptr || is_returning(call)) {
        return;
    }
    const double answer = answer_tokens(call, *service->engine);
    const replica_latency_model latency(*service->engine, *model);
    call.context.demand.note(call.parameters.model,
                             latency.replica_time_of_call(call.parameters.prompt_tokens, answer),
                             call.arrived_at, std::min(call.priority, max_priority));
}

replica_queue_request make_slot_request(const relayed_call& call,
                                        const std::set<std::uint64_t>& tried, bool started)
{
    replica_queue_request request;
    request.wanted.service = call.service;
    request.wanted.model = call.parameters.model;
    request.wanted.prompt_tokens = call.parameters.prompt_tokens;
    request.wanted.tried = tried;
    request.team = call.team;
    request.urgency = failover_urgency - std::min(call.priority, max_priority);
    const time_point now = monotonic_clock::now();
    request.wait_until = call.arrived_at + max_wait(call, request.wanted);
    if (call.end.sends > 0) {
        // The caller has already waited for a replica that failed, or has received part of an
        // answer.
        request.is_failover = true;
        request.urgency += failover_urgency;
        request.wait_until = now + failover_wait;
    }
    else if (is_late(call, started)) {
        request.fill_limit = late_fill_limit;
    }
    request.wait_until = std::min(request.wait_until, call.deadline);
    request.overload = make_overload_terms(call, request.wanted, is_late(call, started));
    if (request.overload && request.overload->has_started) {
        request.overload->start_by = request.wait_until;
    }
    return request;
}

} // namespace chervildyke
