/** \file
 * Implements the commands to simulated engines, and how an engine observes the members of its
 * replica.
 */
#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "external/json_message.h"
#include "standin/http_replies.h"
#include "standin/simulated_engines.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr duration adapter_load_time = 200ms;
constexpr duration leave_poll_interval = 20ms;
constexpr duration remote_poll_interval = 500ms;
constexpr duration remote_report_ttl = 1500ms;
constexpr duration remote_idle_timeout = 10s; // Members unused for longer are not polled.
constexpr duration weights_read_timeout = 10s;
constexpr double max_unfinished_progress = 0.99; // 1 means that the load has ended.
} // namespace

asio::awaitable<void> simulated_engines::serve_command(vm_engine& engine, http_exchange& exchange)
{
    schema::engine_order command;
    if (!from_json(exchange.request().body, command) || command.order_id().empty()) {
        http_reply bad = status_reply(400);
        co_await exchange.respond(std::move(bad));
        co_return;
    }
    schema::engine_order_reply answer;
    if (!engine.accepted_command_ids.contains(command.order_id())) {
        answer.set_reason(apply_command(engine, command));
    }
    answer.set_accepted(answer.reason().empty());
    *answer.mutable_report() = lagged_report(engine);
    if (engine.faults.consume_reply_drop()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = json_reply(answer);
    co_await exchange.respond(std::move(reply));
}

std::string simulated_engines::apply_command(vm_engine& engine, const schema::engine_order& command)
{
    if (settings_.check_fencing() && command.fencing() < engine.highest_fencing) {
        return "expected fencing number " + std::to_string(engine.highest_fencing) +
               " or higher, found " + std::to_string(command.fencing());
    }
    const bool own_replica = command.replica_id() == engine.current_report.replica_id();
    switch (command.kind()) {
    case schema::order_join:
        join_replica(engine, command);
        break;
    case schema::order_leave:
        if (own_replica && engine.current_report.replica_id() != 0) {
            engine.is_leaving_replica = true;
            asio::co_spawn(executor_, leave_replica(engine, engine.task_generation),
                           asio::detached);
        }
        break;
    case schema::order_load_adapter:
        if (!own_replica) {
            return "expected a command for replica " +
                   std::to_string(engine.current_report.replica_id()) + ", found replica " +
                   std::to_string(command.replica_id());
        }
        asio::co_spawn(executor_, load_adapter(engine, command.adapter(), engine.task_generation),
                       asio::detached);
        break;
    case schema::order_change_role:
        engine.current_report.set_role(command.role());
        break;
    default:
        return "the kind of command " + std::to_string(command.kind()) + " is unknown";
    }
    engine.stale_commands_obeyed += command.fencing() < engine.highest_fencing ? 1 : 0;
    engine.highest_fencing = std::max(engine.highest_fencing, command.fencing());
    engine.accepted_command_ids.insert(command.order_id());
    engine.current_report.set_order_id(command.order_id());
    return "";
}

void simulated_engines::join_replica(vm_engine& engine, const schema::engine_order& command)
{
    replace_batch(engine);
    ++engine.task_generation;
    engine.is_leaving_replica = false;
    engine.group.assign(command.group().begin(), command.group().end());
    engine.current_report.set_replica_id(command.replica_id());
    engine.current_report.set_fencing(command.fencing());
    *engine.current_report.mutable_adapters() = command.adapters();
    const bool has_weights = engine.current_report.model() == command.model() &&
                             engine.current_report.load_progress() >= 1;
    engine.current_report.set_model(command.model());
    if (has_weights || command.bytes() == 0) {
        engine.current_report.set_load_progress(1);
        engine.current_report.set_condition(schema::engine_ready);
        return;
    }
    engine.current_report.set_load_progress(0);
    engine.current_report.set_condition(schema::engine_loading);
    asio::co_spawn(executor_, load_weights(engine, engine.task_generation, command.bytes()),
                   asio::detached);
}

asio::awaitable<void> simulated_engines::load_weights(vm_engine& engine, std::uint64_t generation,
                                                      std::uint64_t bytes)
{
    http_request request;
    request.target = "/weights?bytes=" + std::to_string(bytes);
    while (engine.task_generation == generation) {
        auto opened = co_await http_->open(settings_.weight_store(), request);
        while (opened && engine.task_generation == generation) {
            auto part = co_await (*opened)->read_some(weights_read_timeout);
            co_await engine.faults.wait_while_paused();
            if (!part || engine.task_generation != generation) {
                break;
            }
            if (part->empty()) {
                engine.current_report.set_load_progress(1);
                engine.current_report.set_condition(schema::engine_ready);
                co_return;
            }
            engine.current_report.set_load_progress(
                std::min(std::atof(part->c_str()), max_unfinished_progress));
        }
        co_await sleep_for(remote_poll_interval); // The store failed; loads from the start.
    }
}

asio::awaitable<void> simulated_engines::leave_replica(vm_engine& engine, std::uint64_t generation)
{
    // A member stays in the replica until the head has no call in progress.
    const auto calls_in_progress = [&] {
        const auto first =
            engine.group.empty() ? engines_.end() : engines_.find(engine.group.front().vm());
        const vm_engine& head = first == engines_.end() ? engine : *first->second;
        return head.server &&
               head.current_report.replica_id() == engine.current_report.replica_id() &&
               !head.batch->is_idle();
    };
    while (engine.task_generation == generation &&
           (calls_in_progress() || engine.faults.is_paused())) {
        co_await sleep_for(leave_poll_interval);
    }
    if (engine.task_generation != generation) {
        co_return;
    }
    ++engine.task_generation;
    replace_batch(engine);
    engine.group.clear();
    engine.is_leaving_replica = false;
    engine.current_report.set_replica_id(0);
    engine.current_report.set_fencing(0);
    engine.current_report.set_condition(schema::engine_idle);
}

asio::awaitable<void> simulated_engines::load_adapter(vm_engine& engine, std::string adapter,
                                                      std::uint64_t generation)
{
    co_await sleep_for(adapter_load_time);
    const auto& adapters = engine.current_report.adapters();
    if (engine.task_generation == generation &&
        std::find(adapters.begin(), adapters.end(), adapter) == adapters.end()) {
        engine.current_report.add_adapters(adapter);
    }
}

simulated_engines::member_state
simulated_engines::find_member_state(const vm_engine& engine, const schema::engine_peer& peer)
{
    const auto local = engines_.find(peer.vm());
    if (local == engines_.end()) {
        remote_member& other = remote_members_[peer.address()];
        const time_point now = monotonic_clock::now();
        other.last_needed_at = now;
        if (now - other.received_at > remote_report_ttl) {
            return member_state::not_ready;
        }
        if (other.report.replica_id() != engine.current_report.replica_id()) {
            return member_state::reassigned;
        }
        return other.report.condition() == schema::engine_ready ? member_state::ready
                                                                : member_state::not_ready;
    }
    const vm_engine& member = *local->second;
    if (!member.server) {
        return member_state::dead;
    }
    if (member.current_report.replica_id() != engine.current_report.replica_id()) {
        return member_state::reassigned;
    }
    const bool ready =
        member.current_report.condition() == schema::engine_ready && !member.faults.is_paused();
    return ready ? member_state::ready : member_state::not_ready;
}

bool simulated_engines::is_group_ready(const vm_engine& engine, bool for_new_call)
{
    return std::all_of(engine.group.begin(), engine.group.end(),
                       [&](const schema::engine_peer& peer) {
                           const auto local = engines_.find(peer.vm());
                           const bool is_leaving_replica =
                               local != engines_.end() && local->second->is_leaving_replica;
                           return find_member_state(engine, peer) == member_state::ready &&
                                  !(for_new_call && is_leaving_replica);
                       });
}

bool simulated_engines::has_lost_member(const vm_engine& engine)
{
    return std::any_of(engine.group.begin(), engine.group.end(),
                       [&](const schema::engine_peer& peer) {
                           const member_state state = find_member_state(engine, peer);
                           return state == member_state::dead || state == member_state::reassigned;
                       });
}

bool simulated_engines::has_dead_member(const vm_engine& engine)
{
    return std::any_of(engine.group.begin(), engine.group.end(),
                       [&](const schema::engine_peer& peer) {
                           return find_member_state(engine, peer) == member_state::dead;
                       });
}

asio::awaitable<void> simulated_engines::poll_remote_members()
{
    http_request request;
    request.target = "/report";
    http_call_options options;
    options.timeout = remote_poll_interval;
    while (true) {
        std::vector<std::string> polled;
        for (const auto& [address, member] : remote_members_) {
            if (monotonic_clock::now() - member.last_needed_at < remote_idle_timeout) {
                polled.push_back(address);
            }
        }
        for (const std::string& address : polled) {
            auto reply = co_await http_->call(address, request, options);
            remote_member& member = remote_members_[address];
            if (reply && from_json(reply->body, member.report)) {
                member.received_at = monotonic_clock::now();
            }
        }
        co_await sleep_for(remote_poll_interval);
    }
}

} // namespace chervildyke::standin
