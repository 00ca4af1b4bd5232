/** \file
 * Implements relay_node.
 */
#include "relay/relay_node.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/milliseconds.h"
#include "base/task.h"
#include "members/lead_choice.h"
#include "relay/call_intake.h"

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

constexpr duration apply_reserve = 1200ms;       // Of the time in which a configuration must be in
                                                 // force: to read it, and for calls on their way.
constexpr duration shortest_shared_age = 1500ms; // Below, nodes that read for others would read
                                                 // more often than each for itself.
constexpr std::size_t fewest_sharing = 6;  // Nodes of a failure domain; fewer read for themselves.
constexpr duration reader_check = 200ms;   // How often the choice of the reader is renewed.
constexpr double ask_share = 0.2;          // Of the age at which a node reads for itself: between
                                           // two questions.
constexpr double worry_share = 0.75;       // From this share on another node is asked as well.
constexpr std::size_t news_bytes = 12'000; // In one datagram, beside its header.
constexpr std::size_t max_note_bytes = 60'000; // Of a datagram.
constexpr duration never_read = 24h;           // The age told of a topic that was not read yet.
constexpr const char* plain_text = "text/plain";

using record_words = google::protobuf::RepeatedPtrField<schema::ledger_record>;

std::vector<keyed_record> from_words(const record_words& words)
{
    std::vector<keyed_record> records;
    for (const schema::ledger_record& word : words) {
        keyed_record record;
        record.offset = word.offset();
        record.key = word.key();
        if (!word.value().empty()) {
            record.value = word.value();
        }
        records.push_back(std::move(record));
    }
    return records;
}

void to_words(const std::vector<keyed_record>& records, record_words& words)
{
    for (const keyed_record& record : records) {
        schema::ledger_record& word = *words.Add();
        word.set_offset(record.offset);
        word.set_key(record.key);
        word.set_value(record.value.value_or(""));
    }
}

/** \return the age up to which a node relies on what others have read; zero: not at all. */
duration shared_configuration_age(const schema::relay_settings& settings)
{
    const duration age = from_ms(settings.configuration_apply_ms()) - apply_reserve;
    return age < shortest_shared_age ? duration::zero() : age;
}

std::uint32_t in_whole_ms(duration span)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

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
      metrics_(executor_, [this](http_exchange& exchange) { return serve_metrics(exchange); }),
      asker_(random_)
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
    context_.board = std::make_shared<replica_board>(random_);
    context_.gate = std::make_shared<call_gate>(executor_, *context_.board);
    context_.book = std::make_shared<backend_book>(settings_.failure_domain(), random_);
    context_.backends = &view_->backends();
    context_.services = [this] { return view_->services(); };
    context_.configuration_age = [this] { return view_->configuration_age(); };
    view_->on_configuration = [this](const service_map_ptr& map) { take_configuration(map); };
    view_->on_change = [this] { take_change(); };
    view_->wants_fresh_list = [this] { return leads(); };
    view_->reads_for_itself = [this] { return !reader_; };
    view_->on_read = [this](schema::shared_topic topic, const keyed_records& read) {
        forward_news(topic, read);
    };
    peer_exchange_settings exchange;
    exchange.failure_domain = settings_.failure_domain();
    peers_ = std::make_shared<peer_exchange>(
        executor_, [this](schema::peer_word& word) { describe(word); }, random_, exchange);
    apply_limits();
    peers_->on_note = [this](const schema::peer_word& note) { take_note(note); };
    peers_->on_word = [this](const schema::peer_word& word) { take_word(word); };
    assembler_hooks hooks;
    hooks.leads = [this] { return leads(); };
    hooks.services = [this] { return view_->services(); };
    hooks.calls_began = [this] { return calls_began_; };
    hooks.list_is_current = [this] {
        const auto age = view_->backend_age();
        return age && *age < list_current_limit;
    };
    hooks.demand_ms_per_s = [this] { return demand(); };
    hooks.refresh_ledger = [this] { return view_->read_replicas(); };
    hooks.take_records = [this](const keyed_records& records) {
        view_->take_replica_records(records);
        peers_->tell_all();
    };
    const assembly_settings assembly;
    assembler_ = std::make_shared<assembler>(executor_, surroundings_.log, surroundings_.engines,
                                             view_->ledger(), view_->backends(), *context_.board,
                                             std::move(hooks), assembly);
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
        peers_->introduce(seed.substr(0, seed.rfind(':')),
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
    spawn_task(executor_, "peer words", peers_->send_words());
    spawn_task(executor_, "peer reader", peers_->receive_words());
    spawn_task(executor_, "assembly", assembler_->run());
    spawn_task(executor_, "address", publish_address());
    spawn_task(executor_, "node list", follow_peers());
    spawn_task(executor_, "shared reading", share_reading());
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
                peers_->introduce(node.address(), static_cast<std::uint16_t>(node.port()));
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

void relay_node::take_configuration(const service_map_ptr& services)
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
}

void relay_node::take_word(const schema::peer_word& word)
{
    std::map<std::uint64_t, replica_use> uses;
    for (const schema::replica_count& count : word.counts()) {
        uses[count.epoch()] = {count.running(), count.prompt_tokens(),
                               std::chrono::milliseconds(count.silent_ms()), count.refuses()};
    }
    const bool is_far = peers_->is_large() && word.failure_domain() != settings_.failure_domain();
    context_.board->note_peer(word.name(), std::move(uses), monotonic_clock::now(), is_far);
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
    for (const auto& [epoch, use] : context_.board->own_uses(now)) {
        schema::replica_count& count = *word.add_counts();
        count.set_epoch(epoch);
        count.set_running(use.running);
        count.set_prompt_tokens(use.prompt_tokens);
        count.set_silent_ms(in_whole_ms(use.silent));
        count.set_refuses(use.refuses);
    }
}

/** The other nodes of this failure domain that are not about to stop. */
std::vector<const schema::peer_word*> relay_node::domain_peers() const
{
    std::vector<const schema::peer_word*> peers;
    for (const known_node* node : peers_->live()) {
        const schema::peer_word& word = node->word;
        if (word.failure_domain() == settings_.failure_domain() && !word.leaving()) {
            peers.push_back(&word);
        }
    }
    return peers;
}

/** In a large failure domain one node reads the log for the others. That two think themselves the
 * first, or none, costs calls on the log and nothing else.
 */
void relay_node::choose_reader()
{
    const auto peers = domain_peers();
    // Those with the most processor time, which goes with the widest link: news come in bursts.
    std::vector<std::string> able;
    double most = view_->store_is_sound() ? settings_.processor_share() : 0;
    for (const schema::peer_word* word : peers) {
        most = std::max(most, word->sound_store() ? word->processor_share() : 0);
    }
    for (const schema::peer_word* word : peers) {
        if (word->sound_store() && word->processor_share() >= most) {
            able.push_back(word->name());
        }
    }
    const bool shared = shared_configuration_age(settings_) > duration::zero() &&
                        peers.size() + 1 >= fewest_sharing && !context_.leaving;
    const bool self_able = view_->store_is_sound() && settings_.processor_share() >= most;
    if (!shared || (able.empty() && !self_able)) {
        reader_.reset();
        reads_for_domain_ = false;
        return;
    }
    if (self_able) {
        able.push_back(settings_.name());
    }
    const std::string first = rendezvous_order(settings_.failure_domain(), able, 1).front();
    reads_for_domain_ = first == settings_.name();
    reader_.reset();
    for (const schema::peer_word* word : peers) {
        if (word->name() == first) {
            reader_ = *word;
        }
    }
}

void relay_node::ask_for_freshness(const schema::peer_word& peer)
{
    schema::peer_word note;
    note.mutable_question()->set_nonce(asker_.ask(awake_or_suspended_time()));
    peers_->send_note(std::move(note), peer.address(), static_cast<std::uint16_t>(peer.port()));
}

/** Calls of nodes that are gone have ended; in a large fleet calls stay in their failure domain;
 * the retry budget is divided by the nodes that live.
 */
void relay_node::follow_fleet_size()
{
    std::set<std::string> live;
    for (const known_node* node : peers_->live()) {
        live.insert(node->word.name());
    }
    context_.board->retain_peers(live);
    apply_limits();
    context_.board->prefer_domain(peers_->is_large() ? settings_.failure_domain() : "");
}

asio::awaitable<void> relay_node::share_reading()
{
    const duration limit = shared_configuration_age(settings_);
    const auto share = [limit](double part) {
        return std::chrono::duration_cast<duration>(limit * part);
    };
    while (true) {
        co_await sleep_for(reader_check);
        choose_reader();
        follow_fleet_size();
        const time_point now = monotonic_clock::now();
        if (!reader_ || now - asked_at_ < share(ask_share)) {
            continue;
        }
        asked_at_ = now;
        ask_for_freshness(*reader_);
        const auto age = view_->configuration_age();
        const auto others = peers_->live();
        if (age && *age > share(worry_share) && !others.empty()) {
            ask_for_freshness(others[random_below(random_, others.size())]->word);
        }
    }
}

void relay_node::take_note(const schema::peer_word& note)
{
    if (note.has_question() && view_->configuration_age()) {
        schema::peer_word reply;
        schema::freshness_answer& answer = *reply.mutable_answer();
        answer.set_nonce(note.question().nonce());
        answer.set_configuration_end(view_->configuration_offset());
        answer.set_configuration_age_ms(in_whole_ms(*view_->configuration_age()) + 1);
        peers_->send_note(std::move(reply), note.address(),
                          static_cast<std::uint16_t>(note.port()));
    }
    if (note.has_answer()) {
        const schema::freshness_answer& answer = note.answer();
        const auto age =
            asker_.age_at(answer.nonce(), std::chrono::milliseconds(answer.configuration_age_ms()),
                          awake_or_suspended_time());
        if (age) {
            view_->confirm_configuration(answer.configuration_end(), *age);
        }
        else {
            view_->note_newer_configuration(answer.configuration_end());
        }
    }
    if (note.has_news()) {
        view_->take_news(note.news().topic(), {from_words(note.news().records()), 0});
    }
}

/** Sends what this node has read to the others of its failure domain, in as many datagrams as it
 * takes. Who misses one reads the log.
 */
void relay_node::forward_news(schema::shared_topic topic, const keyed_records& read)
{
    if (!reads_for_domain_ || read.records.empty()) {
        return;
    }
    std::vector<schema::peer_word> notes;
    std::size_t bytes = news_bytes;
    for (const keyed_record& record : read.records) {
        const std::size_t size = record.key.size() + (record.value ? record.value->size() : 0);
        if (bytes + size > news_bytes) {
            notes.emplace_back().mutable_news()->set_topic(topic);
            bytes = 0;
        }
        bytes += size;
        to_words({record}, *notes.back().mutable_news()->mutable_records());
    }
    if (topic == schema::shared_topic_configuration) {
        // One that fits no datagram is read by each node.
        schema::freshness_answer& end = *notes.emplace_back().mutable_answer();
        end.set_configuration_end(read.next_offset);
        std::erase_if(notes, [](const schema::peer_word& note) {
            return note.ByteSizeLong() > max_note_bytes;
        });
    }
    for (const schema::peer_word* peer : domain_peers()) {
        for (const schema::peer_word& note : notes) {
            peers_->send_note(note, peer->address(), static_cast<std::uint16_t>(peer->port()));
        }
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
    const lead_candidate self{settings_.name(), settings_.processor_share(), assembler_->leading()};
    for (const known_node* node : peers_->live()) {
        const schema::peer_word& word = node->word;
        const bool able = word.sound_store() && !word.leaving() &&
                          std::chrono::milliseconds(word.up_ms()) >= lead_after;
        if (able && goes_first({word.name(), word.processor_share(), word.leading()}, self)) {
            return false;
        }
    }
    return true;
}

std::map<std::string, double> relay_node::demand() const
{
    std::map<std::string, double> total = context_.demand.rates(monotonic_clock::now());
    for (const known_node* node : peers_->live()) {
        for (const schema::model_demand& part : node->word.demands()) {
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
        if (node->word.ready() && !node->word.leaving()) {
            (node->word.sound_store() ? sound : others).push_back(node->word.call_address());
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
    peers_->tell_all();
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
