/** \file
 * Implements fault_injector.
 */
#include "soak/fault_injector.h"

#include <csignal>
#include <numeric>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration slow_link_delay = 120ms;      // Added to each chunk on a slow link.
constexpr duration slow_store_delay = 240ms;     // Added to each answer; 60 times the usual time.
constexpr double slow_server_factor = 5;         // Multiplies the times of a slow server.
constexpr double wrong_answer_probability = 0.5; // That a fault of answers affects a call.
constexpr std::size_t late_server_stride = 3;    // Every third server executes commands late.
constexpr duration late_command_delay = 2500ms;  // From the arrival of a command to its execution.

// Of the copy from which the store is restored, before the outage.
constexpr duration min_copy_age = 500ms;
constexpr duration rewrite_delay_limit = 1s; // The operator and the servers write again earlier.

/** Sets a value to faulty_value for the span and to normal_value then. */
template <typename Value>
asio::awaitable<void> set_for(Value& value, Value faulty_value, Value normal_value, duration span)
{
    value = faulty_value;
    co_await sleep_for(span);
    value = normal_value;
}

} // namespace

void fault_injector::start(const scheduled_fault& fault)
{
    asio::co_spawn(executor_, inject(fault), asio::detached);
}

asio::awaitable<void> fault_injector::stop_node(soak_node& node)
{
    const std::uint64_t initial_restart_count = node.restart_count;
    node.exit_expected = true;
    node.process->send_signal(SIGTERM);
    time_point deadline = monotonic_clock::now() + stop_grace_period;
    while (node.restart_count == initial_restart_count && monotonic_clock::now() < deadline) {
        co_await sleep_for(node_poll_interval);
        if (node.active_freezes > 0) {
            deadline = monotonic_clock::now() + stop_grace_period;
        }
    }
    if (node.restart_count == initial_restart_count && !fleet_.stopping()) {
        fleet_.checker().add_finding("stop",
                                     node.name + " did not end within its stop grace period");
        node.process->send_signal(SIGKILL);
    }
}

asio::awaitable<void> fault_injector::inject_node_fault(scheduled_fault fault, soak_node& node)
{
    switch (fault.kind) {
    case fault_kind::node_stopped:
        co_await stop_node(node);
        break;
    case fault_kind::node_frozen:
        ++node.active_freezes;
        node.process->send_signal(SIGSTOP);
        co_await sleep_for(fault.length);
        --node.active_freezes;
        node.process->send_signal(SIGCONT);
        break;
    case fault_kind::node_reloaded:
        fleet_.write_settings(node, 1 + static_cast<double>(fault.target % 2));
        node.process->send_signal(SIGHUP);
        break;
    default:
        node.exit_expected = true;
        node.process->send_signal(SIGKILL);
        co_await sleep_for(restart_delay + 2 * node_poll_interval);
        break;
    }
}

link_proxy& fault_injector::link_of(const scheduled_fault& fault)
{
    const std::size_t index = fault.target % fleet_.nodes().size();
    switch (fault.link) {
    case link_kind::callers_to_node:
        return *fleet_.nodes()[index]->caller_link;
    case link_kind::node_to_store:
        return *fleet_.nodes()[index]->store_link;
    case link_kind::to_server:
        break;
    }
    return *fleet_.endpoints()[fault.target % fleet_.endpoints().size()]->link;
}

asio::awaitable<void> fault_injector::inject_link_fault(scheduled_fault fault)
{
    link_proxy& link = link_of(fault);
    switch (fault.kind) {
    case fault_kind::link_slow:
        co_await set_for(link.faults().delay, slow_link_delay, duration::zero(), fault.length);
        break;
    case fault_kind::link_reset:
        link.reset_open_connections();
        break;
    case fault_kind::link_silent:
        link.blackhole_open_connections();
        break;
    default: {
        bool& blocked = fault.kind == fault_kind::link_cut_forward ? link.faults().forward_blocked
                                                                   : link.faults().backward_blocked;
        co_await set_for(blocked, true, false, fault.length);
        break;
    }
    }
}

asio::awaitable<void> fault_injector::inject_server_fault(scheduled_fault fault)
{
    const std::shared_ptr<backend_server> server = endpoint_of(fault).server;
    server_faults& faults = server->faults();
    switch (fault.kind) {
    case fault_kind::server_crashed:
        server->crash();
        break;
    case fault_kind::server_leaves:
        server->leave();
        break;
    case fault_kind::server_cut_from_store:
        server->disconnect_from_store();
        co_await sleep_for(server_restart_delay);
        server->crash();
        break;
    case fault_kind::server_isolated:
        co_await isolate(endpoint_of(fault), fault.length);
        break;
    case fault_kind::server_silent:
        server->fall_silent(fault.length);
        co_await sleep_for(fault.length);
        break;
    case fault_kind::server_endless:
        co_await set_for(faults.sends_without_end, true, false, fault.length);
        break;
    case fault_kind::server_slow:
        co_await set_for(faults.slowdown_factor, slow_server_factor, 1.0, fault.length);
        break;
    case fault_kind::server_fails:
        co_await set_for(faults.failure_probability, wrong_answer_probability, 0.0, fault.length);
        break;
    case fault_kind::server_loses_answers:
        co_await set_for(faults.answer_loss_probability, wrong_answer_probability, 0.0,
                         fault.length);
        break;
    case fault_kind::server_breaks_off:
        co_await set_for(faults.truncation_probability, wrong_answer_probability, 0.0,
                         fault.length);
        break;
    default:
        co_await delay_commands(fault);
        break;
    }
}

asio::awaitable<void> fault_injector::isolate(server_endpoint& endpoint, duration span)
{
    const std::shared_ptr<backend_server> server = endpoint.server;
    link_faults& faults = endpoint.link->faults();
    server->disconnect_from_store();
    faults.forward_blocked = true;
    faults.backward_blocked = true;
    co_await sleep_for(span);
    faults.forward_blocked = false;
    faults.backward_blocked = false;
    server->reconnect_to_store();
}

server_endpoint& fault_injector::endpoint_of(const scheduled_fault& fault)
{
    // Answers are lost only at servers of orders, which get the calls that may run once at most;
    // only servers of models are members of replicas.
    const bool order_servers_only = fault.kind == fault_kind::server_loses_answers;
    const bool model_servers_only = fault.kind == fault_kind::server_isolated;
    const std::size_t first = order_servers_only ? fleet_.model_endpoint_count() : 0;
    const std::size_t end =
        model_servers_only ? fleet_.model_endpoint_count() : fleet_.endpoints().size();
    return *fleet_.endpoints()[first + fault.target % (end - first)];
}

asio::awaitable<void> fault_injector::delay_commands(scheduled_fault fault)
{
    // Every third server, so that commands are late at some members of a replica and not at others.
    std::vector<std::shared_ptr<backend_server>> late_servers;
    for (std::size_t i = fault.target % late_server_stride; i < fleet_.endpoints().size();
         i += late_server_stride) {
        late_servers.push_back(fleet_.endpoints()[i]->server);
        late_servers.back()->faults().command_delay = late_command_delay;
    }
    co_await sleep_for(fault.length);
    for (const auto& server : late_servers) {
        server->faults().command_delay = duration::zero();
    }
}

asio::awaitable<void> fault_injector::inject_store_fault(scheduled_fault fault)
{
    store_faults& faults = fleet_.store().faults();
    switch (fault.kind) {
    case fault_kind::store_down:
        co_await set_for(faults.down, true, false, fault.length);
        break;
    case fault_kind::store_slow:
        co_await set_for(faults.delay, slow_store_delay, duration::zero(), fault.length);
        break;
    case fault_kind::store_loses_answers:
        co_await set_for(faults.drops_answers, true, false, fault.length);
        break;
    case fault_kind::store_rejects_node: {
        const std::size_t node = fault.target % fleet_.nodes().size();
        faults.rejected_nodes.insert(node);
        co_await sleep_for(fault.length);
        faults.rejected_nodes.erase(node);
        break;
    }
    case fault_kind::store_restored: {
        // Overlapping faults of the store end on their own.
        co_await set_for(faults.down, true, false, fault.length);
        const duration age =
            min_copy_age + std::chrono::milliseconds(fault.target % (copy_age_spread / 1ms));
        const duration rewrite_delay =
            std::chrono::milliseconds((fault.target >> 16U) % (rewrite_delay_limit / 1ms));
        fleet_.store().restore_copy(age + fault.length, rewrite_delay);
        break;
    }
    default:
        fleet_.store().trim_history();
        break;
    }
}

std::vector<std::size_t> fault_injector::nodes_disturbed_by(const scheduled_fault& fault) const
{
    const std::size_t count = fleet_.nodes().size();
    std::vector<std::size_t> all(count);
    std::iota(all.begin(), all.end(), std::size_t{0});
    switch (fault.kind) {
    case fault_kind::node_killed:
    case fault_kind::node_stopped:
    case fault_kind::node_frozen:
        return {fault.target % count};
    case fault_kind::link_slow:
    case fault_kind::link_reset:
    case fault_kind::link_cut_forward:
    case fault_kind::link_cut_backward:
    case fault_kind::link_silent:
        return fault.link == link_kind::to_server ? all : std::vector{fault.target % count};
    case fault_kind::all_nodes_killed:
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::store_loses_answers:
    case fault_kind::store_rejects_node:
    case fault_kind::store_forgets:
    case fault_kind::store_restored:
        return all;
    default:
        return {};
    }
}

asio::awaitable<void> fault_injector::inject(scheduled_fault fault)
{
    const std::vector<std::size_t> disturbed_nodes = nodes_disturbed_by(fault);
    fleet_.tracker().begin_disturbance(disturbed_nodes);
    const bool excuses_lost_answers = !excuses_nothing(fault.kind);
    ++active_fault_count_;
    if (excuses_lost_answers) {
        fleet_.tracker().begin_fault();
    }
    switch (fault.kind) {
    case fault_kind::configuration_changed:
        fleet_.change_configuration();
        break;
    case fault_kind::key_revoked:
        fleet_.revoke_key();
        break;
    case fault_kind::poison_prompts:
        fleet_.callers().start_poison();
        co_await sleep_for(fault.length);
        fleet_.callers().stop_poison();
        break;
    case fault_kind::all_nodes_killed:
        for (const auto& node : fleet_.nodes()) {
            node->exit_expected = true;
            node->process->send_signal(SIGKILL);
        }
        co_await sleep_for(restart_delay * static_cast<long>(fleet_.nodes().size() + 1));
        break;
    case fault_kind::node_killed:
    case fault_kind::node_stopped:
    case fault_kind::node_frozen:
    case fault_kind::node_reloaded:
        co_await inject_node_fault(fault, *fleet_.nodes()[fault.target % fleet_.nodes().size()]);
        break;
    case fault_kind::link_slow:
    case fault_kind::link_reset:
    case fault_kind::link_cut_forward:
    case fault_kind::link_cut_backward:
    case fault_kind::link_silent:
        co_await inject_link_fault(fault);
        break;
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::store_loses_answers:
    case fault_kind::store_rejects_node:
    case fault_kind::store_forgets:
    case fault_kind::store_restored:
        co_await inject_store_fault(fault);
        break;
    default:
        co_await inject_server_fault(fault);
        break;
    }
    if (excuses_lost_answers) {
        fleet_.tracker().end_fault();
    }
    fleet_.tracker().end_disturbance(disturbed_nodes);
    --active_fault_count_;
}

asio::awaitable<void> fault_injector::wait_until_recovered()
{
    while (active_fault_count_ > 0) {
        co_await sleep_for(node_poll_interval);
    }
    const duration span = server_restart_delay + restart_delay;
    co_await sleep_for(span);
}

} // namespace chervildyke::soak
