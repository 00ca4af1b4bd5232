/** \file
 * Implements relay_node.
 */
#include "relay/relay_node.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/milliseconds.h"
#include "base/task.h"
#include "members/leader_ranking.h"
#include "relay/call_intake.h"
#include "relay/word_values.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log node_log("node");

constexpr const char* node_topic = "nodes";
constexpr double drain_share = 0.6;         // Of the time that leaving servers take calls, between
                                            // two reads of their list.
constexpr duration list_current_limit = 4s; // Two reads of the list.
constexpr duration lead_after = 1200ms;     // Since the start: peers are known by then.
constexpr duration key_margin = 500ms;      // For clocks that run apart and calls on their way.
constexpr double retry_use = 0.6;           // Of the budget of all nodes: what a node has spent is
                                            // forgotten when it starts again.
constexpr std::size_t fewest_nodes = 8;   // Among which the budget's slack is divided; a node that
                                          // has just started knows of fewer than there are.
constexpr duration grace_reserve = 600ms; // Of the grace time, to end in order.
constexpr duration last_requests = 300ms; // A round trip of most callers.
constexpr duration leaving_accept = 2500ms; // Callers keep an address for that long.

constexpr duration fleet_check = 200ms; // How often it is looked at who lives and who reads.
constexpr duration never_read = 24h;    // The age told of a topic that was not read yet.
constexpr const char* plain_text = "text/plain";

} // namespace

relay_node::relay_node(asio::any_io_executor executor, schema::relay_settings settings,
                       relay_surroundings surroundings, std::shared_ptr<http_client> http,
                       random_source random)
    : executor_(std::move(executor)), settings_(std::move(settings)),
      surroundings_(std::move(surroundings)), random_(std::move(random)),
      incarnation_(wall_clock_ms()), started_at_(monotonic_clock::now()),
      calls_(executor_, [this](http_exchange& exchange) { return serve(exchange); }),
      ready_(executor_, [this](http_exchange& exchange) { return serve_ready(exchange); }),
      directory_(executor_, [this](http_exchange& exchange) { return serve_directory(exchange); }),
      metrics_(executor_, [this](http_exchange& exchange) { return serve_metrics(exchange); })
{
    fleet_view_settings view;
    view.backend_interval =
        std::chrono::duration_cast<duration>(from_ms(settings_.backend_drain_ms()) * drain_share);
    view.told_configuration_limit = shared_configuration_age(settings_);
    view_ = std::make_shared<fleet_view>(executor_, surroundings_.log, surroundings_.fleet, random_,
                                         from_ms(settings_.clock_settle_ms()), view);
    context_.executor = executor_;
    context_.random = random_;
    context_.dialect = surroundings_.calls;
    context_.http = std::move(http);
    context_.metrics = std::make_shared<metrics_registry>();
    context_.metrics->gauge("chervil_log_lines_dropped",
                            [] { return static_cast<double>(dropped_event_lines()); });
    context_.metrics->gauge("chervil_calls_waiting",
                            [this] { return static_cast<double>(context_.gate->waiting()); });
    context_.metrics->gauge("chervil_loop_lag_seconds", [this] {
        return std::chrono::duration<double>(context_.lag.now()).count();
    });
    context_.board = std::make_shared<replica_balancer>(random_);
    context_.gate = std::make_shared<call_gate>(executor_, *context_.board);
    context_.notices = surroundings_.notices;
    context_.notices->on_change = [this](const backend_incarnation& server,
                                         const backend_availability& held) {
        note_standing(server, held);
    };
    context_.board->head_availability = [this](const serving_replica& replica, time_point now) {
        return context_.notices->availability(head_incarnation(replica), now);
    };
    context_.book = std::make_shared<backend_balancer>(settings_.failure_domain(), random_);
    context_.backends = &view_->backends();
    context_.services = [this] { return view_->services(); };
    context_.configuration_age = [this] { return view_->configuration_age(); };
    view_->on_configuration = [this](const published_configuration_ptr& map) {
        take_configuration(map);
    };
    view_->on_change = [this] { take_change(); };
    view_->wants_fresh_list = [this] { return leads(); };
    view_->reads_for_itself = [this] { return reading_->reads_for_itself(); };
    view_->on_read = [this](schema::shared_topic topic, const keyed_records& read) {
        reading_->forward_news(topic, read);
    };
    peer_gossip_settings exchange;
    exchange.failure_domain = settings_.failure_domain();
    peers_ = std::make_shared<peer_gossip>(
        executor_, [this](schema::peer_word& word) { describe(word); }, random_, exchange);
    reading_ = std::make_unique<shared_reading>(settings_, *view_, *peers_, random_);
    apply_limits();
    peers_->on_message = [this](const schema::peer_word& note) { reading_->take_note(note); };
    peers_->on_state = [this](const schema::peer_word& word) { take_word(word); };
    assembler_hooks hooks;
    hooks.is_leader = [this] { return leads(); };
    hooks.services = [this] { return view_->services(); };
    hooks.calls_began = [this] { return calls_began_; };
    hooks.list_is_current = [this] {
        const auto age = view_->backend_age();
        return age && *age < list_current_limit;
    };
    hooks.may_probe = [this](const backend& vm) {
        return !context_.notices->availability(incarnation_of(vm), monotonic_clock::now())
                    .paused_until;
    };
    hooks.demand_ms_per_s = [this] { return demand(); };
    hooks.refresh_ledger = [this] { return view_->read_replicas(); };
    hooks.apply_records = [this](const keyed_records& records) {
        view_->take_replica_records(records);
        peers_->broadcast();
    };
    const assembly_settings assembly;
    assembler_ = std::make_shared<assembler>(executor_, surroundings_.log, surroundings_.engines,
                                             view_->ledger(), view_->backends(), *context_.board,
                                             std::move(hooks), assembly);
}

void relay_node::note_standing(const backend_incarnation& server, const backend_availability& held)
{
    const duration pause = held.paused_until.value_or(time_point{}) - monotonic_clock::now();
    const duration left = std::max<duration>(pause, duration::zero());
    node_log.write("backend_standing", {{"backend", server.id},
                                        {"started_ms", std::to_string(server.started_ms)},
                                        {"leaving", held.leaving ? "yes" : "no"},
                                        {"pause_ms", to_ms_text(left)},
                                        {"cause", "its own answer"}});
    context_.metrics->counter("chervil_backend_notices_total",
                              {{"leaving", held.leaving ? "yes" : "no"}}) += 1;
}

void relay_node::apply_limits()
{
    context_.limits.retry_ratio = settings_.retry_ratio() * retry_use;
    const auto nodes = static_cast<double>(std::max(fewest_nodes, peers_->live().size() + 1));
    context_.limits.retry_reserve = settings_.retry_slack() * retry_use / nodes;
    context_.limits.key_staleness = from_ms(settings_.key_staleness_ms()) - key_margin;
}

void relay_node::introduce_seeds()
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
    apply_limits();
    introduce_seeds();
}

bool relay_node::listen(http_server& server, const std::string& address)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!split_address(address, ip, port) || !server.listen(ip, port)) {
        last_reason_ = ip.empty() ? "not ip:port: " + address : server.last_reason();
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
    if (!listen(calls_, settings_.call_address()) || !listen(ready_, settings_.ready_address()) ||
        !listen(directory_, settings_.directory_address()) || !listen(metrics_, metrics_address)) {
        return false;
    }
    introduce_seeds();
    spawn_task(executor_, "configuration", view_->follow_configuration());
    spawn_task(executor_, "backends", view_->follow_backends());
    spawn_task(executor_, "replicas", view_->follow_replicas());
    spawn_task(executor_, "peer words", peers_->run_sender());
    spawn_task(executor_, "peer reader", peers_->run_receiver());
    spawn_task(executor_, "assembly", assembler_->run());
    spawn_task(executor_, "address", publish_address());
    spawn_task(executor_, "node list", follow_peers());
    spawn_task(executor_, "fleet", follow_fleet());
    spawn_task(executor_, "loop lag", context_.lag.measure());
    node_log.write("started", {{"address", settings_.call_address()},
                               {"incarnation", std::to_string(incarnation_)},
                               {"store", settings_.store_address()}});
    return true;
}

asio::awaitable<void> relay_node::publish_address()
{
    schema::known_peer self;
    self.set_address(settings_.address());
    self.set_port(settings_.peer_port());
    keyed_record record;
    record.key = settings_.name();
    record.value = self.SerializeAsString();
    while (true) {
        auto put = co_await surroundings_.log.put(node_topic, record);
        if (put) {
            co_return;
        }
        node_log.write("address_not_published", {{"reason", put.last_reason().reason}});
        co_await sleep_for(1s);
    }
}

asio::awaitable<void> relay_node::follow_peers()
{
    topic_hooks hooks;
    hooks.replace = [this](const keyed_records& records) {
        for (const keyed_record& record : records.records) {
            schema::known_peer node;
            if (record.value && node.ParseFromString(*record.value)) {
                peers_->add_address(node.address(), static_cast<std::uint16_t>(node.port()));
            }
        }
    };
    hooks.apply = hooks.replace;
    hooks.outage = [] {};
    topic_follower follower(surroundings_.log, node_topic, hooks);
    constexpr duration wait = 25s;    // New nodes also introduce themselves to the seeds.
    constexpr duration interval = 4s; // When all nodes start, each adds a record.
    while (true) {
        const bool read = co_await follower.read_once(wait);
        co_await sleep_for(read ? interval : 1s);
    }
}

void relay_node::take_configuration(const published_configuration_ptr& services)
{
    for (const auto& [name, service] : services->services()) {
        if (service.engine) {
            context_.board->set_profile(name, *service.engine);
        }
    }
    const caller_limits& given = services->limits();
    http_limits limits;
    limits.max_body_bytes = given.max_body_bytes;
    limits.max_header_bytes = given.max_header_bytes;
    limits.request_read_timeout = given.header_timeout;
    limits.idle_timeout = given.idle_timeout + 1s; // A request may cross the end of its time.
    calls_.set_limits(limits);
    take_change();
}

void relay_node::take_change()
{
    context_.board->set_serving(view_->serving());
    context_.gate->pump();
    if (assembler_) {
        assembler_->plan_soon();
    }
}

void relay_node::take_word(const schema::peer_word& word)
{
    std::map<std::uint64_t, replica_usage> uses;
    for (const schema::replica_count& count : word.counts()) {
        uses[count.epoch()] = {count.running(), count.prompt_tokens(),
                               std::chrono::milliseconds(count.silent_ms()), count.refuses()};
    }
    const bool is_far =
        peers_->fleet_exceeds_fanout() && word.failure_domain() != settings_.failure_domain();
    context_.board->note_peer_usage(word.name(), std::move(uses), monotonic_clock::now(), is_far);
    context_.gate->pump();
    calls_began_ = calls_began_ || word.calls_began();
    for (const schema::running_load& load : word.loads()) {
        assembler_->note_running_load(load);
    }
    const told_topic replicas{word.replica_log_end(),
                              std::chrono::milliseconds(word.replica_log_age_ms()),
                              from_words(word.records())};
    const told_topic backends{word.backend_list_end(),
                              std::chrono::milliseconds(word.backend_list_age_ms()),
                              from_words(word.backend_records())};
    view_->take_told_replicas(replicas);
    if (word.leading()) {
        view_->take_told_backends(backends);
    }
    else {
        view_->confirm_backends(backends);
    }
    view_->note_newer_replicas(word.replica_log_end());
}

void relay_node::describe(schema::peer_word& word)
{
    const time_point now = monotonic_clock::now();
    word.set_name(settings_.name());
    word.set_address(settings_.address());
    word.set_port(settings_.peer_port());
    word.set_incarnation(incarnation_);
    word.set_call_address(settings_.call_address());
    word.set_failure_domain(settings_.failure_domain());
    word.set_ready(ready());
    word.set_leaving(context_.leaving);
    word.set_sound_store(view_->store_is_sound());
    word.set_replica_log_end(view_->ledger().end());
    word.set_calls_began(calls_began_);
    word.set_up_ms(in_whole_ms(now - started_at_));
    for (const auto& [model, rate] : context_.demand.rates(now)) {
        schema::model_demand& demand = *word.add_demands();
        demand.set_model(model);
        demand.set_work_ms_per_s(rate);
    }
    word.set_leading(assembler_->leading());
    word.set_processor_share(settings_.processor_share());
    word.set_replica_log_age_ms(in_whole_ms(view_->replica_age().value_or(never_read)));
    word.set_backend_list_end(view_->backend_list_end());
    word.set_backend_list_age_ms(in_whole_ms(view_->backend_age().value_or(never_read)));
    if (assembler_->leading()) {
        to_words(view_->recent_replicas(), *word.mutable_records());
        to_words(view_->recent_backends(), *word.mutable_backend_records());
        for (schema::running_load& load : assembler_->running_loads()) {
            *word.add_loads() = std::move(load);
        }
    }
    for (const auto& [epoch, use] : context_.board->own_usage(now)) {
        schema::replica_count& count = *word.add_counts();
        count.set_epoch(epoch);
        count.set_running(use.running);
        count.set_prompt_tokens(use.prompt_tokens);
        count.set_silent_ms(in_whole_ms(use.silent));
        count.set_refuses(use.refuses);
    }
}

/** Calls of nodes that are gone have ended; in a large fleet calls stay in their failure domain;
 * the retry budget is divided by the nodes that live.
 */
asio::awaitable<void> relay_node::follow_fleet()
{
    while (true) {
        co_await sleep_for(fleet_check);
        reading_->renew(context_.leaving);
        std::set<std::string> live;
        for (const known_node* node : peers_->live()) {
            live.insert(node->state.name());
        }
        context_.board->retain_peers(live);
        apply_limits();
        context_.board->prefer_domain(peers_->fleet_exceeds_fanout() ? settings_.failure_domain()
                                                                     : "");
    }
}

bool relay_node::ready() const
{
    return !context_.leaving && view_->services() != nullptr;
}

bool relay_node::leads() const
{
    if (context_.leaving || !view_->store_is_sound() ||
        monotonic_clock::now() - started_at_ < lead_after) {
        return false;
    }
    const leader_candidate self{settings_.name(), settings_.processor_share(),
                                assembler_->leading()};
    for (const known_node* node : peers_->live()) {
        const schema::peer_word& word = node->state;
        const bool able = word.sound_store() && !word.leaving() &&
                          std::chrono::milliseconds(word.up_ms()) >= lead_after;
        if (able && ranks_before({word.name(), word.processor_share(), word.leading()}, self)) {
            return false;
        }
    }
    return true;
}

std::map<std::string, double> relay_node::demand() const
{
    std::map<std::string, double> total = context_.demand.rates(monotonic_clock::now());
    for (const known_node* node : peers_->live()) {
        for (const schema::model_demand& part : node->state.demands()) {
            total[part.model()] += part.work_ms_per_s();
        }
    }
    return total;
}

std::vector<std::string> relay_node::call_addresses() const
{
    std::vector<std::string> sound;
    std::vector<std::string> others;
    if (ready()) {
        (view_->store_is_sound() ? sound : others).push_back(settings_.call_address());
    }
    for (const known_node* node : peers_->live()) {
        if (node->state.ready() && !node->state.leaving()) {
            (node->state.sound_store() ? sound : others).push_back(node->state.call_address());
        }
    }
    return sound.empty() ? others : sound;
}

asio::awaitable<void> relay_node::serve(http_exchange& exchange)
{
    calls_began_ = true;
    co_await serve_call(context_, exchange);
}

asio::awaitable<void> relay_node::serve_ready(http_exchange& exchange)
{
    const bool answer = ready();
    http_reply reply =
        text_reply(answer ? 200 : 503, answer ? "ready\n" : "not ready\n", plain_text);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> relay_node::serve_directory(http_exchange& exchange)
{
    constexpr std::size_t max_addresses = 64; // Callers read no more.
    std::vector<std::string> addresses = call_addresses();
    for (std::size_t i = 0; i + 1 < addresses.size(); ++i) {
        std::swap(addresses[i], addresses[i + random_below(random_, addresses.size() - i)]);
    }
    addresses.resize(std::min(addresses.size(), max_addresses));
    const duration validity = from_ms(1000 * settings_.address_validity_s());
    http_reply reply = addresses.empty() ? text_reply(503, "no node is ready\n", plain_text)
                                         : surroundings_.fleet.write_directory(addresses, validity);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> relay_node::serve_metrics(http_exchange& exchange)
{
    http_reply reply = text_reply(200, context_.metrics->to_text());
    reply.content_type = "text/plain; version=0.0.4; charset=utf-8";
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> relay_node::drain()
{
    const time_point end =
        monotonic_clock::now() + from_ms(1000 * settings_.stop_grace_s()) - grace_reserve;
    context_.leaving = true;
    calls_.close_after_answers();
    peers_->broadcast();
    node_log.write("stopping",
                   {{"calls_in_progress", std::to_string(calls_.requests_in_progress())}});
    co_await sleep_for(leaving_accept);
    calls_.stop_accepting();
    co_await sleep_for(last_requests); // On connections that were accepted just now.
    while (calls_.requests_in_progress() > 0 && monotonic_clock::now() < end) {
        co_await sleep_for(20ms);
    }
    node_log.write("stopped", {{"calls_cut_off", std::to_string(calls_.requests_in_progress())}});
}

} // namespace chervildyke
