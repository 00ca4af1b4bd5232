/** \file
 * Implements fleet_monitor over the HTTP calls of the engine stand-ins and the status calls of the
 * control nodes.
 */
#include "load/fleet_monitor.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {
constexpr duration poll_interval = 200ms;
constexpr duration engine_timeout = 2s;
constexpr duration status_timeout = 1s;
constexpr duration leaving_grace_period = 3s; // New calls after it are violations.
constexpr int stable_polls_required = 15;     // Consecutive polls with the same number of replicas.
} // namespace

fleet_monitor::fleet_monitor(run_context& run) : run_(run)
{
    for (const std::string& address : run.fleet.control_addresses()) {
        controls_[address] = std::make_unique<control_client>(run.executor, address);
    }
}

asio::awaitable<bool> fleet_monitor::poll_engines()
{
    http_request request;
    request.target = "/truth";
    http_call_options options;
    options.timeout = engine_timeout;
    for (const std::string& fault_address : run_.fleet.engine_fault_addresses()) {
        auto reply = co_await run_.http->call(fault_address, request, options);
        const auto json = reply ? nlohmann::json::parse(reply->body, nullptr, false)
                                : nlohmann::json(nlohmann::json::value_t::discarded);
        if (!json.is_array()) {
            co_return false;
        }
        for (const auto& vm : json) {
            engine_state& engine = engines_[vm.at("vm")];
            engine.alive = vm.at("alive");
            engine.paused = vm.at("paused");
            engine.ready = vm.at("ready");
            engine.leaving = vm.at("leaving");
            engine.replica_id = vm.at("replica");
            engine.members = vm.at("group").get<std::vector<std::string>>();
            engine.started_calls = vm.at("started");
            engine.stale_commands_obeyed = vm.at("stale_orders_obeyed");
            engine.refused_incomplete = vm.at("refused_incomplete");
            engine.generated_tokens = vm.at("tokens");
        }
    }
    co_return true;
}

bool fleet_monitor::is_complete(const std::string& vm) const
{
    const engine_state& engine = engines_.at(vm);
    return !engine.members.empty() &&
           std::all_of(
               engine.members.begin(), engine.members.end(), [&](const std::string& member) {
                   const auto found = engines_.find(member);
                   return found != engines_.end() && found->second.alive && !found->second.paused &&
                          found->second.ready && found->second.replica_id == engine.replica_id;
               });
}

std::size_t fleet_monitor::count_complete_replicas() const
{
    return static_cast<std::size_t>(
        std::count_if(engines_.begin(), engines_.end(), [&](const auto& each) {
            const auto& [vm, engine] = each;
            return !engine.members.empty() && engine.members.front() == vm && is_complete(vm);
        }));
}

std::string fleet_monitor::find_member(std::size_t replica_index, bool wants_head) const
{
    std::vector<std::vector<std::string>> replicas;
    for (const auto& [vm, engine] : engines_) {
        if (!engine.members.empty() && engine.members.front() == vm && is_complete(vm)) {
            replicas.push_back(engine.members);
        }
    }
    std::stable_sort(replicas.begin(), replicas.end(), [](const auto& left, const auto& right) {
        return left.size() > right.size();
    });
    if (replica_index >= replicas.size()) {
        return "";
    }
    return wants_head ? replicas[replica_index].front() : replicas[replica_index].back();
}

asio::awaitable<bool> fleet_monitor::wait_for_replicas(duration timeout)
{
    const time_point deadline = monotonic_clock::now() + timeout;
    int stable_polls = 0;
    while (monotonic_clock::now() < deadline && stable_polls < stable_polls_required) {
        co_await poll_engines();
        const std::size_t replicas = count_complete_replicas();
        const bool loading = std::any_of(engines_.begin(), engines_.end(), [](const auto& each) {
            return each.second.replica_id != 0 && !each.second.ready;
        });
        stable_polls =
            replicas == expected_replicas_ && replicas > 0 && !loading ? stable_polls + 1 : 0;
        expected_replicas_ = replicas;
        co_await sleep_for(poll_interval);
    }
    min_replicas_ = expected_replicas_;
    co_return stable_polls >= stable_polls_required;
}

asio::awaitable<void> fleet_monitor::watch()
{
    time_point last = monotonic_clock::now();
    while (!stopping_) {
        const bool polled = co_await poll_engines();
        const time_point now = monotonic_clock::now();
        if (polled) {
            add_downtime(std::chrono::duration<double>(now - last).count());
            check_leaving_vms();
        }
        last = now;
        co_await poll_controls();
        co_await sleep_for(poll_interval);
    }
}

void fleet_monitor::add_downtime(double seconds)
{
    const std::size_t replicas = count_complete_replicas();
    min_replicas_ = std::min(min_replicas_, replicas);
    const double missing =
        replicas < expected_replicas_ ? static_cast<double>(expected_replicas_ - replicas) : 0;
    downtime_s_ += missing * seconds;
    current_outage_s_ = missing > 0 ? current_outage_s_ + seconds : 0;
    longest_outage_s_ = std::max(longest_outage_s_, current_outage_s_);
    for (const auto& [vm, engine] : engines_) {
        const bool healthy = engine.alive && !engine.paused;
        if (healthy && engine.replica_id != 0 && !is_complete(vm)) {
            const fleet_vm* described = run_.fleet.find(vm);
            stranded_accelerator_s_ +=
                seconds * (described == nullptr ? 0 : described->accelerators);
        }
    }
}

void fleet_monitor::check_leaving_vms()
{
    const time_point now = monotonic_clock::now();
    for (const auto& [vm, engine] : engines_) {
        if (!engine.leaving) {
            leaving_.erase(vm);
            continue;
        }
        leaving_vm& tracked = leaving_[vm];
        if (tracked.since == time_point()) {
            tracked.since = now;
        }
        if (now - tracked.since < leaving_grace_period) {
            continue;
        }
        if (tracked.has_baseline && engine.started_calls > tracked.started_calls) {
            run_.measured.counters["late_work_on_leaving"] +=
                static_cast<double>(engine.started_calls - tracked.started_calls);
        }
        tracked.has_baseline = true;
        tracked.started_calls = engine.started_calls;
    }
}

asio::awaitable<void> fleet_monitor::poll_controls()
{
    for (const auto& [address, client] : controls_) {
        schema::status_request request;
        request.set_with_replicas(true);
        auto status = co_await client->node_status(std::move(request), status_timeout);
        if (!status) {
            reachable_controls_.erase(address);
            continue;
        }
        reachable_controls_.insert(address);
        record_status(address, *status);
    }
    const time_point now = monotonic_clock::now();
    for (auto rollout = rollouts_.begin(); rollout != rollouts_.end();) {
        const bool reached_all =
            std::all_of(versions_.begin(), versions_.end(), [&](const auto& each) {
                const std::string control = each.first.substr(0, each.first.find(' '));
                return !reachable_controls_.contains(control) || each.second >= rollout->first;
            });
        if (!reached_all) {
            ++rollout;
            continue;
        }
        run_.measured.samples["converge_s"].add(
            std::chrono::duration<double>(now - rollout->second.first_seen).count());
        rollout = rollouts_.erase(rollout);
    }
}

void fleet_monitor::record_status(const std::string& address, const schema::status_reply& status)
{
    record_version(address + " control", status.configuration_version());
    record_version(address + " entry", status.entry_configuration_version());
    std::map<std::string, std::uint64_t> holders;
    std::string replica_state;
    for (const schema::replica_record& replica : status.replicas()) {
        replica_state += replica.SerializeAsString();
        for (const schema::replica_member& member : replica.members()) {
            if (member.released() || replica.phase() == schema::released) {
                continue;
            }
            const auto [holder, inserted] = holders.emplace(member.vm(), replica.replica_id());
            if (!inserted && holder->second != replica.replica_id()) {
                ++run_.measured.counters["vm_in_two_replicas"];
            }
        }
    }
    const auto [known, inserted] = replica_states_.emplace(status.highest_offset(), replica_state);
    if (!inserted && known->second != replica_state) {
        ++run_.measured.counters["unequal_verdicts"];
    }
}

void fleet_monitor::record_version(const std::string& source, std::uint64_t version)
{
    if (version == 0) {
        return; // The control node or entry is not ready.
    }
    std::uint64_t& known_version = versions_[source];
    if (version < known_version) {
        ++run_.measured.counters["reverts"];
    }
    const std::uint64_t highest = versions_.empty()
                                      ? 0
                                      : std::max_element(versions_.begin(), versions_.end(),
                                                         [](const auto& left, const auto& right) {
                                                             return left.second < right.second;
                                                         })
                                            ->second;
    if (version > highest && highest > 0) {
        rollouts_[version].first_seen = monotonic_clock::now();
        ++run_.measured.counters["new_versions"];
    }
    known_version = std::max(known_version, version);
}

void fleet_monitor::write_totals()
{
    std::map<std::string, double>& counters = run_.measured.counters;
    counters["replicas"] = static_cast<double>(expected_replicas_);
    counters["fewest_replicas"] = static_cast<double>(min_replicas_);
    const std::size_t at_end = count_complete_replicas();
    counters["replicas_at_end"] = static_cast<double>(at_end);
    counters["replicas_missing_at_end"] =
        expected_replicas_ > at_end ? static_cast<double>(expected_replicas_ - at_end) : 0;
    counters["group_downtime_s"] = downtime_s_;
    counters["longest_down_s"] = longest_outage_s_;
    counters["stranded_accelerator_s"] = stranded_accelerator_s_;
    counters["versions_not_everywhere"] = static_cast<double>(rollouts_.size());
    for (const char* name : {"reverts", "unequal_verdicts", "vm_in_two_replicas",
                             "late_work_on_leaving", "stale_orders_obeyed"}) {
        counters[name] += 0;
    }
    for (const auto& [vm, engine] : engines_) {
        counters["stale_orders_obeyed"] += static_cast<double>(engine.stale_commands_obeyed);
        counters["refused_incomplete"] += static_cast<double>(engine.refused_incomplete);
        counters["engine_tokens"] += static_cast<double>(engine.generated_tokens);
    }
}

} // namespace chervildyke::load
