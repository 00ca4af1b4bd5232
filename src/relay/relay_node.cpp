/** \file
 * Implements relay_node.
 */
#include "relay/relay_node.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "base/connection_limit.h"
#include "base/event_log.h"
#include "base/milliseconds.h"
#include "base/task.h"
#include "relay/demand_report.h"
#include "relay/node_links.h"
#include "relay/peer_topics.h"
#include "relay/serve_call.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log node_log("node");

constexpr duration current_list_max_age = 4s; // Two reads of the list.
constexpr duration key_margin = 500ms;        // For clock drift and calls in flight.

// Fraction of the configured retry budget that the nodes use. The rest covers restarts, after which
// a node no longer counts the retries that it has spent.
constexpr double retry_budget_share = 0.6;

// The budget's slack is divided among at least this many nodes, because a node that has just
// started has not received the states of all others.
constexpr std::size_t min_budget_nodes = 8;

constexpr duration last_request_wait = 300ms;   // One round trip of most callers.
constexpr duration drain_check_interval = 20ms; // Between two checks whether all calls have ended.
constexpr double buffered_share = 0.2; // Of the memory, for answers that are not whole yet.
constexpr double request_share = 0.2;  // Of the memory, for requests until their calls end.
constexpr std::size_t small_ports = 4; // Ready, directory, metrics and detours.
constexpr double detour_share = 0.1;   // Of the memory, for requests of other nodes.
constexpr std::size_t max_detour_connections = 512;
constexpr std::size_t detour_header_bytes = 1024; // Of the fields that the origin adds.
constexpr double bytes_per_mb = 1 << 20;

} // namespace

relay_node::relay_node(asio::any_io_executor executor, schema::relay_settings settings,
                       relay_hooks hooks, std::shared_ptr<http_client> http, random_source random)
    : executor_(std::move(executor)), settings_(std::move(settings)), hooks_(std::move(hooks)),
      random_(std::move(random)), incarnation_(wall_clock_ms()),
      started_at_(monotonic_clock::now()), call_limits_{.max_connections =
                                                            max_accepted_connections(small_ports)},
      calls_(
          executor_, [this](http_exchange& exchange) { return serve(exchange); }, call_limits_,
          [this](bad_request kind) { return refuse_unread(context_, kind); }),
      ready_(
          executor_, [this](http_exchange& exchange) { return serve_ready(exchange); },
          small_port_limits()),
      directory_(
          executor_, [this](http_exchange& exchange) { return serve_directory(exchange); },
          small_port_limits()),
      metrics_(
          executor_, [this](http_exchange& exchange) { return serve_metrics(exchange); },
          small_port_limits()),
      detours_(executor_, [this](http_exchange& exchange) { return carrier_->serve(exchange); })
{
    view_ = std::make_shared<fleet_view>(executor_, hooks_.log, hooks_.fleet, random_,
                                         from_ms(settings_.clock_settle_ms()),
                                         make_fleet_view_settings(settings_));
    context_.executor = executor_;
    context_.random = random_;
    context_.codec = hooks_.calls;
    context_.http = std::move(http);
    context_.metrics = std::make_shared<metrics_registry>();
    context_.metrics->add_gauge("chervil_log_lines_dropped",
                                [] { return static_cast<double>(dropped_event_lines()); });
    context_.metrics->add_gauge("chervil_calls_waiting",
                                [this] { return static_cast<double>(context_.queue->waiting()); });
    context_.metrics->add_gauge("chervil_loop_lag_seconds", [this] {
        return std::chrono::duration<double>(context_.lag.current()).count();
    });
    context_.replica_lb = std::make_shared<replica_balancer>(random_);
    context_.queue = std::make_shared<replica_queue>(executor_, *context_.replica_lb,
                                                     replica_queue_settings(), random_);
    context_.queue->on_decision = [this](const char* decision, const call_rank& rank) {
        context_.metrics->counter("chervil_overload_decisions_total",
                                  {{"decision", decision}, {"rank", to_text(rank)}}) += 1;
    };
    context_.notices = hooks_.notices;
    context_.notices->on_change = [this](const backend_incarnation& server,
                                         const backend_availability& availability) {
        record_availability(server, availability);
    };
    context_.replica_lb->head_availability = [this](const serving_replica& replica,
                                                    time_point now) {
        return context_.availability(head_incarnation(replica), now);
    };
    context_.metrics->add_gauge("chervil_blocked_prompt_parts", [this] {
        return static_cast<double>(context_.crashes->blamed_parts());
    });
    crash_exchange_ = std::make_shared<crash_evidence_exchange>(executor_, hooks_.log,
                                                                *context_.crashes, random_);
    context_.backend_lb = std::make_shared<backend_balancer>(settings_.failure_domain(), random_);
    context_.backends = &view_->backends();
    cold_server_hooks cold;
    cold.configuration = [this] { return view_->configuration(); };
    cold.list_age = [this] { return view_->backend_age(); };
    cold.evacuation_ended_at = [this](const std::string& domain) {
        return view_->evacuation_ended_at(domain);
    };
    context_.cold = std::make_shared<cold_servers>(settings_.name(), view_->backends(),
                                                   context_.metrics, std::move(cold));
    context_.cold->limit_replicas(*context_.replica_lb);
    context_.metrics->add_gauge("chervil_answer_bytes_available", [this] {
        return static_cast<double>(context_.buffered.available_bytes());
    });
    context_.is_evacuated = [this](const std::string& domain) {
        return view_->evacuated().contains(domain);
    };
    context_.metrics->add_gauge("chervil_configuration_age_seconds", [this] {
        const std::optional<duration> age = view_->configuration_age();
        return age ? std::chrono::duration<double>(*age).count()
                   : std::numeric_limits<double>::infinity();
    });
    context_.metrics->add_gauge("chervil_evacuated_domains",
                                [this] { return static_cast<double>(view_->evacuated().size()); });
    context_.metrics->add_gauge("chervil_request_bytes_available", [this] {
        return static_cast<double>(calls_.request_bytes_available());
    });
    for (http_server* server : {&calls_, &ready_, &directory_, &metrics_}) {
        server->set_refusal_hook([this](bad_request kind) {
            context_.metrics->counter("chervil_requests_refused_unread_total",
                                      {{"reason", to_text(kind)}}) += 1;
        });
    }
    context_.configuration = [this] { return served_configuration(); };
    context_.configuration_age = [this] { return view_->configuration_age(); };
    view_->on_configuration = [this](const published_configuration_ptr& configuration) {
        apply_configuration(configuration);
    };
    view_->on_change = [this] { apply_fleet_change(); };
    view_->is_leader = [this] { return is_leader(); };
    view_->reads_log_directly = [this] { return reading_->reads_log_directly(); };
    view_->on_read = [this](schema::shared_topic topic, const keyed_records& read) {
        reading_->forward_records(topic, read);
    };
    peer_gossip_settings gossip;
    gossip.failure_domain = settings_.failure_domain();
    peers_ = std::make_shared<peer_gossip>(
        executor_, [this](schema::peer_word& state) { fill_own_state(state); }, random_, gossip);
    schema::known_peer self;
    self.set_address(settings_.address());
    self.set_port(settings_.peer_port());
    context_.links = make_server_links(settings_, context_, *peers_);
    carrier_ = std::make_unique<detour_carrier>(*context_.links, *context_.metrics,
                                                make_carrier_hooks(context_));
    addresses_ = std::make_shared<peer_addresses>(hooks_.log, *peers_, settings_.name(), self);
    reading_ = std::make_unique<shared_reading>(settings_, *view_, *peers_, random_);
    reading_->knows_newest_configuration = [this] { return knows_newest_configuration(); };
    apply_limits();
    fleet_restorer_hooks restoring;
    restoring.peers = [this] { return agreements_of(peers_->live()); };
    restoring.can_write = [this] { return !context_.leaving && view_->store_is_healthy(); };
    restoring.on_restored = [this](std::uint64_t era) {
        crash_exchange_->begin_era(era);
        spawn_task(executor_, "address", addresses_->publish());
    };
    restorer_ = std::make_shared<fleet_restorer>(settings_.name(), hooks_.log, *view_,
                                                 std::move(restoring));
    peers_->on_message = [this](const schema::peer_word& message) {
        reading_->handle_message(message);
    };
    peers_->on_state = [this](const schema::peer_word& state) { apply_peer_state(state); };
    assembler_hooks assembling;
    assembling.is_leader = [this] { return is_leader(); };
    assembling.services = [this] { return view_->configuration(); };
    assembling.calls_began = [this] { return calls_began_; };
    assembling.view_is_settled = [this] { return view_->is_settled(); };
    assembling.list_is_current = [this] {
        const auto age = view_->backend_age();
        return age && *age < current_list_max_age;
    };
    assembling.may_probe = [this](const backend& vm) {
        return !context_.notices->availability(incarnation_of(vm), monotonic_clock::now())
                    .paused_until;
    };
    assembling.evacuated_domains = [this] { return view_->evacuated(); };
    assembling.demand_ms_per_s = [this] {
        return total_demand(context_.demand, peers_->live(), monotonic_clock::now());
    };
    assembling.demand_of_priorities = [this] {
        return total_demand_by_priority(context_.demand, peers_->live(), monotonic_clock::now());
    };
    assembling.on_split = [this](const split_decision& split) {
        for (const auto& [model, count] : split.targets) {
            replica_targets_[model] = count;
        }
    };
    add_replica_gauges();
    assembling.refresh_ledger = [this] { return view_->read_replicas(); };
    assembling.apply_records = [this](const keyed_records& records) {
        view_->apply_replica_records(records);
        peers_->broadcast();
    };
    const assembly_settings assembly;
    assembler_ = std::make_shared<assembler>(
        executor_, hooks_.log, with_reach(hooks_.engines, context_.links), view_->ledger(),
        view_->backends(), *context_.replica_lb, std::move(assembling), assembly);
}

/** Only the leader, which decides the targets, writes these gauges. */
void relay_node::add_replica_gauges()
{
    context_.metrics->add_gauges("chervil_replica_targets", "model", [this] {
        return assembler_->leading() ? replica_targets_ : std::map<std::string, double>();
    });
    context_.metrics->add_gauges("chervil_replicas_serving", "model", [this] {
        std::map<std::string, double> serving;
        if (assembler_->leading() && !replica_targets_.empty()) {
            for (const serving_replica& replica : view_->serving()) {
                ++serving[replica.model];
            }
        }
        return serving;
    });
}

void relay_node::record_availability(const backend_incarnation& server,
                                     const backend_availability& availability)
{
    const duration pause =
        availability.paused_until.value_or(time_point{}) - monotonic_clock::now();
    const duration left = std::max<duration>(pause, duration::zero());
    node_log.write("backend_standing", {{"backend", server.id},
                                        {"started_ms", std::to_string(server.started_ms)},
                                        {"leaving", availability.leaving ? "yes" : "no"},
                                        {"pause_ms", to_ms_text(left)},
                                        {"cause", "its own answer"}});
    context_.metrics->counter("chervil_backend_notices_total",
                              {{"leaving", availability.leaving ? "yes" : "no"}}) += 1;
}

void relay_node::apply_limits()
{
    context_.limits.retry_ratio = settings_.retry_ratio() * retry_budget_share;
    const auto nodes = static_cast<double>(std::max(min_budget_nodes, peers_->live().size() + 1));
    context_.limits.retry_reserve = settings_.retry_slack() * retry_budget_share / nodes;
    const double memory = settings_.memory_mb() * bytes_per_mb;
    if (memory > 0) {
        context_.buffered.set_max_bytes(static_cast<std::size_t>(memory * buffered_share));
    }
    call_limits_.max_request_memory = memory > 0 ? static_cast<std::size_t>(memory * request_share)
                                                 : http_limits().max_request_memory;
    calls_.set_limits(call_limits_);
    http_limits detour_limits = call_limits_;
    detour_limits.max_connections = max_detour_connections;
    detour_limits.max_header_bytes += detour_header_bytes;
    detour_limits.max_request_memory = static_cast<std::size_t>(
        static_cast<double>(call_limits_.max_request_memory) * detour_share / request_share);
    detours_.set_limits(detour_limits);
    context_.limits.key_staleness = from_ms(settings_.key_staleness_ms()) - key_margin;
}

void relay_node::add_seed_addresses()
{
    for (const std::string& seed : settings_.seed_addresses()) {
        peers_->add_address(seed.substr(0, seed.rfind(':')),
                            static_cast<std::uint16_t>(settings_.peer_port()));
    }
}

void relay_node::reload(const schema::relay_settings& settings)
{
    *settings_.mutable_seed_addresses() = settings.seed_addresses();
    settings_.set_key_staleness_ms(settings.key_staleness_ms());
    settings_.set_stop_grace_s(settings.stop_grace_s());
    settings_.set_retry_ratio(settings.retry_ratio());
    settings_.set_retry_slack(settings.retry_slack());
    settings_.set_address_validity_s(settings.address_validity_s());
    settings_.set_memory_mb(settings.memory_mb());
    apply_limits();
    add_seed_addresses();
}

bool relay_node::listen(http_server& server, const std::string& address)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!split_address(address, ip, port) || !server.listen(ip, port)) {
        last_reason_ = ip.empty() ? "expected an address ip:port, found \"" + address + "\""
                                  : server.last_reason();
        return false;
    }
    return true;
}

bool relay_node::start()
{
    const auto port = static_cast<std::uint16_t>(settings_.peer_port());
    if (!peers_->listen(settings_.address(), port)) {
        last_reason_ = peers_->last_reason();
        return false;
    }
    const std::string metrics_address =
        settings_.address() + ":" + std::to_string(settings_.metrics_port());
    const std::string detour_address = settings_.address() + ":" + std::to_string(port);
    if (!listen(detours_, detour_address) || !listen(calls_, settings_.call_address()) ||
        !listen(ready_, settings_.ready_address()) ||
        !listen(directory_, settings_.directory_address()) || !listen(metrics_, metrics_address)) {
        return false;
    }
    add_seed_addresses();
    spawn_task(executor_, "configuration", view_->follow_configuration());
    spawn_task(executor_, "backends", view_->follow_backends());
    spawn_task(executor_, "replicas", view_->follow_replicas());
    spawn_task(executor_, "peer sender", peers_->run_sender());
    spawn_task(executor_, "peer receiver", peers_->run_receiver());
    spawn_task(executor_, "restore", restorer_->run());
    spawn_task(executor_, "assembly", assembler_->run());
    crash_exchange_->start();
    spawn_task(executor_, "crash evidence", crash_exchange_->load());
    spawn_task(executor_, "address", addresses_->publish());
    spawn_task(executor_, "node list", addresses_->follow());
    spawn_task(executor_, "fleet", run_fleet_checks());
    spawn_task(executor_, "loop lag", context_.lag.measure());
    node_log.write("started", {{"address", settings_.call_address()},
                               {"incarnation", std::to_string(incarnation_)},
                               {"store", settings_.store_address()}});
    return true;
}

void relay_node::apply_configuration(const published_configuration_ptr& configuration)
{
    for (const auto& [name, service] : configuration->services()) {
        if (service.engine) {
            context_.replica_lb->set_profile(name, *service.engine);
        }
    }
    const caller_limits& given = configuration->limits();
    call_limits_.max_body_bytes = given.max_body_bytes;
    call_limits_.max_header_bytes = given.max_header_bytes;
    call_limits_.header_read_timeout = given.header_timeout;
    // A request may be sent just before the timeout.
    call_limits_.idle_timeout = given.idle_timeout + 1s;
    calls_.set_limits(call_limits_);
    apply_fleet_change();
}

void relay_node::apply_fleet_change()
{
    context_.replica_lb->set_serving(view_->serving());
    context_.queue->admit_waiting();
    if (assembler_) {
        assembler_->plan_soon();
    }
}

/** \return the configuration to serve calls by, or null while this node has just started and may
 * know an older one than the others.
 */
published_configuration_ptr relay_node::served_configuration()
{
    if (!caught_up_ && !restorer_->is_behind()) {
        caught_up_ = true;
        node_log.write("caught_up", {{"ledger_era", std::to_string(view_->ledger().end().era)}});
    }
    return caught_up_ ? view_->configuration() : nullptr;
}

/** \return true once a restore of the log that happened just before the start of this node can't
 * hide a newer configuration from it.
 */
bool relay_node::knows_newest_configuration()
{
    return served_configuration() && monotonic_clock::now() - started_at_ >= log_rewrite_time;
}

bool relay_node::ready()
{
    return !context_.leaving && served_configuration() != nullptr;
}

asio::awaitable<void> relay_node::drain()
{
    const time_point now = monotonic_clock::now();
    stop_grace& stopping = context_.stopping;
    stopping.begin(now, from_ms(1000 * settings_.stop_grace_s()));
    context_.leaving = true;
    calls_.disable_keep_alive();
    detours_.disable_keep_alive();
    peers_->broadcast();
    node_log.write("stopping",
                   {{"calls_in_progress", std::to_string(calls_.requests_in_progress())}});
    co_await sleep_for(stopping.accepting_end() - now);
    calls_.stop_accepting();
    co_await sleep_for(last_request_wait); // For requests on connections accepted just before.
    bool has_ended_calls = false;
    const auto in_progress = [this] {
        return calls_.requests_in_progress() + detours_.requests_in_progress();
    };
    while (in_progress() > 0 && monotonic_clock::now() < stopping.exit_at()) {
        if (!has_ended_calls && monotonic_clock::now() >= stopping.calls_end()) {
            has_ended_calls = true;
            context_.end_calls();
        }
        co_await sleep_for(drain_check_interval);
    }
    node_log.write("stopped", {{"calls_cut_off", std::to_string(calls_.requests_in_progress())}});
}

} // namespace chervildyke
