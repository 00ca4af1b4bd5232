/** \file
 * Implements the playing of faults.
 */
#include "soak/fault_player.h"

#include <csignal>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration slow_link = 120ms;   // Added to each piece on a slow link.
constexpr duration slow_store = 240ms;  // 60 times the usual answer.
constexpr double slow_server = 5;       // Factor on a slow server's times.
constexpr double wrong_share = 0.5;     // Of calls at a server whose answers go wrong.
constexpr std::size_t late_every = 3;   // Of all servers, those that carry out orders late.
constexpr duration late_order = 2500ms; // How late a server carries out orders.

/** Sets a value for a while. */
template <typename Value>
asio::awaitable<void> set_for(Value& value, Value harmed, Value sound, duration span)
{
    value = harmed;
    co_await sleep_for(span);
    value = sound;
}

} // namespace

void fault_player::begin(const planned_fault& fault)
{
    asio::co_spawn(executor_, play(fault), asio::detached);
}

asio::awaitable<void> fault_player::stop_node(soak_node& stopped)
{
    const std::uint64_t life = stopped.lives;
    stopped.end_expected = true;
    stopped.process->send(SIGTERM);
    time_point until = monotonic_clock::now() + stop_grace;
    while (stopped.lives == life && monotonic_clock::now() < until) {
        co_await sleep_for(node_poll);
        if (stopped.freezes > 0) {
            until = monotonic_clock::now() + stop_grace;
        }
    }
    if (stopped.lives == life && !fleet_.stopping()) {
        fleet_.book().broken("stop", stopped.name + " did not end within its grace");
        stopped.process->send(SIGKILL);
    }
}

asio::awaitable<void> fault_player::play_on_node(planned_fault fault, soak_node& harmed)
{
    switch (fault.kind) {
    case fault_kind::node_stopped:
        co_await stop_node(harmed);
        break;
    case fault_kind::node_frozen:
        ++harmed.freezes;
        harmed.process->send(SIGSTOP);
        co_await sleep_for(fault.lasts);
        --harmed.freezes;
        harmed.process->send(SIGCONT);
        break;
    case fault_kind::node_reloaded:
        fleet_.write_settings(harmed, 1 + static_cast<double>(fault.target % 2));
        harmed.process->send(SIGHUP);
        break;
    default:
        harmed.end_expected = true;
        harmed.process->send(SIGKILL);
        co_await sleep_for(restart_after + 2 * node_poll);
        break;
    }
}

link_proxy& fault_player::link_of(const planned_fault& fault)
{
    const std::size_t number = fault.target % fleet_.nodes().size();
    switch (fault.place) {
    case link_place::callers_to_node:
        return *fleet_.nodes()[number]->from_callers;
    case link_place::node_to_store:
        return *fleet_.nodes()[number]->to_store;
    case link_place::to_server:
        break;
    }
    return *fleet_.places()[fault.target % fleet_.places().size()]->link;
}

asio::awaitable<void> fault_player::play_on_link(planned_fault fault)
{
    link_proxy& link = link_of(fault);
    switch (fault.kind) {
    case fault_kind::link_slow:
        co_await set_for(link.faults().delay, slow_link, duration::zero(), fault.lasts);
        break;
    case fault_kind::link_reset:
        link.reset_open();
        break;
    case fault_kind::link_silent:
        link.silence_open();
        break;
    default: {
        bool& cut = fault.kind == fault_kind::link_cut_forward ? link.faults().cut_forward
                                                               : link.faults().cut_backward;
        co_await set_for(cut, true, false, fault.lasts);
        break;
    }
    }
}

asio::awaitable<void> fault_player::play_on_server(planned_fault fault)
{
    const std::shared_ptr<backend_server> server = place_of(fault).server;
    server_faults& faults = server->faults();
    switch (fault.kind) {
    case fault_kind::server_crashed:
        server->crash();
        break;
    case fault_kind::server_leaves:
        server->leave();
        break;
    case fault_kind::server_cut_from_store:
        server->cut_from_store();
        co_await sleep_for(server_back_after);
        server->crash();
        break;
    case fault_kind::server_slow:
        co_await set_for(faults.slowness, slow_server, 1.0, fault.lasts);
        break;
    case fault_kind::server_fails:
        co_await set_for(faults.fails, wrong_share, 0.0, fault.lasts);
        break;
    case fault_kind::server_loses_answers:
        co_await set_for(faults.loses_answers, wrong_share, 0.0, fault.lasts);
        break;
    case fault_kind::server_breaks_off:
        co_await set_for(faults.breaks_off, wrong_share, 0.0, fault.lasts);
        break;
    default:
        co_await delay_orders(fault);
        break;
    }
}

server_place& fault_player::place_of(const planned_fault& fault)
{
    // Only servers of orders lose whole answers; what may run once at most goes to them.
    const bool of_orders = fault.kind == fault_kind::server_loses_answers;
    const std::size_t first = of_orders ? fleet_.model_places() : 0;
    return *fleet_.places()[first + fault.target % (fleet_.places().size() - first)];
}

asio::awaitable<void> fault_player::delay_orders(planned_fault fault)
{
    // Members of one replica must differ in it.
    std::vector<std::shared_ptr<backend_server>> late;
    for (std::size_t i = fault.target % late_every; i < fleet_.places().size(); i += late_every) {
        late.push_back(fleet_.places()[i]->server);
        late.back()->faults().order_delay = late_order;
    }
    co_await sleep_for(fault.lasts);
    for (const auto& server : late) {
        server->faults().order_delay = duration::zero();
    }
}

asio::awaitable<void> fault_player::play_on_store(planned_fault fault)
{
    store_faults& faults = fleet_.store().faults();
    switch (fault.kind) {
    case fault_kind::store_down:
        co_await set_for(faults.down, true, false, fault.lasts);
        break;
    case fault_kind::store_slow:
        co_await set_for(faults.delay, slow_store, duration::zero(), fault.lasts);
        break;
    case fault_kind::store_loses_answers:
        co_await set_for(faults.loses_answers, true, false, fault.lasts);
        break;
    case fault_kind::store_rejects_node: {
        const std::size_t rejected = fault.target % fleet_.nodes().size();
        faults.rejected.insert(rejected);
        co_await sleep_for(fault.lasts);
        faults.rejected.erase(rejected);
        break;
    }
    default:
        fleet_.store().forget_history();
        break;
    }
}

asio::awaitable<void> fault_player::play(planned_fault fault)
{
    const bool planned = is_planned_work(fault.kind);
    ++faults_in_play_;
    if (!planned) {
        fleet_.quiet().disturb();
    }
    switch (fault.kind) {
    case fault_kind::configuration_changed:
        fleet_.change_configuration();
        break;
    case fault_kind::key_revoked:
        fleet_.revoke_key();
        break;
    case fault_kind::all_nodes_killed:
        for (const auto& killed : fleet_.nodes()) {
            killed->end_expected = true;
            killed->process->send(SIGKILL);
        }
        co_await sleep_for(restart_after * static_cast<long>(fleet_.nodes().size() + 1));
        break;
    case fault_kind::node_killed:
    case fault_kind::node_stopped:
    case fault_kind::node_frozen:
    case fault_kind::node_reloaded:
        co_await play_on_node(fault, *fleet_.nodes()[fault.target % fleet_.nodes().size()]);
        break;
    case fault_kind::link_slow:
    case fault_kind::link_reset:
    case fault_kind::link_cut_forward:
    case fault_kind::link_cut_backward:
    case fault_kind::link_silent:
        co_await play_on_link(fault);
        break;
    case fault_kind::store_down:
    case fault_kind::store_slow:
    case fault_kind::store_loses_answers:
    case fault_kind::store_rejects_node:
    case fault_kind::store_forgets:
        co_await play_on_store(fault);
        break;
    default:
        co_await play_on_server(fault);
        break;
    }
    if (!planned) {
        fleet_.quiet().settle();
    }
    --faults_in_play_;
}

asio::awaitable<void> fault_player::all_settled()
{
    while (faults_in_play_ > 0) {
        co_await sleep_for(node_poll);
    }
    const duration span = server_back_after + restart_after;
    co_await sleep_for(span);
}

} // namespace chervildyke::soak
