/** \file
 * Implements the log lines about attempts.
 */
#include "relay/attempt_log.h"

#include <string>

#include "base/event_log.h"

namespace chervildyke {

namespace {

const event_log call_log("call");

}

void log_silence(const relayed_call& call, const selected_replica& selected,
                 const silent_attempt& silent, bool answer_began, std::string_view decision)
{
    call_log.write("attempt_silent", {{"request", call.parameters.id},
                                      {"replica", selected.replica.name},
                                      {"head", selected.replica.head_id},
                                      {"silent_ms", to_ms_text(silent.own_silence)},
                                      {"replica_silent_ms", to_ms_text(silent.replica_silence)},
                                      {"expected_ms", to_ms_text(silent.expected)},
                                      {"replica_serves", silent.replica_is_serving ? "yes" : "no"},
                                      {"answer_began", answer_began ? "yes" : "no"},
                                      {"decision", std::string(decision)}});
}

void log_failed_attempt(const relayed_call& call, const selected_replica& selected,
                        time_point sent_at, std::string_view reason)
{
    call_log.write("attempt_failed", {{"request", call.parameters.id},
                                      {"replica", selected.replica.name},
                                      {"head", selected.replica.head_id},
                                      {"running", std::to_string(selected.running)},
                                      {"predicted_ms", to_ms_text(selected.first_event)},
                                      {"after_ms", to_ms_text(monotonic_clock::now() - sent_at)},
                                      {"events", std::to_string(call.end.events)},
                                      {"reason", std::string(reason)}});
}

void log_crash(const relayed_call& call, const selected_replica& selected, std::uint32_t events)
{
    const serving_replica& replica = selected.replica;
    call_log.write(
        "server_crashed",
        {{"request", call.parameters.id},
         {"replica", replica.name},
         {"head", replica.head_id},
         {"started_ms", std::to_string(replica.head_started_ms)},
         {"events", std::to_string(events)},
         {"shared_parts", shared_parts_text(call, call.parameters.shared_parts.size())}});
}

} // namespace chervildyke
