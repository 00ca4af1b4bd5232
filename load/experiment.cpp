/** \file
 * Implements run_experiment and the JSON and text forms of its result.
 */
#include "load/experiment.h"

#include <cmath>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "external/json_message.h"
#include "load/fleet_monitor.h"
#include "load/workload.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration ready_timeout = 60s;
constexpr duration open_calls_timeout = 40s; // After the end of the experiment.
constexpr duration open_calls_poll_interval = 100ms;
constexpr duration progress_interval = 1s;
constexpr std::size_t kept_connections_per_address = 256;
constexpr std::string_view vm_list_prefix = "list:";
constexpr std::string_view replica_prefix = "replica:";

/** Whether only the script that started the processes can inject the fault. */
bool is_process_fault(const schema::load_fault& fault)
{
    const std::string& target = fault.target();
    return target.starts_with("entry-") || target.starts_with("control-") ||
           fault.action() == "publish";
}

/** \return ip:port where the target's stand-in takes faults; empty if there is no such target. */
std::string fault_address(const fleet_description& fleet, const std::string& target)
{
    if (target == "log") {
        return fleet.log_address;
    }
    if (target == "weights") {
        return fleet.weight_store_address;
    }
    if (target == "vm_list" || target.starts_with(vm_list_prefix)) {
        return fleet.vm_list_address;
    }
    const fleet_vm* vm = fleet.find(target);
    return vm == nullptr ? "" : vm->fault_address;
}

/** Replaces replica:K:first or replica:K:last in the target by the name of that VM. A repeated
 * fault thus stays with the VM that was chosen the first time.
 */
void resolve_target(schema::load_fault& fault, const fleet_monitor& monitor)
{
    const std::string& target = fault.target();
    const std::size_t at = target.find(replica_prefix);
    if (at == std::string::npos) {
        return;
    }
    const std::size_t replica_index =
        static_cast<std::size_t>(std::atoi(target.c_str() + at + replica_prefix.size()));
    fault.set_target(target.substr(0, at) +
                     monitor.find_member(replica_index, target.ends_with(":first")));
}

/** Sends the fault to the stand-in of its target. */
asio::awaitable<void> send_fault_request(run_context& run, schema::load_fault fault)
{
    schema::fault_request body;
    const std::string& target = fault.target();
    const std::string vm =
        target.starts_with(vm_list_prefix) ? target.substr(vm_list_prefix.size()) : target;
    if (run.fleet.find(vm) != nullptr) {
        body.set_vm(vm);
    }
    const fleet_vm* from = run.fleet.find(fault.from_address());
    body.set_fault(fault.action());
    body.set_factor(fault.factor());
    body.set_duration_ms(fault.duration_ms());
    body.set_from_address(from == nullptr ? fault.from_address() : from->ip);
    body.set_count(fault.count());
    http_request request;
    request.method = "POST";
    request.target = "/faults";
    request.body = to_json(body);
    auto reply = co_await run.http->call(fault_address(run.fleet, target), request);
    if (!reply || reply->status != 200) {
        ++run.measured.counters["faults_not_made"];
    }
}

/** Injects a fault as often and at the times that it states. */
asio::awaitable<void> inject_fault(run_context& run, const fleet_monitor& monitor,
                                   schema::load_fault fault, process_action act)
{
    const std::uint32_t repetitions = std::max(fault.times(), 1U);
    for (std::uint32_t i = 0; i < repetitions; ++i) {
        const double due_s = fault.at_s() + i * fault.every_s();
        const double wait_s = std::max(due_s - run.elapsed_s(), 0.0);
        co_await sleep_for(
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait_s)));
        ++run.measured.counters["faults"];
        resolve_target(fault, monitor);
        if (is_process_fault(fault)) {
            act(fault.target(), fault.action());
        }
        else {
            co_await send_fault_request(run, fault);
        }
    }
}

/** \return one fault for each model worker if the target is a fabric or failure domain, else the
 * fault itself.
 */
std::vector<schema::load_fault> expand_domain_fault(const fleet_description& fleet,
                                                    const schema::load_fault& fault)
{
    std::vector<schema::load_fault> expanded;
    for (const fleet_vm& vm : fleet.vms) {
        const bool in_domain = vm.accelerators > 0 && (vm.fabric_domain == fault.target() ||
                                                       vm.failure_domain == fault.target());
        if (in_domain) {
            expanded.push_back(fault);
            expanded.back().set_target(vm.vm);
        }
    }
    if (expanded.empty()) {
        expanded.push_back(fault);
    }
    return expanded;
}

/** Checks the orders against the executions at the services, and adds the counters of the log. */
asio::awaitable<void> collect_ground_truth(run_context& run)
{
    http_request request;
    request.target = "/truth";
    for (const std::string& address : run.fleet.ground_truth_addresses) {
        auto reply = co_await run.http->call(address, request);
        schema::service_truth executed;
        if (!reply || !from_json(reply->body, executed)) {
            ++run.measured.counters["truth_not_read"];
            continue;
        }
        run.checker.check_orders(executed);
    }
    request.target = "/counts";
    auto reply = co_await run.http->call(run.fleet.log_address, request);
    const auto counts =
        reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json::object();
    for (const auto& [name, value] : counts.items()) {
        run.measured.counters["log_" + name] = value;
    }
}

/** \return the quotient of two figures, or 0 if one is missing or the denominator is 0. */
double ratio(const std::map<std::string, double>& figures, const std::string& numerator,
             const std::string& denominator)
{
    const auto dividend = figures.find(numerator);
    const auto divisor = figures.find(denominator);
    return dividend == figures.end() || divisor == figures.end() || divisor->second == 0
               ? 0
               : dividend->second / divisor->second;
}

/** Adds the figures that are calculated from others: rates and shares of each load, and quotients
 * and differences of each pair of loads.
 */
void add_derived_figures(const schema::load_experiment& experiment,
                         std::map<std::string, double>& figures)
{
    double best_goodput = 0;
    for (const schema::load_stretch& load : experiment.loads()) {
        const std::string name = load.name() + ".";
        const double seconds = load.end_s() - load.start_s();
        figures[name + "goodput_per_s"] = figures[name + "complete"] / seconds;
        figures[name + "tokens_per_s"] = figures[name + "tokens"] / seconds;
        figures[name + "complete_share"] = ratio(figures, name + "complete", name + "calls");
        figures[name + "unknown_share"] = ratio(figures, name + "unknown", name + "calls");
        figures[name + "cut_off"] += 0;
        best_goodput = std::max(best_goodput, figures[name + "goodput_per_s"]);
        for (const schema::load_stretch& other : experiment.loads()) {
            const std::string pair = load.name() + "_over_" + other.name();
            for (const char* measure : {"first_token_ms.p95", "order_ms.p95", "goodput_per_s"}) {
                const std::string dividend = name + measure;
                const std::string divisor = other.name() + "." + measure;
                if (&other != &load && figures.contains(dividend) && figures.contains(divisor) &&
                    figures[divisor] > 0) {
                    figures[pair + "." + measure] = figures[dividend] / figures[divisor];
                    figures[pair + "." + measure + ".minus"] = figures[dividend] - figures[divisor];
                }
            }
        }
    }
    for (const schema::load_stretch& load : experiment.loads()) {
        const std::string name = load.name() + ".";
        figures[name + "goodput_of_best"] =
            best_goodput == 0 ? 0 : figures[name + "goodput_per_s"] / best_goodput;
    }
}

bound_result check_bound(const schema::load_bound& bound,
                         const std::map<std::string, double>& figures)
{
    bound_result result;
    result.figure = bound.figure();
    const auto found = figures.find(bound.figure());
    result.met = found != figures.end();
    result.measured = found == figures.end() ? std::nan("") : found->second;
    std::ostringstream target;
    if (bound.has_at_most()) {
        target << "<= " << bound.at_most();
        result.met = result.met && result.measured <= bound.at_most();
    }
    if (bound.has_at_least()) {
        target << (bound.has_at_most() ? ", " : "") << ">= " << bound.at_least();
        result.met = result.met && result.measured >= bound.at_least();
    }
    result.target = target.str();
    return result;
}

/** Shows the progress until the time is over, then stops the monitor. */
asio::awaitable<void> run_until_end(run_context& run, fleet_monitor& monitor, double duration_s,
                                    std::function<void(const std::string&)> show_progress)
{
    while (run.elapsed_s() < duration_s) {
        co_await sleep_for(progress_interval);
        double calls = 0;
        for (const auto& [name, value] : run.measured.counters) {
            calls += name.ends_with(".calls") ? value : 0;
        }
        std::ostringstream line;
        line << static_cast<int>(run.elapsed_s()) << "/" << duration_s << " s, " << calls
             << " calls ended, " << run.open_calls << " open, " << run.checker.violations().total()
             << " violations";
        show_progress(line.str());
    }
    monitor.stop();
}

} // namespace

asio::awaitable<experiment_result>
run_experiment(schema::load_experiment experiment, fleet_description fleet, std::uint64_t seed,
               process_action act, std::function<void(const std::string&)> show_progress)
{
    run_context run;
    run.executor = co_await asio::this_coro::executor;
    run.http = std::make_shared<http_client>(run.executor, kept_connections_per_address);
    run.fleet = std::move(fleet);
    run.seed = seed;
    experiment_result result;
    result.name = experiment.name();
    result.seed = seed;
    fleet_monitor monitor(run);
    result.ready = co_await monitor.wait_for_replicas(ready_timeout);
    run.started_at = monotonic_clock::now();
    std::vector<std::unique_ptr<workload>> workloads;
    for (const schema::load_stretch& load : experiment.loads()) {
        workloads.push_back(std::make_unique<workload>(run, load));
        asio::co_spawn(run.executor, workloads.back()->make_calls(), asio::detached);
    }
    for (const schema::load_fault& fault : experiment.faults()) {
        for (const schema::load_fault& each : expand_domain_fault(run.fleet, fault)) {
            asio::co_spawn(run.executor, inject_fault(run, monitor, each, act), asio::detached);
        }
    }
    const double duration_s = experiment.seconds() + experiment.settle_s();
    asio::co_spawn(run.executor, run_until_end(run, monitor, duration_s, show_progress),
                   asio::detached);
    co_await monitor.watch();
    const time_point deadline = monotonic_clock::now() + open_calls_timeout;
    while (run.open_calls > 0 && monotonic_clock::now() < deadline) {
        co_await sleep_for(open_calls_poll_interval);
    }
    co_await collect_ground_truth(run);
    monitor.write_totals();
    for (const char* name : {"faults_not_made", "truth_not_read", "new_versions"}) {
        run.measured.counters[name] += 0;
    }
    run.measured.counters["orders"] = static_cast<double>(run.checker.order_count());
    run.measured.counters["unsettled_orders"] =
        static_cast<double>(run.checker.unsettled_order_count());
    run.measured.counters["calls_never_ended"] = static_cast<double>(run.open_calls);
    result.figures = run.measured.flatten();
    add_derived_figures(experiment, result.figures);
    result.violations = run.checker.violations().counts;
    result.first_violation = run.checker.violations().first;
    for (const char* name : {"vm_in_two_replicas", "unequal_verdicts", "reverts",
                             "late_work_on_leaving", "stale_orders_obeyed"}) {
        if (result.figures[name] > 0) {
            result.violations[name] = static_cast<std::uint64_t>(result.figures[name]);
        }
    }
    for (const schema::load_bound& bound : experiment.bounds()) {
        result.bounds.push_back(check_bound(bound, result.figures));
    }
    co_return result;
}

bool experiment_result::passed() const
{
    return ready && violations.empty() &&
           std::all_of(bounds.begin(), bounds.end(), [](const auto& each) { return each.met; });
}

std::string experiment_result::to_json() const
{
    nlohmann::json json = {{"name", name},
                           {"seed", seed},
                           {"ready", ready},
                           {"passed", passed()},
                           {"figures", figures},
                           {"violations", violations},
                           {"first_violation", first_violation},
                           {"bounds", nlohmann::json::array()}};
    for (const bound_result& bound : bounds) {
        json["bounds"].push_back({{"figure", bound.figure},
                                  {"target", bound.target},
                                  {"measured", bound.measured},
                                  {"met", bound.met}});
    }
    return json.dump(1);
}

std::string experiment_result::summary() const
{
    std::ostringstream text;
    text << name << " (seed " << seed << "): " << (passed() ? "passed" : "FAILED") << "\n";
    if (!ready) {
        text << "  the replicas of the fleet were not complete and stable when the load began\n";
    }
    for (const auto& [invariant, count] : violations) {
        text << "  violated: " << invariant << ", " << count << " times\n";
    }
    if (!first_violation.empty()) {
        text << "  first violation: " << first_violation << "\n";
    }
    for (const bound_result& bound : bounds) {
        text << "  " << (bound.met ? "met   " : "MISSED") << " " << bound.figure << " = "
             << bound.measured << " (target " << bound.target << ")\n";
    }
    for (const auto& [figure, value] : figures) {
        if (figure.find("why ") != std::string::npos) {
            text << "  " << figure << ": " << value << "\n";
        }
    }
    return text.str();
}

} // namespace chervildyke::load
