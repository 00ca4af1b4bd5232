/** \file
 * Implements how engines obey orders and see the other members of their replica.
 */
#include <algorithm>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "external/json_message.h"
#include "standin/engine.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr duration adapter_load_time = 200ms;
constexpr duration leave_poll = 20ms;
constexpr duration remote_poll = 500ms;
constexpr duration remote_silence_limit = 1500ms;
constexpr duration remote_wanted_for = 10s;
constexpr duration weights_timeout = 10s;
} // namespace

asio::awaitable<void> engine::take_order(node& on, http_exchange& exchange)
{
    schema::engine_order order;
    if (!from_json(exchange.request().body, order) || order.order_id().empty()) {
        http_reply bad = status_reply(400);
        co_await exchange.respond(std::move(bad));
        co_return;
    }
    schema::engine_order_reply answer;
    if (!on.obeyed.contains(order.order_id())) {
        answer.set_reason(obey(on, order));
    }
    answer.set_accepted(answer.reason().empty());
    *answer.mutable_report() = lagged_report(on);
    if (on.faults.take_reply_drop()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = json_reply(answer);
    co_await exchange.respond(std::move(reply));
}

std::string engine::obey(node& on, const schema::engine_order& order)
{
    if (settings_.check_fencing() && order.fencing() < on.highest_fencing) {
        return "an old fencing number";
    }
    const bool own_replica = order.replica_id() == on.now.replica_id();
    switch (order.kind()) {
    case schema::order_join:
        join(on, order);
        break;
    case schema::order_leave:
        if (own_replica && on.now.replica_id() != 0) {
            on.releasing = true;
            asio::co_spawn(executor_, leave(on, on.joins), asio::detached);
        }
        break;
    case schema::order_load_adapter:
        if (!own_replica) {
            return "another replica";
        }
        asio::co_spawn(executor_, load_adapter(on, order.adapter(), on.joins), asio::detached);
        break;
    case schema::order_change_role:
        on.now.set_role(order.role());
        break;
    default:
        return "an unknown order";
    }
    on.stale_orders_obeyed += order.fencing() < on.highest_fencing ? 1 : 0;
    on.highest_fencing = std::max(on.highest_fencing, order.fencing());
    on.obeyed.insert(order.order_id());
    on.now.set_order_id(order.order_id());
    return "";
}

void engine::join(node& on, const schema::engine_order& order)
{
    new_batch(on);
    ++on.joins;
    on.releasing = false;
    on.group.assign(order.group().begin(), order.group().end());
    on.now.set_replica_id(order.replica_id());
    on.now.set_fencing(order.fencing());
    *on.now.mutable_adapters() = order.adapters();
    const bool has_weights = on.now.model() == order.model() && on.now.load_progress() >= 1;
    on.now.set_model(order.model());
    if (has_weights || order.bytes() == 0) {
        on.now.set_load_progress(1);
        on.now.set_condition(schema::engine_ready);
        return;
    }
    on.now.set_load_progress(0);
    on.now.set_condition(schema::engine_loading);
    asio::co_spawn(executor_, load(on, on.joins, order.bytes()), asio::detached);
}

asio::awaitable<void> engine::load(node& on, std::uint64_t join_number, std::uint64_t bytes)
{
    http_request request;
    request.target = "/weights?bytes=" + std::to_string(bytes);
    while (on.joins == join_number) {
        auto opened = co_await http_->open(settings_.weight_store(), request);
        while (opened && on.joins == join_number) {
            auto part = co_await (*opened)->read_some(weights_timeout);
            co_await on.faults.wait_while_paused();
            if (!part || on.joins != join_number) {
                break;
            }
            if (part->empty()) {
                on.now.set_load_progress(1);
                on.now.set_condition(schema::engine_ready);
                co_return;
            }
            on.now.set_load_progress(std::min(std::atof(part->c_str()), 0.99));
        }
        co_await sleep_for(remote_poll); // The store is out; load from the start.
    }
}

asio::awaitable<void> engine::leave(node& on, std::uint64_t join_number)
{
    // A member keeps its part until the replica's first member has no call in progress.
    const auto calls_in_progress = [&] {
        const auto first = on.group.empty() ? nodes_.end() : nodes_.find(on.group.front().vm());
        const node& head = first == nodes_.end() ? on : *first->second;
        return head.server && head.now.replica_id() == on.now.replica_id() && !head.batch->quiet();
    };
    while (on.joins == join_number && (calls_in_progress() || on.faults.paused())) {
        co_await sleep_for(leave_poll);
    }
    if (on.joins != join_number) {
        co_return;
    }
    ++on.joins;
    new_batch(on);
    on.group.clear();
    on.releasing = false;
    on.now.set_replica_id(0);
    on.now.set_fencing(0);
    on.now.set_condition(schema::engine_idle);
}

asio::awaitable<void> engine::load_adapter(node& on, std::string adapter, std::uint64_t join_number)
{
    co_await sleep_for(adapter_load_time);
    const auto& adapters = on.now.adapters();
    if (on.joins == join_number &&
        std::find(adapters.begin(), adapters.end(), adapter) == adapters.end()) {
        on.now.add_adapters(adapter);
    }
}

engine::member_state engine::look_at(const node& on, const schema::engine_peer& peer)
{
    const auto local = nodes_.find(peer.vm());
    if (local == nodes_.end()) {
        remote_member& other = remote_[peer.address()];
        const time_point now = monotonic_clock::now();
        other.wanted = now;
        if (now - other.heard > remote_silence_limit) {
            return member_state::absent;
        }
        if (other.report.replica_id() != on.now.replica_id()) {
            return member_state::moved;
        }
        return other.report.condition() == schema::engine_ready ? member_state::present
                                                                : member_state::absent;
    }
    const node& member = *local->second;
    if (!member.server) {
        return member_state::dead;
    }
    if (member.now.replica_id() != on.now.replica_id()) {
        return member_state::moved;
    }
    const bool ready = member.now.condition() == schema::engine_ready && !member.faults.paused();
    return ready ? member_state::present : member_state::absent;
}

bool engine::group_whole(const node& on, bool for_new_call)
{
    return std::all_of(on.group.begin(), on.group.end(), [&](const schema::engine_peer& peer) {
        const auto local = nodes_.find(peer.vm());
        const bool releasing = local != nodes_.end() && local->second->releasing;
        return look_at(on, peer) == member_state::present && !(for_new_call && releasing);
    });
}

bool engine::group_lost(const node& on)
{
    return std::any_of(on.group.begin(), on.group.end(), [&](const schema::engine_peer& peer) {
        const member_state state = look_at(on, peer);
        return state == member_state::dead || state == member_state::moved;
    });
}

bool engine::has_dead_member(const node& on)
{
    return std::any_of(on.group.begin(), on.group.end(), [&](const schema::engine_peer& peer) {
        return look_at(on, peer) == member_state::dead;
    });
}

asio::awaitable<void> engine::poll_remote_members()
{
    http_request request;
    request.target = "/report";
    http_call_options options;
    options.timeout = remote_poll;
    while (true) {
        std::vector<std::string> wanted;
        for (const auto& [address, member] : remote_) {
            if (monotonic_clock::now() - member.wanted < remote_wanted_for) {
                wanted.push_back(address);
            }
        }
        for (const std::string& address : wanted) {
            auto reply = co_await http_->call(address, request, options);
            remote_member& member = remote_[address];
            if (reply && from_json(reply->body, member.report)) {
                member.heard = monotonic_clock::now();
            }
        }
        co_await sleep_for(remote_poll);
    }
}

} // namespace chervildyke::standin
