/** \file
 * Implements the reading and the replay of recorded traces.
 */
#include "load/trace.h"

#include <map>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "load/entry_caller.h"
#include "load/invariant_checker.h"
#include "standin/answer_token.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration open_calls_timeout = 60s; // After the trace's last call began.
constexpr duration open_calls_poll_interval = 20ms;
constexpr std::uint64_t caller_seed = 1;

/** The state that the calls of a replay share. */
struct replay_state {
    std::shared_ptr<entry_caller> caller;
    fleet_description fleet;
    invariant_checker checker;
    std::vector<std::string> differences;
    std::map<std::string, std::string> answers; // The first answer, by idempotency key.
    std::size_t open_calls = 0;
};

call_spec to_spec(const trace_call& call, const fleet_description& fleet)
{
    call_spec spec;
    spec.tenant = call.tenant;
    for (const fleet_tenant& tenant : fleet.tenants) {
        if (tenant.name == call.tenant) {
            spec.api_key = tenant.api_key;
        }
    }
    spec.team = call.team;
    spec.prompt = call.prompt;
    spec.answer_subject = standin::answer_subject(call.prompt);
    spec.max_tokens = call.max_tokens;
    spec.operation = call.operation;
    spec.body = call.body;
    spec.idempotency_key = call.idempotency_key;
    spec.deadline_ms = call.deadline_ms;
    return spec;
}

asio::awaitable<void> replay_call(replay_state& replay, trace_call call)
{
    ++replay.open_calls;
    const call_spec spec = to_spec(call, replay.fleet);
    const auto attempts = co_await replay.caller->call(spec);
    --replay.open_calls;
    const attempt_result& last = attempts.back();
    replay.checker.check_attempt(spec, last);
    const auto add_difference = [&](const std::string& expectation) {
        replay.differences.push_back("line " + std::to_string(call.line) + ": " + expectation +
                                     ", found " + to_string(last.outcome) + ", status " +
                                     std::to_string(last.status) + " " + last.reason);
    };
    if (!call.expected_outcome.empty() && call.expected_outcome != to_string(last.outcome)) {
        add_difference("expected outcome " + call.expected_outcome);
    }
    if (call.expected_status != 0 && call.expected_status != last.status) {
        add_difference("expected status " + std::to_string(call.expected_status));
    }
    if (!call.same_as.empty() && replay.answers[call.same_as] != last.text) {
        add_difference("expected the answer to " + call.same_as);
    }
    replay.answers.emplace(call.idempotency_key, last.text);
}

} // namespace

std::vector<trace_call> read_trace(const std::string& text, std::vector<std::string>& errors)
{
    std::vector<trace_call> trace;
    std::istringstream stream(text);
    std::string line;
    for (std::size_t number = 1; std::getline(stream, line); ++number) {
        if (line.empty() || line.starts_with("//")) {
            continue;
        }
        const auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object() || (!json.contains("team") && !json.contains("operation"))) {
            errors.push_back("line " + std::to_string(number) +
                             ": expected an object with a team or an operation");
            continue;
        }
        trace_call call;
        call.line = number;
        call.at_ms = json.value("at_ms", 0.0);
        call.tenant = json.value("tenant", "");
        call.team = json.value("team", "");
        call.prompt = json.value("prompt", "");
        call.max_tokens = json.value("tokens", 0U);
        call.operation = json.value("operation", "");
        call.body = json.contains("body") ? json["body"].dump() : "{}";
        call.idempotency_key = json.value("key", "");
        call.deadline_ms = json.value("deadline_ms", 0U);
        call.expected_outcome = json.value("outcome", "");
        call.expected_status = json.value("status", 0U);
        call.same_as = json.value("same_as", "");
        call.wait = json.value("wait", true);
        trace.push_back(call);
    }
    return trace;
}

asio::awaitable<std::vector<std::string>> replay_trace(std::vector<trace_call> trace,
                                                       fleet_description fleet)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto http = std::make_shared<http_client>(executor);
    replay_state replay;
    replay.fleet = fleet;
    replay.caller =
        std::make_shared<entry_caller>(http, fleet.entry_addresses(), seeded_random(caller_seed));
    const time_point started_at = monotonic_clock::now();
    for (const trace_call& call : trace) {
        const auto due = std::chrono::duration<double, std::milli>(call.at_ms);
        const duration wait =
            started_at + std::chrono::duration_cast<duration>(due) - monotonic_clock::now();
        if (wait > duration::zero()) {
            co_await sleep_for(wait);
        }
        if (call.wait) {
            co_await replay_call(replay, call);
        }
        else {
            asio::co_spawn(executor, replay_call(replay, call), asio::detached);
        }
    }
    const time_point deadline = monotonic_clock::now() + open_calls_timeout;
    while (replay.open_calls > 0 && monotonic_clock::now() < deadline) {
        co_await sleep_for(open_calls_poll_interval);
    }
    if (!replay.checker.violations().first.empty()) {
        replay.differences.push_back(replay.checker.violations().first);
    }
    co_return replay.differences;
}

} // namespace chervildyke::load
