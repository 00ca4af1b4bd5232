/** \file
 * Implements the reading and replay of recorded traces.
 */
#include "load/trace.h"

#include <map>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "load/caller.h"
#include "load/oracle.h"
#include "standin/answer_token.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration late_calls_limit = 60s;

struct replay {
    std::shared_ptr<caller> by;
    fleet where;
    oracle judge;
    std::vector<std::string> differences;
    std::map<std::string, std::string> confirmations;
    std::size_t open = 0;
};

call_spec to_spec(const trace_line& line, const fleet& where)
{
    call_spec spec;
    spec.tenant = line.tenant;
    for (const fleet_tenant& tenant : where.tenants) {
        if (tenant.name == line.tenant) {
            spec.bearer = tenant.key;
        }
    }
    spec.team = line.team;
    spec.prompt = line.prompt;
    spec.subject = standin::answer_subject(line.prompt);
    spec.tokens = line.tokens;
    spec.operation = line.operation;
    spec.body = line.body;
    spec.key = line.key;
    spec.deadline_ms = line.deadline_ms;
    return spec;
}

asio::awaitable<void> replay_line(replay& run, trace_line line)
{
    ++run.open;
    const call_spec spec = to_spec(line, run.where);
    const auto tries = co_await run.by->call(spec);
    --run.open;
    const try_result& last = tries.back();
    run.judge.judge(spec, last);
    const auto differs = [&](const std::string& what) {
        run.differences.push_back("line " + std::to_string(line.line) + ": " + what + " (" +
                                  to_string(last.ended) + ", status " +
                                  std::to_string(last.status) + " " + last.reason + ")");
    };
    if (!line.outcome.empty() && line.outcome != to_string(last.ended)) {
        differs("stated outcome " + line.outcome);
    }
    if (line.status != 0 && line.status != last.status) {
        differs("stated status " + std::to_string(line.status));
    }
    if (!line.same_as.empty() && run.confirmations[line.same_as] != last.text) {
        differs("not the confirmation of " + line.same_as);
    }
    run.confirmations.emplace(line.key, last.text);
}

} // namespace

std::vector<trace_line> read_trace(const std::string& text, std::vector<std::string>& faults)
{
    std::vector<trace_line> trace;
    std::istringstream stream(text);
    std::string row;
    for (std::size_t number = 1; std::getline(stream, row); ++number) {
        if (row.empty() || row.starts_with("//")) {
            continue;
        }
        const auto json = nlohmann::json::parse(row, nullptr, false);
        if (!json.is_object() || (!json.contains("team") && !json.contains("operation"))) {
            faults.push_back("line " + std::to_string(number) +
                             ": expected an object with a team or an operation");
            continue;
        }
        trace_line line;
        line.line = number;
        line.at_ms = json.value("at_ms", 0.0);
        line.tenant = json.value("tenant", "");
        line.team = json.value("team", "");
        line.prompt = json.value("prompt", "");
        line.tokens = json.value("tokens", 0U);
        line.operation = json.value("operation", "");
        line.body = json.contains("body") ? json["body"].dump() : "{}";
        line.key = json.value("key", "");
        line.deadline_ms = json.value("deadline_ms", 0U);
        line.outcome = json.value("outcome", "");
        line.status = json.value("status", 0U);
        line.same_as = json.value("same_as", "");
        line.wait = json.value("wait", true);
        trace.push_back(line);
    }
    return trace;
}

asio::awaitable<std::vector<std::string>> replay_trace(std::vector<trace_line> trace, fleet where)
{
    const auto executor = co_await asio::this_coro::executor;
    const auto http = std::make_shared<http_client>(executor);
    replay run;
    run.where = where;
    run.by = std::make_shared<caller>(http, where.entry_addresses(), seeded_random(1));
    const time_point start = monotonic_clock::now();
    for (const trace_line& line : trace) {
        const auto due = std::chrono::duration<double, std::milli>(line.at_ms);
        const duration wait =
            start + std::chrono::duration_cast<duration>(due) - monotonic_clock::now();
        if (wait > duration::zero()) {
            co_await sleep_for(wait);
        }
        if (line.wait) {
            co_await replay_line(run, line);
        }
        else {
            asio::co_spawn(executor, replay_line(run, line), asio::detached);
        }
    }
    const time_point patience = monotonic_clock::now() + late_calls_limit;
    while (run.open > 0 && monotonic_clock::now() < patience) {
        co_await sleep_for(20ms);
    }
    if (!run.judge.found().first.empty()) {
        run.differences.push_back(run.judge.found().first);
    }
    co_return run.differences;
}

} // namespace chervildyke::load
