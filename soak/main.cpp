/** \file
 * The program chervil-soak, which runs real nodes under faults drawn from a seed and checks what
 * they guarantee.
 */
#include <cstdio>
#include <filesystem>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "base/program.h"
#include "soak/fault_injector.h"
#include "soak/fleet.h"

using namespace chervildyke;
using namespace chervildyke::soak;
namespace asio = boost::asio;

namespace {

constexpr duration formation_time = 4s;   // Until the first replicas serve.
constexpr duration recovery_time = 12s;   // From the last fault to full service.
constexpr duration measurement_time = 4s; // For which calls are counted after recovery.
constexpr std::size_t callers_per_node = 6;
constexpr std::size_t default_model_server_count = 14;
constexpr std::size_t poison_model_server_count = 28; // Enough replicas serve after five crashes.
constexpr double min_served_share = 0.25; // Of the calls of each model or route, after recovery.

std::string in_seconds(duration span)
{
    std::array<char, 16> text{};
    std::snprintf(text.data(), text.size(), "%7.3f", std::chrono::duration<double>(span).count());
    return text.data();
}

double served_share(const call_counts& before, const call_counts& after)
{
    const std::uint64_t sent = after.sent - before.sent;
    return sent == 0
               ? 0
               : static_cast<double>(after.served - before.served) / static_cast<double>(sent);
}

void print(const char* what, const call_counts& counts)
{
    std::cout << what << ": sent " << counts.sent << ", served " << counts.served << ", refused "
              << counts.refused << ", failed " << counts.failed << '\n';
}

asio::awaitable<int> run(soak_fleet& fleet, const fleet_options& options, duration span,
                         schedule_options schedule)
{
    if (!fleet.start()) {
        std::cerr << "chervil-soak: " << fleet.last_reason() << '\n';
        co_return exit_failure;
    }
    co_await sleep_for(formation_time);
    print("formed", fleet.callers().counts());
    fleet.poison().start_baseline();
    fault_injector faults(co_await asio::this_coro::executor, fleet);
    const time_point schedule_start = monotonic_clock::now();
    for (const scheduled_fault& fault : draw_schedule(options.seed, span, schedule)) {
        const duration wait = schedule_start + fault.start - monotonic_clock::now();
        co_await sleep_for(wait);
        std::cout << in_seconds(monotonic_clock::now() - schedule_start) << "  "
                  << fault.to_string() << std::endl;
        faults.start(fault);
    }
    co_await faults.wait_until_recovered();
    co_await sleep_for(recovery_time);
    print("recovered", fleet.callers().counts());
    const auto before = fleet.callers().counts_by_workload();
    co_await sleep_for(measurement_time);
    for (const auto& [workload, counts] : fleet.callers().counts_by_workload()) {
        const auto earlier = before.find(workload);
        const double share =
            served_share(earlier == before.end() ? call_counts() : earlier->second, counts);
        std::cout << "served after recovery, " << workload << ": " << share << '\n';
        if (share < min_served_share) {
            fleet.checker().add_finding("recover", "only a share of " + std::to_string(share) +
                                                       " of the calls of " + workload +
                                                       " is served after recovery");
        }
    }
    co_await fleet.stop();
    fleet.checker().check_final_state();
    fleet.poison().check_final_state(fleet.checker());
    if (fleet.poison().crash_count() > 0) {
        std::cout << fleet.poison().crash_count() << " servers crashed by prompts\n";
    }
    print("ended", fleet.callers().counts());
    for (const auto& node : fleet.nodes()) {
        std::cout << node->name << " used " << (node->peak_bytes >> 20U) << " MB at most\n";
    }
    for (const std::string& finding : fleet.checker().findings()) {
        std::cout << "BROKEN " << finding << '\n';
    }
    std::cout << "seed " << options.seed << ": " << fleet.checker().findings().size()
              << " findings in " << fleet.checker().call_count() << " calls" << std::endl;
    co_return fleet.checker().findings().empty() ? exit_success : exit_failure;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options parser("chervil-soak", "Runs chervil-node under faults drawn from a seed.");
    parser.add_options()("seed", "the seed from which the faults are drawn",
                         cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "the time within which faults start, in seconds",
        cxxopts::value<unsigned>()->default_value("20"))(
        "nodes", "the number of nodes", cxxopts::value<std::size_t>()->default_value("4"))(
        "model-servers", "the number of VMs that run models; by default 14, and 28 with --poison",
        cxxopts::value<std::size_t>())("order-servers", "the number of servers of orders",
                                       cxxopts::value<std::size_t>()->default_value("2"))(
        "callers", "the number of callers; by default 6 for each node",
        cxxopts::value<std::size_t>())(
        "node-program", "the program of a node",
        cxxopts::value<std::string>()->default_value("build/bin/chervil-node"))(
        "other-node-program",
        "the program of every second node, such as that of an older release; by default the same",
        cxxopts::value<std::string>())("folder",
                                       "the folder for the settings and logs of the nodes",
                                       cxxopts::value<std::string>()->default_value("run/soak"))(
        "poison", "add calls whose prompts crash servers")(
        "restores", "add restores of the store from an older copy")(
        "missed-changes",
        "add changes and a revoked key while the store rejects a node, and small "
        "answers of the store")("endless", "add servers whose answers go on without end")(
        "isolations", "add servers that reach neither the store nor the nodes for a while")(
        "excusing-nothing-only", "draw only faults that excuse no lost answer")(
        "net", "second byte of all addresses, 127.NET.x.y; 0: derived from the seed",
        cxxopts::value<std::uint32_t>()->default_value("0"))("help", "prints this text");
    try {
        const auto arguments = parser.parse(argc, argv);
        if (arguments.count("help") > 0) {
            std::cout << parser.help();
            return exit_success;
        }
        // Seeds that run at the same time need different networks: 100 to 199.
        constexpr std::uint64_t network_count = 100;
        fleet_options options;
        options.seed = arguments["seed"].as<std::uint64_t>();
        options.node_count = arguments["nodes"].as<std::size_t>();
        const bool sets_model_servers = arguments.count("model-servers") > 0;
        const bool poison = arguments.count("poison") > 0;
        options.model_server_count = sets_model_servers
                                         ? arguments["model-servers"].as<std::size_t>()
                                     : poison ? poison_model_server_count
                                              : default_model_server_count;
        options.order_server_count = arguments["order-servers"].as<std::size_t>();
        options.caller_count = arguments.count("callers") > 0
                                   ? arguments["callers"].as<std::size_t>()
                                   : callers_per_node * options.node_count;
        options.node_program = arguments["node-program"].as<std::string>();
        if (arguments.count("other-node-program") > 0) {
            options.other_node_program = arguments["other-node-program"].as<std::string>();
        }
        options.small_store_answers = arguments.count("missed-changes") > 0;
        options.folder = arguments["folder"].as<std::string>();
        options.network_number = arguments["net"].as<std::uint32_t>();
        if (options.network_number == 0) {
            options.network_number =
                static_cast<std::uint32_t>(network_count + options.seed % network_count);
        }
        std::filesystem::create_directories(options.folder);
        const std::chrono::seconds span(arguments["seconds"].as<unsigned>());
        schedule_options schedule;
        schedule.excusing_nothing_only = arguments.count("excusing-nothing-only") > 0;
        schedule.poison = poison;
        schedule.endless = arguments.count("endless") > 0;
        schedule.isolations = arguments.count("isolations") > 0;
        schedule.restores = arguments.count("restores") > 0;
        schedule.missed_changes = arguments.count("missed-changes") > 0;
        asio::io_context context(1);
        soak_fleet fleet(context.get_executor(), options);
        return run_main_task(context, [&] { return run(fleet, options, span, schedule); });
    }
    catch (const std::exception& error) {
        std::cerr << "chervil-soak: " << error.what() << '\n';
        return exit_bad_settings;
    }
}
