/** \file
 * Implements the hooks between the parts of a control.
 */
#include "control/control_parts.h"

#include <algorithm>
#include <utility>

#include "members/watch_assignment.h"
#include "replicas/view_builder.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration peer_timeout = 2s;
constexpr duration self_news_interval = 500ms;
constexpr duration peer_memory = 10min;  // A client not used for so long is dropped.
constexpr std::size_t unheard_part = 10; // At most one engine in ten may be unknown to a plan.

/** What this control says of itself when it starts. */
schema::member_news own_news(const schema::control_settings& settings,
                             const control_options& options)
{
    schema::member_news news;
    news.set_vm(options.self);
    news.set_incarnation(options.incarnation);
    news.set_address(settings.node().address() + ":" + std::to_string(settings.grpc_port()));
    news.set_failure_domain(settings.node().failure_domain());
    news.set_condition(schema::alive);
    return news;
}

journal_failure no_member()
{
    return {journal_error::unavailable, "no other member is known"};
}

template <typename Value>
journal_result<Value> to_journal_result(rpc_result<Value> below)
{
    if (below) {
        return std::move(*below);
    }
    return journal_failure{journal_error::unavailable, below.last_reason().reason};
}

} // namespace

control_node::parts::parts(asio::any_io_executor executor_in, schema::control_settings settings_in)
    : executor(std::move(executor_in)), settings(std::move(settings_in)), random(system_random()),
      options(make_control_options(settings,
                                   settings.node().vm() + "-" + random_id(random).substr(0, 12))),
      http(std::make_shared<http_client>(executor)),
      peers(executor, static_cast<std::uint16_t>(settings.grpc_port())),
      entry(http, settings.node().address() + ":" + std::to_string(settings.entry_http_port()),
            settings.node().failure_domain()),
      journal(options.journal, make_journal_hooks()), members(own_news(settings, options)),
      probes(prober_options(), make_prober_hooks(), members),
      table(options.self, options.bounds,
            [this](const std::string& pool) { return role_of_pool(pool); }),
      watcher(executor, options.self, table, make_watcher_hooks(), options.watcher),
      keeper(executor, options.self, table, make_keeper_hooks(), options.keeper),
      desk(executor, options.desk, http_log_client(http, settings.platform().log()), random,
           make_desk_hooks()),
      views([this] { return current_view(); }, options.view_heartbeat),
      rpc(executor, make_rpc_hooks()), pages(executor, control_http_handler(make_page_hooks()))
{
}

std::shared_ptr<control_client> control_node::parts::advanced_peer()
{
    const auto address = members.most_advanced_address();
    if (address) {
        return peers.at(*address);
    }
    const auto& seeds = settings.seed_addresses();
    if (seeds.empty()) {
        return nullptr;
    }
    // Nobody was heard yet: a new process asks one of its seeds.
    const auto pick = random_below(random, static_cast<std::uint64_t>(seeds.size()));
    return peers.at(seeds[static_cast<int>(pick)]);
}

std::shared_ptr<control_client> control_node::parts::peer_of(const std::string& vm)
{
    const auto found = members.others().find(vm);
    return found == members.others().end() ? nullptr : peers.at(found->second.state.address());
}

asio::awaitable<void> control_node::parts::keep_self_news()
{
    while (true) {
        members.update_self(entry.status().load(), journal.highest_offset(),
                            entry.status().configuration_version());
        co_await sleep_for(self_news_interval);
    }
}

asio::awaitable<void> control_node::parts::forget_gone_peers()
{
    while (true) {
        co_await sleep_for(peer_memory);
        peers.forget_unused();
    }
}

prober_hooks control_node::parts::make_prober_hooks()
{
    prober_hooks hooks;
    hooks.probe = [this](std::string address, schema::probe_request request,
                         duration timeout) -> asio::awaitable<member_result<schema::probe_reply>> {
        const auto peer = peers.at(address);
        auto reply = co_await peer->probe(std::move(request), timeout);
        if (!reply) {
            co_return member_failure{member_error::unreachable, reply.last_reason().reason};
        }
        co_return std::move(*reply);
    };
    hooks.seeds = [this] { return control_addresses(); };
    hooks.highest_offset = [this] { return journal.highest_offset(); };
    hooks.random = random;
    return hooks;
}

std::vector<std::string> control_node::parts::control_addresses() const
{
    const std::string port = ":" + std::to_string(settings.grpc_port());
    std::vector<std::string> addresses;
    for (const std::string& seed : settings.seed_addresses()) {
        addresses.push_back(seed + port);
    }
    for (const schema::entry_view& listed : known_entries()) {
        const std::string ip = listed.address().substr(0, listed.address().find(':'));
        if (listed.vm() != options.self) {
            addresses.push_back(ip + port);
        }
    }
    return addresses;
}

journal_hooks control_node::parts::make_journal_hooks()
{
    journal_hooks hooks;
    hooks.log = http_log_client(http, settings.platform().log());
    hooks.random = random;
    hooks.fetch_records = [this](schema::record_request request)
        -> asio::awaitable<journal_result<schema::record_batch>> {
        const auto peer = advanced_peer();
        if (!peer) {
            co_return no_member();
        }
        auto reply = co_await peer->read_records(std::move(request), peer_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.fetch_snapshot = [this]() -> asio::awaitable<journal_result<schema::state_snapshot>> {
        const auto peer = advanced_peer();
        if (!peer) {
            co_return no_member();
        }
        auto reply = co_await peer->fetch_snapshot(schema::snapshot_request(), peer_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.highest_member_offset = [this] { return members.highest_heard_offset(); };
    hooks.is_preferred_checkpointer = [this] {
        return is_first_member_for("checkpoints", options.self, members.alive_members());
    };
    return hooks;
}

vm_watcher_hooks control_node::parts::make_watcher_hooks()
{
    vm_watcher_hooks hooks;
    hooks.vm_list = http_vm_list_client(http, settings.platform().vm_list());
    hooks.engine = http_engine_client(http);
    hooks.service_health = [this](std::string address, duration timeout) -> asio::awaitable<bool> {
        http_request request;
        request.target = "/health";
        http_call_options call_options;
        call_options.timeout = timeout;
        auto answer =
            co_await http->call(std::move(address), std::move(request), std::move(call_options));
        co_return answer && answer->status == 200;
    };
    hooks.alive_members = [this] { return members.alive_members(); };
    hooks.pull_reports =
        [this](std::string peer, schema::report_request request,
               duration timeout) -> asio::awaitable<std::optional<schema::report_batch>> {
        const auto client = peer_of(peer);
        if (!client) {
            co_return std::nullopt;
        }
        auto reply = co_await client->pull_reports(std::move(request), timeout);
        co_return reply ? std::optional(std::move(*reply)) : std::nullopt;
    };
    // Load numbers alone wait for the view's heartbeat.
    hooks.on_change = [this] {
        views.notify_changed();
        keeper.wake();
    };
    return hooks;
}

replica_reconciler_hooks control_node::parts::make_keeper_hooks()
{
    replica_reconciler_hooks hooks;
    hooks.state = [this] { return journal.state(); };
    hooks.alive_members = [this] { return members.alive_members(); };
    hooks.can_act = [this] { return can_act(); };
    hooks.prioritize_vms = [this](std::set<std::string> vms) {
        watcher.prioritize(std::move(vms));
    };
    hooks.propose = [this](schema::journal_record change,
                           duration timeout) -> asio::awaitable<std::optional<record_outcome>> {
        auto judged = co_await journal.propose(std::move(change), timeout);
        co_return judged ? std::optional(judged->outcome) : std::nullopt;
    };
    hooks.engine = http_engine_client(http);
    return hooks;
}

order_coordinator_hooks control_node::parts::make_desk_hooks()
{
    order_coordinator_hooks hooks;
    hooks.alive_members = [this] { return members.alive_members(); };
    hooks.forward_claim = [this](std::string member, schema::claim_request request,
                                 duration timeout) -> rpc_awaitable<schema::claim_reply> {
        const auto peer = peer_of(member);
        if (!peer) {
            co_return rpc_failure{rpc_error::unreachable, "no member " + member};
        }
        co_return co_await peer->claim(std::move(request), timeout);
    };
    hooks.forward_settle = [this](std::string member, schema::settle_request request,
                                  duration timeout) -> rpc_awaitable<schema::settle_reply> {
        const auto peer = peer_of(member);
        if (!peer) {
            co_return rpc_failure{rpc_error::unreachable, "no member " + member};
        }
        co_return co_await peer->settle(std::move(request), timeout);
    };
    return hooks;
}

control_hooks control_node::parts::make_rpc_hooks()
{
    control_hooks hooks;
    hooks.watch_view = [this](schema::view_request, view_writer write) {
        return views.serve(std::move(write));
    };
    hooks.probe = [this](schema::probe_request request) -> asio::awaitable<schema::probe_reply> {
        co_return probes.answer(request);
    };
    hooks.read_records =
        [this](schema::record_request request) -> asio::awaitable<schema::record_batch> {
        co_return journal.serve_records(request);
    };
    hooks.fetch_snapshot =
        [this](schema::snapshot_request) -> asio::awaitable<schema::state_snapshot> {
        co_return journal.serve_snapshot();
    };
    hooks.pull_reports =
        [this](schema::report_request request) -> asio::awaitable<schema::report_batch> {
        co_return watcher.serve_reports(request);
    };
    hooks.claim = [this](schema::claim_request request) { return desk.claim(std::move(request)); };
    hooks.settle = [this](schema::settle_request request) {
        return desk.settle(std::move(request));
    };
    hooks.node_status =
        [this](schema::status_request request) -> asio::awaitable<schema::status_reply> {
        co_return make_status(sources(), request.with_replicas());
    };
    hooks.explain =
        [this](schema::explain_request request) -> asio::awaitable<schema::explain_reply> {
        schema::explain_reply reply;
        for (std::string& line : keeper.explain(request.subject())) {
            reply.add_lines(std::move(line));
        }
        co_return reply;
    };
    return hooks;
}

control_http_hooks control_node::parts::make_page_hooks()
{
    control_http_hooks hooks;
    hooks.ready = [this] { return journal.ready() && !stopping; };
    hooks.not_ready_reason = [this]() -> std::string {
        if (stopping) {
            return "stopping";
        }
        return journal.log_reachable() ? "the journal is being read"
                                       : "no state yet: the log is down and no member has one";
    };
    hooks.metrics = [this] { return make_metrics(sources()); };
    return hooks;
}

vm_role control_node::parts::role_of_pool(const std::string& pool) const
{
    const auto& configuration = *journal.state()->configuration();
    const auto& engines = configuration.backend_pools();
    if (std::find(engines.begin(), engines.end(), pool) != engines.end()) {
        return vm_role::engine;
    }
    const auto& services = configuration.services();
    const bool is_service =
        std::any_of(services.begin(), services.end(),
                    [&](const schema::plain_service& service) { return service.pool() == pool; });
    return is_service ? vm_role::service : vm_role::other;
}

bool control_node::parts::can_act()
{
    return !stopping && journal.ready() && journal.fresh() && !journal.diverged() &&
           watcher.has_list() && knows_most_engines();
}

bool control_node::parts::knows_most_engines()
{
    std::size_t listed = 0;
    std::size_t unheard = 0;
    for (const auto& [name, vm] : table.fleet().vms) {
        const bool counts = vm.role == vm_role::engine && vm.presence != vm_presence::gone;
        listed += counts ? 1U : 0U;
        unheard += counts && !vm.last_answer_at ? 1U : 0U;
    }
    if (unheard * unheard_part <= listed) {
        unheard_since.reset();
        return true;
    }
    const time_point now = monotonic_clock::now();
    unheard_since = unheard_since.value_or(now);
    return now - *unheard_since > options.bounds.detection_bound;
}

void control_node::parts::add_member_news(schema::entry_view& shown) const
{
    const bool is_self = shown.vm() == options.self;
    const auto found = members.others().find(shown.vm());
    if (!is_self && found == members.others().end()) {
        return;
    }
    const schema::member_news& news = is_self ? members.self() : found->second.state;
    const bool gone = news.condition() == schema::down || news.condition() == schema::left;
    shown.set_draining(shown.draining() || gone || news.entry().draining());
    shown.set_calls_in_flight(news.entry().calls_in_flight());
}

bool control_node::parts::knows_replicas()
{
    if (!watcher.has_list() || !journal.ready()) {
        return false;
    }
    const time_point now = monotonic_clock::now();
    watches_since = watches_since.value_or(now);
    if (now - *watches_since > options.bounds.detection_bound) {
        return true; // Who was not heard by now counts as lost.
    }
    for (const auto& [id, known] : journal.state()->replicas()) {
        for (const replica_vm& held : known.members) {
            const observed_vm* vm = table.fleet().find(held.vm);
            if (known.live() && (vm == nullptr || !vm->last_answer_at)) {
                return false;
            }
        }
    }
    return true;
}

std::vector<schema::entry_view> control_node::parts::known_entries() const
{
    std::vector<schema::entry_view> entries;
    for (const auto& [name, vm] : table.fleet().vms) {
        if (vm.pool != settings.entry_pool() || vm.presence == vm_presence::gone) {
            continue;
        }
        schema::entry_view shown;
        shown.set_vm(vm.vm);
        shown.set_address(vm.address);
        shown.set_failure_domain(vm.failure_domain);
        shown.set_draining(vm.presence == vm_presence::leaving);
        add_member_news(shown);
        entries.push_back(std::move(shown));
    }
    return entries;
}

schema::routing_view control_node::parts::current_view()
{
    view_context context;
    context.control = options.self;
    context.ready = knows_replicas();
    context.bounds = options.bounds;
    context.entries = known_entries();
    return build_view(*journal.state(), table.fleet(), context, monotonic_clock::now());
}

status_sources control_node::parts::sources() const
{
    status_sources made;
    made.vm = settings.node().vm();
    made.incarnation = options.incarnation;
    made.journal = &journal;
    made.table = &table;
    made.entry_configuration_version = entry.status().configuration_version();
    return made;
}

} // namespace chervildyke
