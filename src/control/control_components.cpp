/** \file
 * Implements the hooks that connect the components of a control node.
 */
#include "control/control_components.h"

#include <algorithm>
#include <utility>

#include "members/watch_assignment.h"
#include "replicas/view_builder.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration peer_call_timeout = 2s;
constexpr duration self_state_interval = 500ms;
constexpr duration client_eviction_interval = 10min; // Evicts clients not used in a whole interval.
constexpr std::size_t incarnation_id_length = 12;

// Plans need the reports of nearly all engines: at most one in ten may be missing.
constexpr std::size_t min_engines_per_missing_report = 10;

/** The membership state of this control node when it starts. */
schema::member_news initial_self_state(const schema::control_settings& settings,
                                       const control_options& options)
{
    schema::member_news state;
    state.set_vm(options.self);
    state.set_incarnation(options.incarnation);
    state.set_address(settings.node().address() + ":" + std::to_string(settings.grpc_port()));
    state.set_failure_domain(settings.node().failure_domain());
    state.set_condition(schema::alive);
    return state;
}

journal_failure no_reachable_member()
{
    return {journal_error::unavailable, "no other member and no seed address is known"};
}

template <typename Value>
journal_result<Value> to_journal_result(rpc_result<Value> reply)
{
    if (reply) {
        return std::move(*reply);
    }
    return journal_failure{journal_error::unavailable, reply.failure().reason};
}

} // namespace

control_node::components::components(asio::any_io_executor executor_in,
                                     schema::control_settings settings_in)
    : executor(std::move(executor_in)), settings(std::move(settings_in)), random(system_random()),
      options(
          make_control_options(settings, settings.node().vm() + "-" +
                                             random_id(random).substr(0, incarnation_id_length))),
      http(std::make_shared<http_client>(executor)),
      control_clients(executor, static_cast<std::uint16_t>(settings.grpc_port())),
      entry_poller(http,
                   settings.node().address() + ":" + std::to_string(settings.entry_http_port()),
                   settings.node().failure_domain()),
      journal(options.journal, make_journal_hooks()),
      members(initial_self_state(settings, options)),
      failure_detector(prober_options(), make_prober_hooks(), members),
      reports(options.self, options.bounds,
              [this](const std::string& pool) { return role_of_pool(pool); }),
      watcher(executor, options.self, reports, make_watcher_hooks(), options.watcher),
      reconciler(executor, options.self, reports, make_reconciler_hooks(), options.reconciler),
      coordinator(executor, options.coordinator, http_log_client(http, settings.platform().log()),
                  random, make_coordinator_hooks()),
      publisher([this] { return make_view(); }, options.view_heartbeat),
      rpc_server(executor, make_rpc_hooks()),
      http_endpoints(executor, make_control_http_handler(make_http_hooks()), small_port_limits())
{
}

std::shared_ptr<control_client> control_node::components::most_advanced_peer()
{
    const auto address = members.most_advanced_address();
    if (address) {
        return control_clients.get_or_create(*address);
    }
    const auto& seeds = settings.seed_addresses();
    if (seeds.empty()) {
        return nullptr;
    }
    // No state of another member has arrived yet, as in a new process: use a random seed.
    const auto pick = random_below(random, static_cast<std::uint64_t>(seeds.size()));
    return control_clients.get_or_create(seeds[static_cast<int>(pick)]);
}

std::shared_ptr<control_client> control_node::components::find_peer(const std::string& vm)
{
    const auto found = members.others().find(vm);
    return found == members.others().end()
               ? nullptr
               : control_clients.get_or_create(found->second.state.address());
}

asio::awaitable<void> control_node::components::publish_self_state()
{
    while (true) {
        members.update_self(entry_poller.status().load(), journal.highest_offset(),
                            entry_poller.status().configuration_version());
        co_await sleep_for(self_state_interval);
    }
}

asio::awaitable<void> control_node::components::evict_unused_clients()
{
    while (true) {
        co_await sleep_for(client_eviction_interval);
        control_clients.evict_unused();
    }
}

prober_hooks control_node::components::make_prober_hooks()
{
    prober_hooks hooks;
    hooks.probe = [this](std::string address, schema::probe_request request,
                         duration timeout) -> asio::awaitable<member_result<schema::probe_reply>> {
        const auto peer = control_clients.get_or_create(address);
        auto reply = co_await peer->probe(std::move(request), timeout);
        if (!reply) {
            co_return member_failure{member_error::unreachable, reply.failure().reason};
        }
        co_return std::move(*reply);
    };
    hooks.seeds = [this] { return control_addresses(); };
    hooks.highest_offset = [this] { return journal.highest_offset(); };
    hooks.random = random;
    return hooks;
}

std::vector<std::string> control_node::components::control_addresses() const
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

journal_hooks control_node::components::make_journal_hooks()
{
    journal_hooks hooks;
    hooks.log = http_log_client(http, settings.platform().log());
    hooks.random = random;
    hooks.fetch_records = [this](schema::record_request request)
        -> asio::awaitable<journal_result<schema::record_batch>> {
        const auto peer = most_advanced_peer();
        if (!peer) {
            co_return no_reachable_member();
        }
        auto reply = co_await peer->read_records(std::move(request), peer_call_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.fetch_snapshot = [this]() -> asio::awaitable<journal_result<schema::state_snapshot>> {
        const auto peer = most_advanced_peer();
        if (!peer) {
            co_return no_reachable_member();
        }
        auto reply = co_await peer->fetch_snapshot(schema::snapshot_request(), peer_call_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.highest_member_offset = [this] { return members.highest_heard_offset(); };
    hooks.is_preferred_checkpointer = [this] {
        return is_first_member_for("checkpoints", options.self, members.alive_members());
    };
    return hooks;
}

vm_watcher_hooks control_node::components::make_watcher_hooks()
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
        const auto client = find_peer(peer);
        if (!client) {
            co_return std::nullopt;
        }
        auto reply = co_await client->pull_reports(std::move(request), timeout);
        co_return reply ? std::optional(std::move(*reply)) : std::nullopt;
    };
    // Changes of load alone do not call this hook; the next heartbeat view shows them.
    hooks.on_change = [this] {
        publisher.notify_changed();
        reconciler.wake();
    };
    return hooks;
}

replica_reconciler_hooks control_node::components::make_reconciler_hooks()
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
        auto proposal = co_await journal.propose(std::move(change), timeout);
        co_return proposal ? std::optional(proposal->outcome) : std::nullopt;
    };
    hooks.engine = http_engine_client(http);
    return hooks;
}

order_coordinator_hooks control_node::components::make_coordinator_hooks()
{
    order_coordinator_hooks hooks;
    hooks.alive_members = [this] { return members.alive_members(); };
    hooks.forward_claim = [this](std::string member, schema::claim_request request,
                                 duration timeout) -> rpc_awaitable<schema::claim_reply> {
        const auto peer = find_peer(member);
        if (!peer) {
            co_return rpc_failure{rpc_error::unreachable,
                                  "member " + member + " is not in the member table"};
        }
        co_return co_await peer->claim(std::move(request), timeout);
    };
    hooks.forward_settle = [this](std::string member, schema::settle_request request,
                                  duration timeout) -> rpc_awaitable<schema::settle_reply> {
        const auto peer = find_peer(member);
        if (!peer) {
            co_return rpc_failure{rpc_error::unreachable,
                                  "member " + member + " is not in the member table"};
        }
        co_return co_await peer->settle(std::move(request), timeout);
    };
    return hooks;
}

control_rpc_hooks control_node::components::make_rpc_hooks()
{
    control_rpc_hooks hooks;
    hooks.watch_view = [this](schema::view_request, view_writer write) {
        return publisher.serve(std::move(write));
    };
    hooks.probe = [this](schema::probe_request request) -> asio::awaitable<schema::probe_reply> {
        co_return failure_detector.answer(request);
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
    hooks.claim = [this](schema::claim_request request) {
        return coordinator.claim(std::move(request));
    };
    hooks.settle = [this](schema::settle_request request) {
        return coordinator.settle(std::move(request));
    };
    hooks.node_status =
        [this](schema::status_request request) -> asio::awaitable<schema::status_reply> {
        co_return make_status(make_status_sources(), request.with_replicas());
    };
    hooks.explain =
        [this](schema::explain_request request) -> asio::awaitable<schema::explain_reply> {
        schema::explain_reply reply;
        for (std::string& line : reconciler.explain(request.subject())) {
            reply.add_lines(std::move(line));
        }
        co_return reply;
    };
    return hooks;
}

control_http_hooks control_node::components::make_http_hooks()
{
    control_http_hooks hooks;
    hooks.ready = [this] { return journal.ready() && !stopping; };
    hooks.not_ready_reason = [this]() -> std::string {
        if (stopping) {
            return "stopping";
        }
        return journal.log_reachable()
                   ? "the journal is not yet read to its end"
                   : "no state: the log is unreachable and no member served a state";
    };
    hooks.metrics = [this] { return format_metrics(make_status_sources()); };
    return hooks;
}

vm_role control_node::components::role_of_pool(const std::string& pool) const
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

bool control_node::components::can_act()
{
    return !stopping && journal.ready() && journal.fresh() && !journal.diverged() &&
           watcher.has_list() && has_most_engine_reports();
}

bool control_node::components::has_most_engine_reports()
{
    std::size_t expected = 0;
    std::size_t missing = 0;
    for (const auto& [name, vm] : reports.fleet().vms) {
        const bool is_expected = vm.role == vm_role::engine && vm.presence != vm_presence::gone;
        expected += is_expected ? 1U : 0U;
        missing += is_expected && !vm.last_answer_at ? 1U : 0U;
    }
    if (missing * min_engines_per_missing_report <= expected) {
        reports_missing_since.reset();
        return true;
    }
    const time_point now = monotonic_clock::now();
    reports_missing_since = reports_missing_since.value_or(now);
    return now - *reports_missing_since > options.bounds.detection_bound;
}

void control_node::components::merge_member_state(schema::entry_view& view) const
{
    const bool is_self = view.vm() == options.self;
    const auto found = members.others().find(view.vm());
    if (!is_self && found == members.others().end()) {
        return;
    }
    const schema::member_news& state = is_self ? members.self() : found->second.state;
    const bool is_gone = state.condition() == schema::down || state.condition() == schema::left;
    view.set_draining(view.draining() || is_gone || state.entry().draining());
    view.set_calls_in_flight(state.entry().calls_in_flight());
}

bool control_node::components::has_replica_reports()
{
    if (!watcher.has_list() || !journal.ready()) {
        return false;
    }
    const time_point now = monotonic_clock::now();
    inputs_known_since = inputs_known_since.value_or(now);
    if (now - *inputs_known_since > options.bounds.detection_bound) {
        return true; // VMs without a report by now count as lost.
    }
    for (const auto& [id, subject] : journal.state()->replicas()) {
        for (const replica_vm& member : subject.members) {
            const observed_vm* vm = reports.fleet().find(member.vm);
            if (subject.live() && (vm == nullptr || !vm->last_answer_at)) {
                return false;
            }
        }
    }
    return true;
}

std::vector<schema::entry_view> control_node::components::known_entries() const
{
    std::vector<schema::entry_view> entries;
    for (const auto& [name, vm] : reports.fleet().vms) {
        if (vm.pool != settings.entry_pool() || vm.presence == vm_presence::gone) {
            continue;
        }
        schema::entry_view view;
        view.set_vm(vm.vm);
        view.set_address(vm.address);
        view.set_failure_domain(vm.failure_domain);
        view.set_draining(vm.presence == vm_presence::leaving);
        merge_member_state(view);
        entries.push_back(std::move(view));
    }
    return entries;
}

schema::routing_view control_node::components::make_view()
{
    view_context context;
    context.control = options.self;
    context.ready = has_replica_reports();
    context.bounds = options.bounds;
    context.entries = known_entries();
    return build_view(*journal.state(), reports.fleet(), context, monotonic_clock::now());
}

status_sources control_node::components::make_status_sources() const
{
    status_sources sources;
    sources.vm = settings.node().vm();
    sources.incarnation = options.incarnation;
    sources.journal = &journal;
    sources.reports = &reports;
    sources.entry_configuration_version = entry_poller.status().configuration_version();
    return sources;
}

} // namespace chervildyke
