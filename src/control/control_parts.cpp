/** \file
 * Implements the hooks between the parts of a control.
 */
#include "control/control_parts.h"

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "control/node_status.h"
#include "replicas/view_builder.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration peer_timeout = 2s;
constexpr std::size_t peers_asked = 3; // Before a call on "some member" gives up.

template <typename Value>
journal_result<Value> to_journal_result(rpc_result<Value> below) {
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
      rpc(executor, make_rpc_hooks()),
      pages(executor, control_http_handler(make_page_hooks())) {}

journal_hooks control_node::parts::make_journal_hooks() {
    journal_hooks hooks;
    hooks.log = http_log_client(http, settings.platform().log());
    hooks.random = random;
    hooks.fetch_records = [this](schema::record_request request)
        -> asio::awaitable<journal_result<schema::record_batch>> {
        const auto peer = peers.at(members.address_of(members.most_advanced()));
        auto reply = co_await peer->read_records(std::move(request), peer_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.fetch_snapshot = [this]() -> asio::awaitable<journal_result<schema::state_snapshot>> {
        const auto peer = peers.at(members.address_of(members.most_advanced()));
        auto reply = co_await peer->fetch_snapshot(schema::snapshot_request(), peer_timeout);
        co_return to_journal_result(std::move(reply));
    };
    hooks.members_highest = [this] { return members.highest_offset(); };
    hooks.am_checkpointer = [this] { return members.is_first_for("checkpoints"); };
    return hooks;
}

} // namespace chervildyke
