/** \file
 * Implements the watching of replicas and controls.
 */
#include "load/monitor.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {
constexpr duration look_interval = 200ms;
constexpr duration truth_timeout = 2s;
constexpr duration status_timeout = 1s;
constexpr duration leaving_grace = 3s;
constexpr int stands_still_looks = 15;
} // namespace

monitor::monitor(run_context& run) : run_(run)
{
    for (const std::string& address : run.where.control_addresses()) {
        controls_[address] = std::make_unique<control_client>(run.executor, address);
    }
}

asio::awaitable<bool> monitor::look_at_engines()
{
    http_request request;
    request.target = "/truth";
    http_call_options options;
    options.timeout = truth_timeout;
    for (const std::string& process : run_.where.engine_processes()) {
        auto reply = co_await run_.http->call(process, request, options);
        const auto json = reply ? nlohmann::json::parse(reply->body, nullptr, false)
                                : nlohmann::json(nlohmann::json::value_t::discarded);
        if (!json.is_array()) {
            co_return false;
        }
        for (const auto& vm : json) {
            member& known = members_[vm.at("vm")];
            known.alive = vm.at("alive");
            known.paused = vm.at("paused");
            known.ready = vm.at("ready");
            known.leaving = vm.at("leaving");
            known.replica = vm.at("replica");
            known.group = vm.at("group").get<std::vector<std::string>>();
            known.started = vm.at("started");
            known.stale_orders_obeyed = vm.at("stale_orders_obeyed");
            known.refused_incomplete = vm.at("refused_incomplete");
            known.tokens = vm.at("tokens");
        }
    }
    co_return true;
}

bool monitor::whole(const std::string& head) const
{
    const member& first = members_.at(head);
    return !first.group.empty() &&
           std::all_of(first.group.begin(), first.group.end(), [&](const std::string& vm) {
               const auto found = members_.find(vm);
               return found != members_.end() && found->second.alive && !found->second.paused &&
                      found->second.ready && found->second.replica == first.replica;
           });
}

std::size_t monitor::whole_replicas() const
{
    return static_cast<std::size_t>(
        std::count_if(members_.begin(), members_.end(), [&](const auto& each) {
            const auto& [vm, known] = each;
            return !known.group.empty() && known.group.front() == vm && whole(vm);
        }));
}

std::string monitor::member_of(std::size_t rank, bool first) const
{
    std::vector<std::vector<std::string>> groups;
    for (const auto& [vm, known] : members_) {
        if (!known.group.empty() && known.group.front() == vm && whole(vm)) {
            groups.push_back(known.group);
        }
    }
    std::stable_sort(groups.begin(), groups.end(), [](const auto& left, const auto& right) {
        return left.size() > right.size();
    });
    if (rank >= groups.size()) {
        return "";
    }
    return first ? groups[rank].front() : groups[rank].back();
}

asio::awaitable<bool> monitor::wait_for_replicas(duration limit)
{
    const time_point end = monotonic_clock::now() + limit;
    int looks = 0;
    while (monotonic_clock::now() < end && looks < stands_still_looks) {
        co_await look_at_engines();
        const std::size_t now = whole_replicas();
        const bool loading = std::any_of(members_.begin(), members_.end(), [](const auto& each) {
            return each.second.replica != 0 && !each.second.ready;
        });
        looks = now == wanted_ && now > 0 && !loading ? looks + 1 : 0;
        wanted_ = now;
        co_await sleep_for(look_interval);
    }
    fewest_ = wanted_;
    co_return looks >= stands_still_looks;
}

asio::awaitable<void> monitor::watch()
{
    time_point last = monotonic_clock::now();
    while (!stopping_) {
        const bool seen = co_await look_at_engines();
        const time_point now = monotonic_clock::now();
        if (seen) {
            add_up(std::chrono::duration<double>(now - last).count());
            look_at_leaving();
        }
        last = now;
        co_await look_at_controls();
        co_await sleep_for(look_interval);
    }
}

void monitor::add_up(double seconds)
{
    const std::size_t now = whole_replicas();
    fewest_ = std::min(fewest_, now);
    const double missing = now < wanted_ ? static_cast<double>(wanted_ - now) : 0;
    downtime_s_ += missing * seconds;
    down_s_ = missing > 0 ? down_s_ + seconds : 0;
    longest_down_s_ = std::max(longest_down_s_, down_s_);
    for (const auto& [vm, known] : members_) {
        const bool healthy = known.alive && !known.paused;
        if (healthy && known.replica != 0 && !whole(vm)) {
            const fleet_vm* described = run_.where.find(vm);
            stranded_s_ += seconds * (described == nullptr ? 0 : described->accelerators);
        }
    }
}

void monitor::look_at_leaving()
{
    const time_point now = monotonic_clock::now();
    for (const auto& [vm, known] : members_) {
        if (!known.leaving) {
            leaving_.erase(vm);
            continue;
        }
        leaving_vm& noted = leaving_[vm];
        if (noted.since == time_point()) {
            noted.since = now;
        }
        if (now - noted.since < leaving_grace) {
            continue;
        }
        if (noted.counted_from && known.started > noted.started_then) {
            run_.measured.counted["late_work_on_leaving"] +=
                static_cast<double>(known.started - noted.started_then);
        }
        noted.counted_from = true;
        noted.started_then = known.started;
    }
}

asio::awaitable<void> monitor::look_at_controls()
{
    for (const auto& [address, client] : controls_) {
        schema::status_request request;
        request.set_with_replicas(true);
        auto status = co_await client->node_status(std::move(request), status_timeout);
        if (!status) {
            reachable_.erase(address);
            continue;
        }
        reachable_.insert(address);
        look_at_status(address, *status);
    }
    const time_point now = monotonic_clock::now();
    for (auto spread = spreads_.begin(); spread != spreads_.end();) {
        const bool everywhere =
            std::all_of(versions_.begin(), versions_.end(), [&](const auto& each) {
                const std::string control = each.first.substr(0, each.first.find(' '));
                return !reachable_.contains(control) || each.second >= spread->first;
            });
        if (!everywhere) {
            ++spread;
            continue;
        }
        run_.measured.measured["converge_s"].add(
            std::chrono::duration<double>(now - spread->second.first).count());
        spread = spreads_.erase(spread);
    }
}

void monitor::look_at_status(const std::string& address, const schema::status_reply& status)
{
    note_version(address + " control", status.configuration_version());
    note_version(address + " entry", status.entry_configuration_version());
    std::map<std::string, std::uint64_t> holders;
    std::string state;
    for (const schema::replica_record& replica : status.replicas()) {
        state += replica.SerializeAsString();
        for (const schema::replica_member& each : replica.members()) {
            if (each.released() || replica.phase() == schema::released) {
                continue;
            }
            const auto [held, first] = holders.emplace(each.vm(), replica.replica_id());
            if (!first && held->second != replica.replica_id()) {
                ++run_.measured.counted["vm_in_two_replicas"];
            }
        }
    }
    const auto [known, first] = states_.emplace(status.highest_offset(), state);
    if (!first && known->second != state) {
        ++run_.measured.counted["unequal_verdicts"];
    }
}

void monitor::note_version(const std::string& where, std::uint64_t version)
{
    if (version == 0) {
        return; // Not ready.
    }
    std::uint64_t& known = versions_[where];
    if (version < known) {
        ++run_.measured.counted["reverts"];
    }
    const std::uint64_t highest = versions_.empty()
                                      ? 0
                                      : std::max_element(versions_.begin(), versions_.end(),
                                                         [](const auto& left, const auto& right) {
                                                             return left.second < right.second;
                                                         })
                                            ->second;
    if (version > highest && highest > 0) {
        spreads_[version].first = monotonic_clock::now();
        ++run_.measured.counted["new_versions"];
    }
    known = std::max(known, version);
}

void monitor::conclude()
{
    std::map<std::string, double>& to = run_.measured.counted;
    to["replicas"] = static_cast<double>(wanted_);
    to["fewest_replicas"] = static_cast<double>(fewest_);
    const std::size_t at_end = whole_replicas();
    to["replicas_at_end"] = static_cast<double>(at_end);
    to["replicas_missing_at_end"] = wanted_ > at_end ? static_cast<double>(wanted_ - at_end) : 0;
    to["group_downtime_s"] = downtime_s_;
    to["longest_down_s"] = longest_down_s_;
    to["stranded_accelerator_s"] = stranded_s_;
    to["versions_not_everywhere"] = static_cast<double>(spreads_.size());
    for (const char* name : {"reverts", "unequal_verdicts", "vm_in_two_replicas",
                             "late_work_on_leaving", "stale_orders_obeyed"}) {
        to[name] += 0;
    }
    for (const auto& [vm, known] : members_) {
        to["stale_orders_obeyed"] += static_cast<double>(known.stale_orders_obeyed);
        to["refused_incomplete"] += static_cast<double>(known.refused_incomplete);
        to["engine_tokens"] += static_cast<double>(known.tokens);
    }
}

} // namespace chervildyke::load
