/** \file
 * Implements what a relay_node exchanges with the other nodes, and the choice of the leader.
 */
#include <utility>

#include "base/event_log.h"
#include "base/milliseconds.h"
#include "members/leader_ranking.h"
#include "relay/demand_report.h"
#include "relay/message_values.h"
#include "relay/node_links.h"
#include "relay/peer_topics.h"
#include "relay/relay_node.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr duration min_leader_uptime = 1200ms;   // By then a node has received its peers' states.
constexpr duration fleet_check_interval = 200ms; // Between two runs of the periodic checks.

} // namespace

void relay_node::apply_peer_state(const schema::peer_word& state)
{
    const bool is_remote =
        peers_->fleet_exceeds_fanout() && state.failure_domain() != settings_.failure_domain();
    context_.replica_lb->note_peer_usage(state.name(), from_messages(state.counts()),
                                         monotonic_clock::now(), is_remote);
    context_.queue->note_peer_waiting(state.name(), from_messages(state.waiting_calls()));
    crash_exchange_->apply_state(state);
    context_.queue->admit_waiting();
    calls_began_ = calls_began_ || state.calls_began();
    for (const schema::running_load& load : state.loads()) {
        assembler_->note_running_load(load);
    }
    const peer_topic_state replicas = replicas_of(state);
    view_->apply_peer_replicas(replicas);
    if (state.leading()) {
        view_->apply_leader_backends(backends_of(state));
    }
    else {
        view_->confirm_backends(backends_of(state));
    }
    view_->note_replica_end(replicas.end);
    view_->note_configuration_version(state.configuration_version());
    if (reading_->reads_log_directly()) { // Otherwise the reader sends the records.
        view_->note_configuration_end(
            {state.configuration_log_era(), state.configuration_log_end()});
    }
}

void relay_node::fill_own_state(schema::peer_word& state)
{
    const time_point now = monotonic_clock::now();
    state.set_name(settings_.name());
    state.set_address(settings_.address());
    state.set_port(settings_.peer_port());
    state.set_incarnation(incarnation_);
    state.set_call_address(settings_.call_address());
    state.set_failure_domain(settings_.failure_domain());
    state.set_ready(ready());
    state.set_leaving(context_.leaving);
    state.set_sound_store(view_->store_is_healthy());
    state.set_calls_began(calls_began_);
    state.set_up_ms(to_whole_ms(now - started_at_));
    report_demand(context_.demand, view_->configuration(), now, state);
    state.set_leading(assembler_->leading());
    state.set_processor_share(settings_.processor_share());
    set_topics(*view_, assembler_->leading(), state);
    set_cut_off(*context_.links, view_->configuration(), state);
    if (assembler_->leading()) {
        for (schema::running_load& load : assembler_->running_loads()) {
            *state.add_loads() = std::move(load);
        }
    }
    to_messages(context_.replica_lb->own_usage(now), *state.mutable_counts());
    to_messages(context_.queue->own_waiting(), *state.mutable_waiting_calls());
    crash_exchange_->fill_state(state);
}

/** Periodically chooses the node that reads the log, drops the usage reported by nodes that are no
 * longer live, divides the retry budget and the calls to cold servers by the live nodes, and in a
 * large fleet prefers replicas in this node's failure domain.
 */
asio::awaitable<void> relay_node::run_fleet_checks()
{
    while (true) {
        co_await sleep_for(fleet_check_interval);
        reading_->update(context_.leaving);
        cold_limit_peers peers = peers_of(*peers_);
        context_.replica_lb->retain_peers(peers.live);
        context_.turns->set_nodes(peers.live.size() + 1);
        if (context_.cold->update(std::move(peers), ready(), monotonic_clock::now())) {
            context_.queue->admit_waiting(); // This node may call a cold server again.
        }
        apply_limits();
        context_.replica_lb->prefer_domain(
            peers_->fleet_exceeds_fanout() ? settings_.failure_domain() : "");
    }
}

bool relay_node::is_leader() const
{
    if (context_.leaving || !view_->store_is_healthy() ||
        monotonic_clock::now() - started_at_ < min_leader_uptime) {
        return false;
    }
    const leader_candidate self{settings_.name(), settings_.processor_share(),
                                assembler_->leading(),
                                is_cut_off_from_engines(*context_.links, view_->configuration())};
    for (const known_node* node : peers_->live()) {
        const schema::peer_word& state = node->state;
        const bool eligible = state.sound_store() && !state.leaving() &&
                              std::chrono::milliseconds(state.up_ms()) >= min_leader_uptime;
        const leader_candidate other{state.name(), state.processor_share(), state.leading(),
                                     state.cut_off_from_engines()};
        if (eligible && ranks_before(other, self)) {
            return false;
        }
    }
    return true;
}

} // namespace chervildyke
