/** \file
 * Shows that the members of an isolated head are joined to other replicas while the head is open.
 */
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>

#include <unistd.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "../common/case_record.h"
#include "base/http_client.h"
#include "base/program.h"
#include "soak/fleet.h"
#include "soak/wire_format.h"

using namespace chervildyke;
using namespace chervildyke::soak;
namespace asio = boost::asio;

namespace {

constexpr std::size_t node_count = 3;
constexpr std::size_t model_server_count = 21; // 3 fabric domains of 7: 9 replicas of 2 VMs.
constexpr std::size_t caller_count = 24;       // Each has one stream at a time.
constexpr duration formation_time = 8s;
constexpr duration steady_time = 8s; // With calls, before the cut.
constexpr duration cut_time = 10s;   // The largest dose of the site files for cut workers.
constexpr duration stall_time = 6s;  // stall-ms of the installations.
constexpr duration poll_interval = 5ms;
constexpr std::uint64_t stream_events = 40;
constexpr duration time_limit = 8s;
constexpr double engine_time_factor = 5; // An event every 40 ms.
constexpr const char* model = "small";

deployment make_deployment()
{
    deployment made;
    made.version = 2;
    made.routes = {{"draft", "/draft/", model_service, true, true, time_limit, 400ms, 1}};
    made.models = {{model, 2, 1.0, 1200ms, 200ms}};
    made.teams = {{"mills", {"mills-1"}}};
    return made;
}

/** Sends streams until it is stopped. */
class callers {
  public:
    callers(asio::any_io_executor executor, soak_fleet& fleet, review::case_record& record)
        : executor_(std::move(executor)), fleet_(fleet), record_(record)
    {
    }

    void start()
    {
        ++active_;
        asio::co_spawn(executor_, run(active_), asio::detached);
    }
    void stop() { running_ = false; }
    bool active() const { return active_ > 0; }

  private:
    asio::awaitable<void> run(int caller)
    {
        for (std::size_t i = 0; running_; ++i) {
            sent_call call;
            call.id = "call-" + std::to_string(caller) + "-" + std::to_string(i);
            call.retry = retry_rule::resumable;
            call.target = "/draft/" + call.id;
            call.team = "mills";
            call.key = "mills-1";
            call.event_count = stream_events;
            call.body = std::to_string(stream_events);
            call.prompt =
                "5c1e07a3:40,a" + std::to_string(caller) + "-" + std::to_string(i) + ":400";
            call.sent_at = monotonic_clock::now();
            call.time_limit = std::chrono::duration_cast<std::chrono::milliseconds>(time_limit);
            fleet_.checker().record_sent(call);
            http_request request = write_call(call, "soak.example", model);
            http_call_options options;
            options.timeout = time_limit;
            options.fresh_connection = true;
            const std::string address = fleet_.nodes()[i % node_count]->ip + ":8000";
            http_client http(executor_);
            auto answer = co_await http.call(address, std::move(request), options);
            record_.write(
                "answered " + call.id + ": " +
                (answer ? "status " + std::to_string(answer->status) : "no complete answer"));
            co_await sleep_for(100ms);
        }
        --active_;
    }

    asio::any_io_executor executor_;
    soak_fleet& fleet_;
    review::case_record& record_;
    int active_ = 0;
    bool running_ = true;
};

/** \return an endpoint whose server is the open head of a replica, or null. */
server_endpoint* find_open_head(const soak_fleet& fleet)
{
    for (const auto& endpoint : fleet.endpoints()) {
        const server_entry& entry = endpoint->server->entry();
        if (entry.phase == membership_phase::open && entry.rank == 0 && !entry.replica.empty()) {
            return endpoint.get();
        }
    }
    return nullptr;
}

void cut(server_endpoint& endpoint, bool blocked)
{
    endpoint.link->faults().forward_blocked = blocked;
    endpoint.link->faults().backward_blocked = blocked;
}

/** Adds the nodes' log lines about a replica and its members. */
void copy_log_lines(const std::filesystem::path& folder, const std::string& replica,
                    review::case_record& record)
{
    for (const auto& file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".log") {
            continue;
        }
        std::ifstream log(file.path());
        for (std::string line; std::getline(log, line);) {
            if (line.find("replica=" + replica + " ") != std::string::npos &&
                line.find("part=assembly") != std::string::npos) {
                record.write("log " + line);
            }
        }
    }
}

asio::awaitable<int> run(soak_fleet& fleet, review::case_record& record, bool trouble,
                         std::filesystem::path folder)
{
    const asio::any_io_executor executor = co_await asio::this_coro::executor;
    if (!fleet.start()) {
        record.write("could not run: " + fleet.last_reason());
        co_return review::could_not_run;
    }
    const std::string configuration = write_configuration(make_deployment());
    fleet.store().put(configuration_topic, configuration_key, configuration);
    co_await sleep_for(formation_time);
    for (const auto& endpoint : fleet.endpoints()) {
        endpoint->server->faults().slowdown_factor = engine_time_factor;
    }
    callers calls(executor, fleet, record);
    for (std::size_t i = 0; i < caller_count; ++i) {
        calls.start();
    }
    co_await sleep_for(steady_time);
    server_endpoint* const head = find_open_head(fleet);
    if (head == nullptr) {
        record.write("could not run: no replica serves");
        co_return review::could_not_run;
    }
    const server_entry before = head->server->entry();
    record.write("head " + before.id + " of " + before.replica + ", epoch " +
                 std::to_string(before.epoch) + (trouble ? ": cut off" : ": not cut off"));
    const time_point cut_at = monotonic_clock::now();
    if (trouble) {
        cut(*head, true);
        head->server->disconnect_from_store(); // Its entry lapses after three heartbeats.
    }
    std::size_t seen = fleet.checker().findings().size();
    bool broken = false;
    while (monotonic_clock::now() - cut_at < cut_time) {
        co_await sleep_for(poll_interval);
        const auto& findings = fleet.checker().findings();
        for (; seen < findings.size(); ++seen) {
            const duration after = monotonic_clock::now() - cut_at;
            record.write("finding after " + std::to_string(after / 1ms) + " ms: " + findings[seen]);
            const bool taken = findings[seen].starts_with("two:") &&
                               findings[seen].find(before.replica + " ") != std::string::npos;
            broken = broken || (taken && after < stall_time);
        }
    }
    if (trouble) {
        record.write("the cut ends; the head is " +
                     std::string(head->server->alive() ? "alive" : "not alive"));
        cut(*head, false);
        fleet.store().put(server_topic, before.id, write_server(head->server->entry()));
    }
    calls.stop();
    while (calls.active()) {
        co_await sleep_for(poll_interval);
    }
    co_await fleet.stop();
    copy_log_lines(folder, before.replica, record);
    record.write(broken ? "TWO is broken" : "TWO held");
    co_return broken ? review::rule_broken : review::rule_held;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-case-2 NODE_PROGRAM FOLDER RECORD\n";
        return review::could_not_run;
    }
    const char* trouble = std::getenv("TROUBLE");
    review::case_record record(argv[3]);
    fleet_options options;
    options.node_program = argv[1];
    options.folder = argv[2];
    options.node_count = node_count;
    options.model_server_count = model_server_count;
    options.caller_count = 0;
    options.network_number = 100 + static_cast<std::uint32_t>(::getpid()) % 100;
    options.seed = static_cast<std::uint64_t>(::getpid());
    asio::io_context context(1);
    soak_fleet fleet(context.get_executor(), options);
    const bool with_trouble = trouble == nullptr || std::string(trouble) != "0";
    return run_main_task(context, [&] { return run(fleet, record, with_trouble, options.folder); });
}
