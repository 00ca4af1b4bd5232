/** \file
 * The program chervil-load: callers, recorded traces and experiments.
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
#include "load/report.h"
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

int bad_use(const std::string& why)
{
    std::cerr << "chervil-load: " << why << " (see --help)\n";
    return exit_bad_settings;
}

/** Runs one task to its end. */
template <typename Result>
Result run_to_end(const std::function<asio::awaitable<Result>()>& task)
{
    std::signal(SIGPIPE, SIG_IGN);
    asio::io_context context;
    Result result{};
    asio::co_spawn(context, task(), [&](const std::exception_ptr& thrown, Result ended) {
        result = std::move(ended);
        context.stop();
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.run();
    return result;
}

void print_tries(const std::vector<try_result>& tries)
{
    for (const try_result& each : tries) {
        const auto ms = [&](time_point at) {
            return std::chrono::duration<double, std::milli>(at - each.started).count();
        };
        std::cout << each.entry << ": " << to_string(each.ended) << " (status " << each.status
                  << ") after " << ms(each.ended_at) << " ms";
        if (each.first_token != time_point()) {
            samples gaps;
            for (const float gap : each.gaps_ms) {
                gaps.add(gap);
            }
            std::cout << "; first token " << ms(each.first_token) << " ms, between tokens "
                      << gaps.quantile(0.5) << " ms (p95 " << gaps.quantile(0.95) << " ms)";
        }
        std::cout << "\n" << (each.text.empty() ? each.reason : each.text) << "\n";
    }
}

int make_call(const cxxopts::ParseResult& given, const fleet& where)
{
    call_spec spec;
    spec.tenant = given["tenant"].as<std::string>();
    for (const fleet_tenant& tenant : where.tenants) {
        if (tenant.name == spec.tenant || spec.bearer.empty()) {
            spec.bearer = tenant.key;
        }
    }
    spec.team = given["team"].as<std::string>();
    spec.operation = given["operation"].as<std::string>();
    spec.key = given["key"].as<std::string>();
    spec.body = given["prompt"].as<std::string>();
    const bool marked = spec.body.find("[[") != std::string::npos;
    spec.prompt = marked ? spec.body : "[[" + spec.body + "]]";
    spec.subject = standin::answer_subject(spec.prompt);
    spec.tokens = given["tokens"].as<std::uint32_t>();
    spec.tries = given["tries"].as<std::uint32_t>();
    const auto seed = given["seed"].as<std::uint64_t>();
    const auto task = [&]() -> asio::awaitable<std::vector<try_result>> {
        const auto executor = co_await asio::this_coro::executor;
        const auto http = std::make_shared<http_client>(executor);
        caller by(http, where.entry_addresses(), seeded_random(seed));
        co_return co_await by.call(spec);
    };
    const auto tries = run_to_end<std::vector<try_result>>(task);
    print_tries(tries);
    oracle judge;
    judge.judge(spec, tries.back());
    if (judge.found().total() > 0) {
        std::cout << judge.found().first << "\n";
    }
    return judge.found().total() == 0 && tries.back().ended == outcome::complete ? exit_success
                                                                                 : exit_failure;
}

int experiment(const cxxopts::ParseResult& given, const fleet& where, const std::string& file)
{
    schema::load_experiment read;
    const auto faults = load_document(file, read);
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
            std::cerr << "\r" << read.name() << ": " << line << "   " << std::flush;
        }
    };
    const auto task = [&] { return run_experiment(read, where, seed, act, progress); };
    const auto result = run_to_end<experiment_result>(task);
    std::cout << (on_terminal ? "\n" : "") << result.summary();
    if (given.count("json") != 0 &&
        !write_file(given["json"].as<std::string>(), result.to_json())) {
        return bad_use("can't write " + given["json"].as<std::string>());
    }
    return result.passed() ? exit_success : exit_failure;
}

int list(const std::string& folder)
{
    std::vector<std::string> names;
    int code = exit_success;
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        schema::load_experiment read;
        if (file.path().extension() != ".json") {
            continue;
        }
        const auto faults = load_document(file.path().string(), read);
        for (const settings_fault& fault : faults) {
            std::cerr << fault.to_string() << "\n";
        }
        code = faults.empty() ? code : exit_bad_settings;
        names.push_back(read.name() + ": " + read.purpose());
    }
    std::sort(names.begin(), names.end());
    for (const std::string& name : names) {
        std::cout << name << "\n";
    }
    return code;
}

int replay(const fleet& where, const std::string& file)
{
    std::vector<std::string> faults;
    const auto trace = read_trace(read_file(file), faults);
    for (const std::string& fault : faults) {
        std::cerr << file << ": " << fault << "\n";
    }
    if (!faults.empty() || trace.empty()) {
        return bad_use("no readable trace in " + file);
    }
    const auto task = [&] { return replay_trace(trace, where); };
    const auto differences = run_to_end<std::vector<std::string>>(task);
    for (const std::string& difference : differences) {
        std::cout << difference << "\n";
    }
    std::cout << trace.size() << " calls replayed, " << differences.size() << " differences\n";
    return differences.empty() ? exit_success : exit_failure;
}

int report(const std::vector<std::string>& files, const std::string& out)
{
    std::vector<std::string> results;
    for (const std::string& file : files) {
        results.push_back(read_file(file));
    }
    return write_file(out, html_report(results)) ? exit_success : bad_use("can't write " + out);
}

int run_command(const cxxopts::ParseResult& given)
{
    const auto what = given["what"].as<std::vector<std::string>>();
    const std::string& command = what.front();
    const std::vector<std::string> rest(what.begin() + 1, what.end());
    const auto folder = given["experiments"].as<std::string>();
    if (command == "list") {
        return list(folder);
    }
    if (command == "report") {
        return report(rest, given["out"].as<std::string>());
    }
    const auto where = read_fleet(given["fleet"].as<std::string>());
    if (!where) {
        return bad_use("can't read the fleet's description, --fleet RUN/fleet.json");
    }
    if (command == "call") {
        return make_call(given, *where);
    }
    if (command == "run" && given.count("settings") != 0) {
        return experiment(given, *where, given["settings"].as<std::string>());
    }
    if (command == "experiment" && rest.size() == 1) {
        return experiment(given, *where, folder + "/" + rest.front() + ".json");
    }
    if (command == "replay" && rest.size() == 1) {
        return replay(*where, rest.front());
    }
    return bad_use("unknown command");
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("chervil-load", "Callers, traces and experiments");
    options.custom_help("call | run --settings FILE | experiment NAME | list | replay TRACE | "
                        "report FILES...  [OPTIONS]");
    options.add_options()("what", "", cxxopts::value<std::vector<std::string>>())(
        "fleet", "what start-fleet wrote",
        cxxopts::value<std::string>()->default_value("fleet.json"))(
        "experiments", "the folder of experiments",
        cxxopts::value<std::string>()->default_value("scenarios/experiments"))(
        "settings", "an experiment's file",
        cxxopts::value<std::string>())("check-settings", "only check the experiment's file")(
        "seed", "the seed of load and faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "where the result goes", cxxopts::value<std::string>())(
        "actions", "where actions on processes are written, one a line",
        cxxopts::value<std::string>()->default_value("/dev/null"))(
        "o,out", "the page to write", cxxopts::value<std::string>()->default_value("report.html"))(
        "tenant", "", cxxopts::value<std::string>()->default_value(""))(
        "team", "", cxxopts::value<std::string>()->default_value(""))(
        "operation", "service/operation", cxxopts::value<std::string>()->default_value(""))(
        "key", "idempotency key", cxxopts::value<std::string>()->default_value(""))(
        "prompt", "the prompt, or the operation's body",
        cxxopts::value<std::string>()->default_value("{}"))(
        "tokens", "", cxxopts::value<std::uint32_t>()->default_value("24"))(
        "tries", "", cxxopts::value<std::uint32_t>()->default_value("4"))(
        "version", "print the version and end")("help", "print this and end");
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
            return bad_use("give a command");
        }
        return run_command(given);
    }
    catch (const cxxopts::exceptions::exception& error) {
        return bad_use(error.what());
    }
}
