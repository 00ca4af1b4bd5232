/** \file
 * Implements the hooks between the parts of a control.
 */
#include "control/control_parts.h"

#include <algorithm>
#include <utility>

#include "replicas/view_builder.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration peer_timeout = 2s;

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
      members(settings.node().address(),
              {settings.seed_addresses().begin(), settings.seed_addresses().end()}),
      entry(http, settings.node().address() + ":" + std::to_string(settings.entry_http_port()),
            settings.node().failure_domain()),
      journal(options.journal, make_journal_hooks()),
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
    const auto member = members.most_advanced();
    return member ? peers.at(*member) : nullptr;
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
    hooks.members_highest = [this] { return members.highest_offset(); };
    hooks.am_checkpointer = [this] { return members.is_first_for("checkpoints"); };
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
    hooks.alive_members = [this] { return members.alive(); };
    hooks.pull_reports =
        [this](std::string peer, schema::report_request request,
               duration timeout) -> asio::awaitable<std::optional<schema::report_batch>> {
        const auto client = peers.at(peer);
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

replica_keeper_hooks control_node::parts::make_keeper_hooks()
{
    replica_keeper_hooks hooks;
    hooks.state = [this] { return journal.state(); };
    hooks.alive_members = [this] { return members.alive(); };
    hooks.can_act = [this] { return can_act(); };
    hooks.attend = [this](std::set<std::string> vms) { watcher.attend(std::move(vms)); };
    hooks.propose = [this](schema::journal_record change,
                           duration timeout) -> asio::awaitable<std::optional<verdict>> {
        auto judged = co_await journal.propose(std::move(change), timeout);
        co_return judged ? std::optional(judged->v) : std::nullopt;
    };
    hooks.engine = http_engine_client(http);
    return hooks;
}

order_desk_hooks control_node::parts::make_desk_hooks()
{
    order_desk_hooks hooks;
    hooks.alive_members = [this] { return members.alive(); };
    hooks.forward_claim = [this](std::string member, schema::claim_request request,
                                 duration timeout) {
        return peers.at(member)->claim(std::move(request), timeout);
    };
    hooks.forward_settle = [this](std::string member, schema::settle_request request,
                                  duration timeout) {
        return peers.at(member)->settle(std::move(request), timeout);
    };
    return hooks;
}

control_hooks control_node::parts::make_rpc_hooks()
{
    control_hooks hooks;
    hooks.watch_view = [this](schema::view_request, view_writer write) {
        return views.serve(std::move(write));
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

bool control_node::parts::can_act() const
{
    return !stopping && journal.ready() && journal.fresh() && !journal.diverged() &&
           watcher.has_list();
}

std::vector<schema::entry_view> control_node::parts::known_entries() const
{
    std::vector<schema::entry_view> entries;
    for (const auto& [name, vm] : table.knowledge().vms) {
        if (vm.pool != settings.entry_pool() || vm.presence == vm_presence::gone) {
            continue;
        }
        schema::entry_view shown;
        shown.set_vm(vm.vm);
        shown.set_address(vm.address);
        shown.set_failure_domain(vm.failure_domain);
        shown.set_draining(vm.presence == vm_presence::leaving);
        entries.push_back(std::move(shown));
    }
    return entries;
}

schema::routing_view control_node::parts::current_view() const
{
    view_context context;
    context.control = options.self;
    context.ready = journal.ready();
    context.bounds = options.bounds;
    context.entries = known_entries();
    return build_view(*journal.state(), table.knowledge(), context, monotonic_clock::now());
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
