/** \file
 * Implements prompt_guard.
 */
#include "relay/prompt_guard.h"

#include <utility>

#include "relay/attempt_log.h"

namespace chervildyke {

namespace {

// A server that crashes on a prompt does so with the first token of the answer, of which at most
// one event can get out. With more events the prompt is sound.
constexpr std::uint32_t max_events_before_crash = 1;
constexpr std::uint32_t min_events_of_sound_prompt = 3;

constexpr duration crash_check_timeout = 250ms; // Of connecting to a server that broke off.

// Between two connections to a server that broke off. A process that ends may close its listening
// socket last.
constexpr duration crash_recheck_delay = 50ms;

std::vector<prompt_part> parts_of(const relayed_call& call)
{
    std::vector<prompt_part> parts;
    for (const std::string& id : call.parameters.shared_parts) {
        parts.push_back({call.service, call.parameters.model, id});
    }
    return parts;
}

} // namespace

prompt_guard::prompt_guard(relayed_call& call) : call_(call), parts_(parts_of(call)) {}

std::optional<prompt_refusal> prompt_guard::find_refusal() const
{
    const auto blocked = call_.context.crashes->find_blocked(parts_, monotonic_clock::now());
    if (!blocked) {
        return std::nullopt;
    }
    return prompt_refusal{"part " + blocked->part.id + " of the prompt has crashed " +
                              std::to_string(blocked->crashes) + " servers",
                          blocked->until};
}

bool prompt_guard::may_retry() const
{
    return !call_.context.crashes->is_suspect(parts_, monotonic_clock::now());
}

void prompt_guard::note_event(std::uint32_t events) const
{
    if (events == min_events_of_sound_prompt) {
        call_.context.crashes->note_answer(parts_, monotonic_clock::now());
    }
}

void prompt_guard::note_whole_answer() const
{
    call_.context.crashes->note_answer(parts_, monotonic_clock::now());
}

boost::asio::awaitable<void> prompt_guard::check_crash(selected_replica selected,
                                                       std::uint32_t events) const
{
    if (parts_.empty() || events > max_events_before_crash) {
        co_return;
    }
    const serving_replica& replica = selected.replica;
    http_client& http = *call_.context.http;
    bool ended = co_await http.refuses_connections(replica.head_address, crash_check_timeout);
    if (!ended) {
        co_await sleep_for(crash_recheck_delay);
        ended = co_await http.refuses_connections(replica.head_address, crash_check_timeout);
    }
    if (ended) {
        log_crash(call_, selected, events);
        call_.context.crashes->note_crash(head_incarnation(replica), parts_,
                                          monotonic_clock::now());
    }
}

} // namespace chervildyke
