/** \file
 * The program chervil-soak: runs real nodes under faults drawn from a seed and checks what they
 * promise.
 */
#include <cstdio>
#include <filesystem>
#include <iostream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <cxxopts.hpp>

#include "base/program.h"
#include "soak/fault_player.h"
#include "soak/fleet.h"

using namespace chervildyke;
using namespace chervildyke::soak;
namespace asio = boost::asio;

namespace {

constexpr duration forming_time = 4s;    // Until the first replicas serve.
constexpr duration recovery_time = 12s;  // From the last fault to full service.
constexpr duration measured_time = 4s;   // In which recovery is measured.
constexpr double recovered_share = 0.25; // Of calls that must be served again.

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

asio::awaitable<int> run(soak_fleet& fleet, const fleet_options& options, duration span)
{
    if (!fleet.start()) {
        std::cerr << "chervil-soak: " << fleet.last_reason() << '\n';
        co_return exit_failure;
    }
    co_await sleep_for(forming_time);
    print("formed", fleet.people().counts());
    fault_player faults(co_await asio::this_coro::executor, fleet);
    const time_point began = monotonic_clock::now();
    for (const planned_fault& fault : draw_schedule(options.seed, span)) {
        const duration wait = began + fault.at - monotonic_clock::now();
        co_await sleep_for(wait);
        std::cout << in_seconds(monotonic_clock::now() - began) << "  " << fault.to_string()
                  << std::endl;
        faults.begin(fault);
    }
    co_await faults.all_settled();
    co_await sleep_for(recovery_time);
    print("recovered", fleet.people().counts());
    const auto before = fleet.people().counts_by_kind();
    co_await sleep_for(measured_time);
    for (const auto& [kind, counts] : fleet.people().counts_by_kind()) {
        const auto earlier = before.find(kind);
        const double share =
            served_share(earlier == before.end() ? call_counts() : earlier->second, counts);
        std::cout << "served after recovery, " << kind << ": " << share << '\n';
        if (share < recovered_share) {
            fleet.book().broken("recover", "only a share of " + std::to_string(share) + " of " +
                                               kind + " is served");
        }
    }
    co_await fleet.stop();
    fleet.book().close();
    print("ended", fleet.people().counts());
    for (const std::string& finding : fleet.book().findings()) {
        std::cout << "BROKEN " << finding << '\n';
    }
    std::cout << "seed " << options.seed << ": " << fleet.book().findings().size()
              << " findings in " << fleet.book().calls() << " calls" << std::endl;
    co_return fleet.book().findings().empty() ? exit_success : exit_failure;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options known("chervil-soak", "Runs chervil-node under faults drawn from a seed.");
    known.add_options()("seed", "what the faults are drawn from",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "the time in which faults begin",
        cxxopts::value<unsigned>()->default_value("20"))(
        "nodes", "how many nodes run", cxxopts::value<std::size_t>()->default_value("4"))(
        "model-servers", "how many VMs run models",
        cxxopts::value<std::size_t>()->default_value("14"))(
        "node-program", "the program of a node",
        cxxopts::value<std::string>()->default_value("build/bin/chervil-node"))(
        "folder", "where settings and logs go",
        cxxopts::value<std::string>()->default_value("run/soak"))(
        "net", "addresses are 127.NET.x.y; 0: taken from the seed",
        cxxopts::value<std::uint32_t>()->default_value("0"))("help", "prints this text");
    try {
        const auto given = known.parse(argc, argv);
        if (given.count("help") > 0) {
            std::cout << known.help();
            return exit_success;
        }
        constexpr std::uint64_t nets = 100; // Seeds that may run side by side.
        fleet_options options;
        options.seed = given["seed"].as<std::uint64_t>();
        options.nodes = given["nodes"].as<std::size_t>();
        options.model_servers = given["model-servers"].as<std::size_t>();
        options.node_program = given["node-program"].as<std::string>();
        options.folder = given["folder"].as<std::string>();
        options.net = given["net"].as<std::uint32_t>();
        if (options.net == 0) {
            options.net = static_cast<std::uint32_t>(nets + options.seed % nets);
        }
        std::filesystem::create_directories(options.folder);
        const std::chrono::seconds span(given["seconds"].as<unsigned>());
        asio::io_context context(1);
        soak_fleet fleet(context.get_executor(), options);
        return run_main_task(context, [&] { return run(fleet, options, span); });
    }
    catch (const std::exception& error) {
        std::cerr << "chervil-soak: " << error.what() << '\n';
        return exit_bad_settings;
    }
}
