/** \file
 * Implements the runner of experiments.
 */
#include "load/experiment.h"

#include <cmath>
#include <sstream>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/this_coro.hpp>
#include <nlohmann/json.hpp>

#include "external/json_message.h"
#include "load/monitor.h"
#include "load/workload.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration ready_limit = 60s;
constexpr duration open_calls_limit = 40s;

bool for_the_shell(const schema::load_fault& fault)
{
    const std::string& target = fault.target();
    return target.starts_with("entry-") || target.starts_with("control-") ||
           fault.action() == "publish";
}

std::string fault_address(const fleet& where, const std::string& target)
{
    if (target == "log") {
        return where.log;
    }
    if (target == "weights") {
        return where.weights;
    }
    if (target == "vm_list" || target.starts_with("list:")) {
        return where.vm_list;
    }
    const fleet_vm* vm = where.find(target);
    return vm == nullptr ? "" : vm->faults;
}

/** Turns replica:K:first into the VM that this is now. A repeated fault stays with its VM. */
void resolve_target(schema::load_fault& fault, const monitor& watched)
{
    const std::string& target = fault.target();
    const std::size_t at = target.find("replica:");
    if (at == std::string::npos) {
        return;
    }
    const std::size_t rank = static_cast<std::size_t>(std::atoi(target.c_str() + at + 8));
    fault.set_target(target.substr(0, at) + watched.member_of(rank, target.ends_with(":first")));
}

asio::awaitable<void> send_fault(run_context& run, schema::load_fault fault)
{
    schema::fault_request body;
    const std::string& target = fault.target();
    const std::string vm = target.starts_with("list:") ? target.substr(5) : target;
    if (run.where.find(vm) != nullptr) {
        body.set_vm(vm);
    }
    const fleet_vm* from = run.where.find(fault.from_address());
    body.set_fault(fault.action());
    body.set_factor(fault.factor());
    body.set_duration_ms(fault.duration_ms());
    body.set_from_address(from == nullptr ? fault.from_address() : from->ip);
    body.set_count(fault.count());
    http_request request;
    request.method = "POST";
    request.target = "/faults";
    request.body = to_json(body);
    auto reply = co_await run.http->call(fault_address(run.where, target), request);
    if (!reply || reply->status != 200) {
        ++run.measured.counted["faults_not_made"];
    }
}

asio::awaitable<void> make_fault(run_context& run, const monitor& watched, schema::load_fault fault,
                                 process_action actions)
{
    const std::uint32_t times = std::max(fault.times(), 1U);
    for (std::uint32_t i = 0; i < times; ++i) {
        const double due = fault.at_s() + i * fault.every_s();
        const double wait = std::max(due - run.seconds(), 0.0);
        co_await sleep_for(
            std::chrono::duration_cast<duration>(std::chrono::duration<double>(wait)));
        ++run.measured.counted["faults"];
        resolve_target(fault, watched);
        if (for_the_shell(fault)) {
            actions(fault.target(), fault.action());
        }
        else {
            co_await send_fault(run, fault);
        }
    }
}

/** A fault on a whole fabric or failure domain becomes one on each of its model workers. */
std::vector<schema::load_fault> spread_over_domain(const fleet& where,
                                                   const schema::load_fault& fault)
{
    std::vector<schema::load_fault> all;
    for (const fleet_vm& vm : where.vms) {
        const bool in = vm.accelerators > 0 &&
                        (vm.fabric_domain == fault.target() || vm.failure_domain == fault.target());
        if (in) {
            all.push_back(fault);
            all.back().set_target(vm.vm);
        }
    }
    if (all.empty()) {
        all.push_back(fault);
    }
    return all;
}

asio::awaitable<void> add_truth(run_context& run)
{
    http_request request;
    request.target = "/truth";
    for (const std::string& address : run.where.truth) {
        auto reply = co_await run.http->call(address, request);
        schema::service_truth truth;
        if (!reply || !from_json(reply->body, truth)) {
            ++run.measured.counted["truth_not_read"];
            continue;
        }
        run.judge.judge_orders(truth);
    }
    request.target = "/counts";
    auto reply = co_await run.http->call(run.where.log, request);
    const auto counts =
        reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json::object();
    for (const auto& [name, value] : counts.items()) {
        run.measured.counted["log_" + name] = value;
    }
}

double share(const std::map<std::string, double>& figures, const std::string& part,
             const std::string& whole)
{
    const auto of = figures.find(part);
    const auto all = figures.find(whole);
    return of == figures.end() || all == figures.end() || all->second == 0
               ? 0
               : of->second / all->second;
}

/** Figures that follow from others, for each stretch of load. */
void derive(const schema::load_experiment& experiment, std::map<std::string, double>& figures)
{
    double best = 0;
    for (const schema::load_stretch& stretch : experiment.loads()) {
        const std::string name = stretch.name() + ".";
        const double span = stretch.end_s() - stretch.start_s();
        figures[name + "goodput_per_s"] = figures[name + "complete"] / span;
        figures[name + "tokens_per_s"] = figures[name + "tokens"] / span;
        figures[name + "complete_share"] = share(figures, name + "complete", name + "calls");
        figures[name + "unknown_share"] = share(figures, name + "unknown", name + "calls");
        figures[name + "cut_off"] += 0;
        best = std::max(best, figures[name + "goodput_per_s"]);
        for (const schema::load_stretch& other : experiment.loads()) {
            const std::string pair = stretch.name() + "_over_" + other.name();
            for (const char* measure : {"first_token_ms.p95", "order_ms.p95", "goodput_per_s"}) {
                const std::string of = name + measure;
                const std::string to = other.name() + "." + measure;
                if (&other != &stretch && figures.contains(of) && figures.contains(to) &&
                    figures[to] > 0) {
                    figures[pair + "." + measure] = figures[of] / figures[to];
                    figures[pair + "." + measure + ".minus"] = figures[of] - figures[to];
                }
            }
        }
    }
    for (const schema::load_stretch& stretch : experiment.loads()) {
        const std::string name = stretch.name() + ".";
        figures[name + "goodput_of_best"] = best == 0 ? 0 : figures[name + "goodput_per_s"] / best;
    }
}

checked_bound check(const schema::load_bound& bound, const std::map<std::string, double>& figures)
{
    checked_bound checked;
    checked.figure = bound.figure();
    const auto found = figures.find(bound.figure());
    checked.met = found != figures.end();
    checked.measured = found == figures.end() ? std::nan("") : found->second;
    std::ostringstream target;
    if (bound.has_at_most()) {
        target << "<= " << bound.at_most();
        checked.met = checked.met && checked.measured <= bound.at_most();
    }
    if (bound.has_at_least()) {
        target << (bound.has_at_most() ? ", " : "") << ">= " << bound.at_least();
        checked.met = checked.met && checked.measured >= bound.at_least();
    }
    checked.target = target.str();
    return checked;
}

asio::awaitable<void> report_progress(run_context& run, monitor& watched, double seconds,
                                      std::function<void(const std::string&)> progress)
{
    while (run.seconds() < seconds) {
        co_await sleep_for(1s);
        double calls = 0;
        for (const auto& [name, value] : run.measured.counted) {
            calls += name.ends_with(".calls") ? value : 0;
        }
        std::ostringstream line;
        line << static_cast<int>(run.seconds()) << "/" << seconds << " s, " << calls
             << " calls ended, " << run.open_calls << " open, " << run.judge.found().total()
             << " violations";
        progress(line.str());
    }
    watched.stop();
}

} // namespace

asio::awaitable<experiment_result> run_experiment(schema::load_experiment experiment, fleet where,
                                                  std::uint64_t seed, process_action actions,
                                                  std::function<void(const std::string&)> progress)
{
    run_context run;
    run.executor = co_await asio::this_coro::executor;
    run.http = std::make_shared<http_client>(run.executor, 256);
    run.where = std::move(where);
    run.seed = seed;
    experiment_result result;
    result.name = experiment.name();
    result.seed = seed;
    monitor watched(run);
    result.ready = co_await watched.wait_for_replicas(ready_limit);
    run.start = monotonic_clock::now();
    std::vector<std::unique_ptr<workload>> loads;
    for (const schema::load_stretch& stretch : experiment.loads()) {
        loads.push_back(std::make_unique<workload>(run, stretch));
        asio::co_spawn(run.executor, loads.back()->make_calls(), asio::detached);
    }
    for (const schema::load_fault& fault : experiment.faults()) {
        for (const schema::load_fault& each : spread_over_domain(run.where, fault)) {
            asio::co_spawn(run.executor, make_fault(run, watched, each, actions), asio::detached);
        }
    }
    const double whole = experiment.seconds() + experiment.settle_s();
    asio::co_spawn(run.executor, report_progress(run, watched, whole, progress), asio::detached);
    co_await watched.watch();
    const time_point patience = monotonic_clock::now() + open_calls_limit;
    while (run.open_calls > 0 && monotonic_clock::now() < patience) {
        co_await sleep_for(100ms);
    }
    co_await add_truth(run);
    watched.conclude();
    for (const char* name : {"faults_not_made", "truth_not_read", "new_versions"}) {
        run.measured.counted[name] += 0;
    }
    run.measured.counted["orders"] = static_cast<double>(run.judge.orders());
    run.measured.counted["unsettled_orders"] = static_cast<double>(run.judge.unsettled_orders());
    run.measured.counted["calls_never_ended"] = static_cast<double>(run.open_calls);
    result.figures = run.measured.flat();
    derive(experiment, result.figures);
    result.violations = run.judge.found().counts;
    result.first_violation = run.judge.found().first;
    for (const char* name : {"vm_in_two_replicas", "unequal_verdicts", "reverts",
                             "late_work_on_leaving", "stale_orders_obeyed"}) {
        if (result.figures[name] > 0) {
            result.violations[name] = static_cast<std::uint64_t>(result.figures[name]);
        }
    }
    for (const schema::load_bound& bound : experiment.bounds()) {
        result.bounds.push_back(check(bound, result.figures));
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
    for (const checked_bound& bound : bounds) {
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
        text << "  the fleet did not serve before the load began\n";
    }
    for (const auto& [kind, count] : violations) {
        text << "  broken: " << kind << " " << count << " times\n";
    }
    if (!first_violation.empty()) {
        text << "  first: " << first_violation << "\n";
    }
    for (const checked_bound& bound : bounds) {
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
