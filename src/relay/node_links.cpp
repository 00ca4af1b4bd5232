/** \file
 * Implements the connection of server_links and detour_carrier to a node.
 */
#include "relay/node_links.h"

#include <algorithm>
#include <utility>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

// A node carries nothing for others well before it refuses its own callers.
constexpr int carrier_lag_divisor = 2;

server_target target_of(const backend& server)
{
    return {"", server.service, incarnation_of(server), server.address};
}

/** Ends what the missing links have made this node believe of the servers of a service. */
void forget_link_failures(relay_context& context, const std::string& service)
{
    context.replica_lb->forget_exclusions(service);
    for (const auto& [id, listed] : context.backends->all()) {
        if (listed.server.service == service) {
            context.backend_lb->forget_failures(listed.server.address);
            // Connections that were kept may be dead without a notice.
            context.http->close_idle_connections(listed.server.address);
        }
    }
    context.queue->admit_waiting();
}

std::vector<carrier_candidate> candidates_of(const peer_gossip& peers, const std::string& domain,
                                             const std::string& service)
{
    std::vector<carrier_candidate> candidates;
    for (const known_node* node : peers.live()) {
        const schema::peer_word& state = node->state;
        const auto& cut_off = state.cut_off_services();
        carrier_candidate candidate;
        candidate.name = state.name();
        candidate.address = state.address() + ":" + std::to_string(state.port());
        candidate.same_domain = state.failure_domain() == domain;
        candidate.can_carry = state.ready() && !state.leaving() &&
                              std::find(cut_off.begin(), cut_off.end(), service) == cut_off.end();
        candidates.push_back(std::move(candidate));
    }
    return candidates;
}

/** \return why a node may carry nothing to a service for other nodes; empty if it may. */
std::string refusal_of(const relay_context& context, const std::string& service)
{
    if (context.leaving) {
        return "this node stops";
    }
    if (context.links->is_cut_off(service)) {
        return "this node is cut off from the service, too";
    }
    if (context.lag.current() > context.limits.max_lag / carrier_lag_divisor) {
        return "the event loop of this node lags";
    }
    return "";
}

/** \return why a node may not call a server for another node; empty if it may. */
std::string refusal_of(const relay_context& context, const server_target& target)
{
    const time_point now = monotonic_clock::now();
    const backend_availability current = context.availability(target.server, now);
    const listed_backend* listed = context.backends->find(target.server.id);
    if (listed == nullptr || listed->server.leaving || current.leaving) {
        return "the server leaves";
    }
    if (current.paused_until) {
        return "the server has asked this node for a pause";
    }
    if (context.cold && !context.cold->may_call(target.service, target.server.id, now)) {
        return "the server is cold";
    }
    return "";
}

} // namespace

std::shared_ptr<server_links> make_server_links(const schema::relay_settings& settings,
                                                relay_context& context, const peer_gossip& peers)
{
    server_link_hooks hooks;
    hooks.servers = [&context](const std::string& service) {
        std::vector<server_target> targets;
        for (const auto& [id, listed] : context.backends->all()) {
            if (listed.server.service == service && !listed.server.leaving) {
                targets.push_back(target_of(listed.server));
            }
        }
        return targets;
    };
    hooks.nodes = [&peers, domain = settings.failure_domain()](const std::string& service) {
        return candidates_of(peers, domain, service);
    };
    hooks.on_change = [&context](const std::string& service, bool) {
        forget_link_failures(context, service);
    };
    context.metrics->add_gauge("chervil_cut_off_services", [&context] {
        return static_cast<double>(context.links->cut_off_services().size());
    });
    return std::make_shared<server_links>(context.executor, settings.name(), context.http,
                                          context.metrics, context.random, std::move(hooks));
}

detour_carrier_hooks make_carrier_hooks(relay_context& context)
{
    detour_carrier_hooks hooks;
    hooks.find_server =
        [&context](const backend_incarnation& server) -> std::optional<server_target> {
        const listed_backend* listed = context.backends->find(server.id);
        if (listed == nullptr || listed->server.started_ms != server.started_ms) {
            return std::nullopt;
        }
        return target_of(listed->server);
    };
    hooks.refusal = [&context](const std::string& service) { return refusal_of(context, service); };
    hooks.server_refusal = [&context](const server_target& target) {
        return refusal_of(context, target);
    };
    hooks.on_sent = [&context](const server_target& target) {
        if (context.cold) {
            context.cold->note_sent(target.service, target.server.id, monotonic_clock::now());
        }
    };
    hooks.on_answer = [&context](const server_target& target, unsigned status,
                                 const std::vector<http_header>& headers) {
        const answer_metadata metadata = context.codec.read_metadata(status, headers);
        context.notices->note(target.server, metadata.notice, monotonic_clock::now());
    };
    hooks.call_id = [&context](const http_request& request) {
        return context.codec.read_call(request).id;
    };
    hooks.is_answer_to = [&context](const std::string& call_id,
                                    const std::vector<http_header>& headers) {
        constexpr unsigned any_status = 200;
        return context.codec.read_metadata(any_status, headers).call_id == call_id;
    };
    return hooks;
}

engine_calls with_reach(engine_calls calls, std::shared_ptr<server_links> links)
{
    engine_calls counted = calls;
    counted.send = [send = calls.send,
                    links](backend vm, engine_command command) -> asio::awaitable<command_outcome> {
        const backend named = vm;
        const command_outcome outcome = co_await send(std::move(vm), std::move(command));
        if (outcome == command_outcome::no_contact) {
            links->note_failure(named.service, named.id);
        }
        co_return outcome;
    };
    counted.probe = [probe = calls.probe, links](backend vm) -> asio::awaitable<probe_outcome> {
        const backend named = vm;
        const probe_outcome outcome = co_await probe(std::move(vm));
        if (outcome != probe_outcome::answered) {
            links->note_failure(named.service, named.id);
        }
        co_return outcome;
    };
    return counted;
}

bool is_cut_off_from_engines(const server_links& links,
                             const published_configuration_ptr& configuration)
{
    const std::vector<std::string> services = links.cut_off_services();
    return std::any_of(services.begin(), services.end(), [&](const std::string& name) {
        const backend_service* found = configuration ? configuration->find_service(name) : nullptr;
        return found != nullptr && found->engine;
    });
}

void set_cut_off(const server_links& links, const published_configuration_ptr& configuration,
                 schema::peer_word& state)
{
    for (const std::string& service : links.cut_off_services()) {
        state.add_cut_off_services(service);
    }
    state.set_cut_off_from_engines(is_cut_off_from_engines(links, configuration));
}

} // namespace chervildyke
