/** \file
 * Implements control_node: the start and stop of its components.
 */
#include "control/control_node.h"

#include <thread>
#include <utility>

#include <boost/asio.hpp>

#include "base/log.h"
#include "base/task.h"
#include "control/control_components.h"

namespace chervildyke {

namespace {

const logger control_log("control");

constexpr duration rpc_stop_grace_period = 2s;
constexpr duration stop_poll_interval = 5ms;

} // namespace

control_node::control_node(boost::asio::any_io_executor executor, schema::control_settings settings)
    : components_(std::make_unique<components>(std::move(executor), std::move(settings)))
{
}

control_node::~control_node() = default;

bool control_node::start()
{
    return components_->start();
}

const std::string& control_node::last_reason() const
{
    return components_->last_reason;
}

boost::asio::awaitable<void> control_node::stop()
{
    return components_->stop();
}

bool control_node::components::start()
{
    const std::string& address = settings.node().address();
    if (!rpc_server.listen(address, static_cast<std::uint16_t>(settings.grpc_port()))) {
        last_reason =
            "can't listen for gRPC on " + address + ":" + std::to_string(settings.grpc_port());
        return false;
    }
    if (!http_endpoints.listen(address, static_cast<std::uint16_t>(settings.http_port()))) {
        last_reason = http_endpoints.last_reason();
        return false;
    }
    journal.subscribe([this](const auto&) {
        publisher.notify_changed();
        reconciler.wake();
    });
    spawn_task(executor, "journal", journal.run());
    spawn_task(executor, "member state", publish_self_state());
    spawn_task(executor, "client eviction", evict_unused_clients());
    spawn_task(executor, "prober", failure_detector.run());
    spawn_task(executor, "entry status", entry_poller.run());
    spawn_task(executor, "VM watcher", watcher.run());
    spawn_task(executor, "replica reconciler", reconciler.run());
    spawn_task(executor, "order coordinator", coordinator.run());
    control_log.info("Started on ", address, " as incarnation ", options.incarnation, ".");
    return true;
}

boost::asio::awaitable<void> control_node::components::stop()
{
    stopping = true;
    control_log.info("Stopping on request.");
    http_endpoints.stop_accepting();
    publisher.stop();
    members.leave();
    co_await http_endpoints.wait_until_drained();
    // control_server::stop() blocks until its calls have ended. They end on this executor, so
    // stop() runs on a thread of its own.
    bool stopped = false;
    std::thread stopper([this, &stopped] {
        rpc_server.stop(rpc_stop_grace_period);
        boost::asio::post(executor, [&stopped] { stopped = true; });
    });
    while (!stopped) {
        co_await sleep_for(stop_poll_interval);
    }
    stopper.join();
    coordinator.stop();
    control_log.info("Stopped.");
}

} // namespace chervildyke
