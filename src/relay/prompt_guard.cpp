/** \file
 * Implements prompt_guard.
 */
#include "relay/prompt_guard.h"

#include <algorithm>
#include <utility>

#include "relay/attempt_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

// A server that crashes on a prompt does so with the first token of the answer, of which at most
// one event can get out. With more events the prompt is sound.
constexpr std::uint32_t max_events_before_crash = 1;
constexpr std::uint32_t min_events_of_sound_prompt = 3;

constexpr duration crash_check_timeout = 250ms; // Of connecting to a server that broke off.

// Between two connections to a server that broke off. A process that ends may close its listening
// socket last.
constexpr duration crash_recheck_delay = 50ms;

constexpr duration turn_check_interval = 20ms; // Between two tries to get a turn.
constexpr duration max_turn_wait = 1s;         // Most prompts are proven sound or not by then.

} // namespace

std::optional<send_refusal> prompt_guard::find_refusal() const
{
    return refusal_of(call_.context.crashes->judge(parts(), monotonic_clock::now()));
}

/** \return the refusal if the verdict is that the prompt is blocked. */
std::optional<send_refusal> prompt_guard::refusal_of(const prompt_verdict& verdict)
{
    if (verdict.standing != prompt_standing::blocked) {
        return std::nullopt;
    }
    return send_refusal{"part " + verdict.unproven.front() + " of the prompt has crashed " +
                            std::to_string(verdict.crashes) + " servers",
                        verdict.until};
}

/** \param untested_until a call waits until then for others with the same untested part; without a
 * crash they are no reason to refuse it.
 */
asio::awaitable<std::optional<send_refusal>> prompt_guard::wait_for_turn(time_point untested_until)
{
    const time_point last_check = std::min(call_.deadline, monotonic_clock::now() + max_turn_wait);
    while (!call_.cancel->cancelled()) {
        const time_point now = monotonic_clock::now();
        const prompt_verdict verdict = call_.context.crashes->judge(parts(), now);
        if (auto refused = refusal_of(verdict)) {
            co_return refused;
        }
        turn_ = call_.context.turns->take(verdict, now);
        const bool untested = verdict.standing == prompt_standing::untested;
        if (turn_ || verdict.standing == prompt_standing::sound ||
            (untested && now >= untested_until)) {
            co_return std::nullopt;
        }
        if (now >= last_check) {
            co_return send_refusal{"part " + verdict.unproven.front() +
                                       " of the prompt may crash servers and is being tried",
                                   now + max_turn_wait};
        }
        co_await sleep_for(turn_check_interval);
    }
    co_return std::nullopt;
}

asio::awaitable<guarded_slot> prompt_guard::admit(replica_queue_request request)
{
    guarded_slot slot;
    const time_point began = monotonic_clock::now();
    slot.refusal = co_await wait_for_turn(request.wait_until);
    if (slot.refusal || call_.cancel->cancelled()) {
        co_return slot;
    }
    const duration waited = monotonic_clock::now() - began; // For the turn, not for a slot.
    request.wait_until = std::min(request.wait_until + waited, call_.deadline);
    slot.granted = co_await call_.context.queue->admit(std::move(request));
    slot.refusal = find_refusal(); // Blocked since the call was queued.
    if (!slot.refusal && slot.granted.outcome != replica_queue_outcome::admitted) {
        slot.refusal = send_refusal{std::string(to_text(slot.granted.outcome)) + " (" +
                                        slot.granted.replica_summary + ")",
                                    slot.granted.paused_until};
    }
    co_return slot;
}

bool prompt_guard::may_retry() const
{
    return call_.context.crashes->judge(parts(), monotonic_clock::now()).may_retry;
}

void prompt_guard::note_event(std::uint32_t events)
{
    if (events == min_events_of_sound_prompt) {
        note_whole_answer();
    }
}

void prompt_guard::note_whole_answer()
{
    call_.context.crashes->note_answer(parts(), monotonic_clock::now());
    turn_.reset();
}

asio::awaitable<void> prompt_guard::check_crash(selected_replica selected,
                                                std::uint32_t events) const
{
    if (parts().empty() || events > max_events_before_crash) {
        co_return;
    }
    const serving_replica& replica = selected.replica;
    const auto links = call_.context.links;
    if (links && links->is_cut_off(replica.service)) {
        co_return; // This node can't tell a server that has ended from its own missing links.
    }
    http_client& http = *call_.context.http;
    bool ended = co_await http.refuses_connections(replica.head_address, crash_check_timeout);
    if (!ended) {
        co_await sleep_for(crash_recheck_delay);
        ended = co_await http.refuses_connections(replica.head_address, crash_check_timeout);
    }
    if (ended && links) {
        const bool reaches_none = co_await links->reaches_none(replica.service);
        ended = !reaches_none;
    }
    if (ended) {
        log_crash(call_, selected, events);
        call_.context.crashes->note_crash(head_incarnation(replica), parts(),
                                          monotonic_clock::now());
    }
}

} // namespace chervildyke
