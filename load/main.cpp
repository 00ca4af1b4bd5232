/** \file
 * Implements the program chervil-load: single calls, replays of recorded traces, and experiments.
 */
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "base/program.h"
#include "base/settings.h"
#include "load/experiment.h"
#include "load/html_report.h"
#include "load/trace.h"
#include "load/workload.h"
#include "standin/answer_token.h"

using namespace chervildyke;
using namespace chervildyke::load;
namespace asio = boost::asio;

namespace {

std::string read_file(const std::string& name)
{
    std::ifstream stream(name);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
}

bool write_file(const std::string& name, const std::string& text)
{
    std::ofstream stream(name);
    stream << text << "\n";
    return stream.good();
}

int report_usage_error(const std::string& reason)
{
    std::cerr << "chervil-load: " << reason << " (see --help)\n";
    return exit_bad_settings;
}

/** Runs an event loop until the task completes.
 * \return the task's result.
 */
template <typename Result>
Result run_task(const std::function<asio::awaitable<Result>()>& task)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    Result result{};
    asio::co_spawn(context, task(), [&](const std::exception_ptr& thrown, Result returned) {
        result = std::move(returned);
        context.stop();
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return result;
}

void print_attempts(const std::vector<attempt_result>& attempts)
{
    for (const attempt_result& each : attempts) {
        const auto ms = [&](time_point at) {
            return std::chrono::duration<double, std::milli>(at - each.started_at).count();
        };
        std::cout << each.address << ": " << to_string(each.outcome) << " (status " << each.status
                  << ") after " << ms(each.ended_at) << " ms";
        if (each.first_token_at != time_point()) {
            sample_set gaps;
            for (const float gap_ms : each.token_gaps_ms) {
                gaps.add(gap_ms);
            }
            std::cout << "; first token " << ms(each.first_token_at) << " ms, between tokens "
                      << gaps.quantile(0.5) << " ms (p95 " << gaps.quantile(0.95) << " ms)";
        }
        std::cout << "\n" << (each.text.empty() ? each.reason : each.text) << "\n";
    }
}

int make_call(const cxxopts::ParseResult& given, const fleet_description& fleet)
{
    call_spec spec;
    spec.tenant = given["tenant"].as<std::string>();
    for (const fleet_tenant& tenant : fleet.tenants) {
        if (tenant.name == spec.tenant || spec.api_key.empty()) {
            spec.api_key = tenant.api_key;
        }
    }
    spec.team = given["team"].as<std::string>();
    spec.operation = given["operation"].as<std::string>();
    spec.idempotency_key = given["key"].as<std::string>();
    spec.body = given["prompt"].as<std::string>();
    const bool has_subject = spec.body.find("[[") != std::string::npos;
    spec.prompt = has_subject ? spec.body : "[[" + spec.body + "]]";
    spec.answer_subject = standin::answer_subject(spec.prompt);
    spec.max_tokens = given["tokens"].as<std::uint32_t>();
    spec.max_attempts = given["tries"].as<std::uint32_t>();
    const auto seed = given["seed"].as<std::uint64_t>();
    const auto task = [&]() -> asio::awaitable<std::vector<attempt_result>> {
        const auto executor = co_await asio::this_coro::executor;
        const auto http = std::make_shared<http_client>(executor);
        entry_caller caller(http, fleet.entry_addresses(), seeded_random(seed));
        co_return co_await caller.call(spec);
    };
    const auto attempts = run_task<std::vector<attempt_result>>(task);
    print_attempts(attempts);
    invariant_checker checker;
    checker.check_attempt(spec, attempts.back());
    if (checker.violations().total() > 0) {
        std::cout << checker.violations().first << "\n";
    }
    return checker.violations().total() == 0 && attempts.back().outcome == call_outcome::complete
               ? exit_success
               : exit_failure;
}

int run_experiment_file(const cxxopts::ParseResult& given, const fleet_description& fleet,
                        const std::string& file)
{
    schema::load_experiment experiment;
    const auto faults = load_document(file, experiment);
    for (const settings_fault& fault : faults) {
        std::cerr << fault.to_string() << "\n";
    }
    if (!faults.empty()) {
        return exit_bad_settings;
    }
    if (given.count("check-settings") != 0) {
        return exit_success;
    }
    const auto seed = given["seed"].as<std::uint64_t>();
    std::ofstream actions(given["actions"].as<std::string>());
    const process_action act = [&](const std::string& target, const std::string& action) {
        actions << action << " " << target << std::endl;
    };
    const bool on_terminal = isatty(STDERR_FILENO) != 0;
    const auto progress = [&](const std::string& line) {
        if (on_terminal) {
            std::cerr << "\r" << experiment.name() << ": " << line << "   " << std::flush;
        }
    };
    const auto task = [&] { return run_experiment(experiment, fleet, seed, act, progress); };
    const auto result = run_task<experiment_result>(task);
    std::cout << (on_terminal ? "\n" : "") << result.summary();
    if (given.count("json") != 0 &&
        !write_file(given["json"].as<std::string>(), result.to_json())) {
        return report_usage_error("can't write the result to " + given["json"].as<std::string>());
    }
    return result.passed() ? exit_success : exit_failure;
}

int list_experiments(const std::string& folder)
{
    std::vector<std::string> lines;
    int exit_code = exit_success;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        schema::load_experiment experiment;
        if (file.path().extension() != ".json") {
            continue;
        }
        const auto faults = load_document(file.path().string(), experiment);
        for (const settings_fault& fault : faults) {
            std::cerr << fault.to_string() << "\n";
        }
        exit_code = faults.empty() ? exit_code : exit_bad_settings;
        lines.push_back(experiment.name() + ": " + experiment.purpose());
    }
    std::sort(lines.begin(), lines.end());
    for (const std::string& line : lines) {
        std::cout << line << "\n";
    }
    return exit_code;
}

int replay_trace_file(const fleet_description& fleet, const std::string& file)
{
    std::vector<std::string> errors;
    const auto trace = read_trace(read_file(file), errors);
    for (const std::string& error : errors) {
        std::cerr << file << ": " << error << "\n";
    }
    if (!errors.empty() || trace.empty()) {
        return report_usage_error(
            "expected a trace of at least one call and no malformed line in " + file);
    }
    const auto task = [&] { return replay_trace(trace, fleet); };
    const auto differences = run_task<std::vector<std::string>>(task);
    for (const std::string& difference : differences) {
        std::cout << difference << "\n";
    }
    std::cout << trace.size() << " calls replayed, " << differences.size() << " differences\n";
    return differences.empty() ? exit_success : exit_failure;
}

int write_report(const std::vector<std::string>& files, const std::string& out)
{
    std::vector<std::string> results;
    for (const std::string& file : files) {
        results.push_back(read_file(file));
    }
    return write_file(out, html_report(results))
               ? exit_success
               : report_usage_error("can't write the report to " + out);
}

int run_command(const cxxopts::ParseResult& given)
{
    const auto positional = given["what"].as<std::vector<std::string>>();
    const std::string& command = positional.front();
    const std::vector<std::string> arguments(positional.begin() + 1, positional.end());
    const auto folder = given["experiments"].as<std::string>();
    if (command == "list") {
        return list_experiments(folder);
    }
    if (command == "report") {
        return write_report(arguments, given["out"].as<std::string>());
    }
    const auto fleet = read_fleet_description(given["fleet"].as<std::string>());
    if (!fleet) {
        return report_usage_error("can't read the fleet description " +
                                  given["fleet"].as<std::string>() +
                                  "; give --fleet RUN/fleet.json");
    }
    if (command == "call") {
        return make_call(given, *fleet);
    }
    if (command == "run" && given.count("settings") != 0) {
        return run_experiment_file(given, *fleet, given["settings"].as<std::string>());
    }
    if (command == "experiment" && arguments.size() == 1) {
        return run_experiment_file(given, *fleet, folder + "/" + arguments.front() + ".json");
    }
    if (command == "replay" && arguments.size() == 1) {
        return replay_trace_file(*fleet, arguments.front());
    }
    return report_usage_error("expected a command with its arguments, found: " + command);
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("chervil-load", "Makes calls, replays traces and runs experiments");
    options.custom_help("call | run --settings FILE | experiment NAME | list | replay TRACE | "
                        "report FILES...  [OPTIONS]");
    options.add_options()("what", "", cxxopts::value<std::vector<std::string>>())(
        "fleet", "the fleet description that tools/start-fleet wrote",
        cxxopts::value<std::string>()->default_value("fleet.json"))(
        "experiments", "the folder of experiments",
        cxxopts::value<std::string>()->default_value("scenarios/experiments"))(
        "settings", "the file of an experiment",
        cxxopts::value<std::string>())("check-settings", "only check the file of the experiment")(
        "seed", "the seed of the loads' random draws",
        cxxopts::value<std::uint64_t>()->default_value("1"))("json", "the file for the result",
                                                             cxxopts::value<std::string>())(
        "actions", "the file for actions on processes, one a line",
        cxxopts::value<std::string>()->default_value("/dev/null"))(
        "o,out", "the file for the HTML page",
        cxxopts::value<std::string>()->default_value("report.html"))(
        "tenant", "the tenant that calls; default: the first of the fleet",
        cxxopts::value<std::string>()->default_value(""))(
        "team", "the team whose model is called", cxxopts::value<std::string>()->default_value(""))(
        "operation", "service/operation", cxxopts::value<std::string>()->default_value(""))(
        "key", "idempotency key", cxxopts::value<std::string>()->default_value(""))(
        "prompt", "the prompt, or the operation's body",
        cxxopts::value<std::string>()->default_value("{}"))(
        "tokens", "the maximum number of tokens of an answer",
        cxxopts::value<std::uint32_t>()->default_value("24"))(
        "tries", "the maximum number of attempts of a call",
        cxxopts::value<std::uint32_t>()->default_value("4"))(
        "version", "print the version and exit")("help", "print this help and exit");
    options.parse_positional({"what"});
    try {
        const auto given = options.parse(argc, argv);
        if (given.count("help") != 0) {
            std::cout << options.help() << "\n";
            return exit_success;
        }
        if (given.count("version") != 0) {
            std::cout << "chervil-load " << CHERVIL_VERSION << "\n";
            return exit_success;
        }
        if (given.count("what") == 0) {
            return report_usage_error("expected a command, found none");
        }
        return run_command(given);
    }
    catch (const cxxopts::exceptions::exception& error) {
        return report_usage_error(error.what());
    }
}
