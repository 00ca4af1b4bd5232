/** \file
 * Implements control_node: start and stop of its parts.
 */
#include "control/control_node.h"

#include <thread>
#include <utility>

#include <boost/asio.hpp>

#include "base/log.h"
#include "base/task.h"
#include "control/control_parts.h"

namespace chervildyke {

namespace {

const part_log control_log("control");

constexpr duration rpc_stop_grace = 2s;

} // namespace

control_node::control_node(boost::asio::any_io_executor executor, schema::control_settings settings)
    : parts_(std::make_unique<parts>(std::move(executor), std::move(settings)))
{
}

control_node::~control_node() = default;

bool control_node::start()
{
    return parts_->start();
}

const std::string& control_node::last_reason() const
{
    return parts_->last_reason;
}

boost::asio::awaitable<void> control_node::stop()
{
    return parts_->stop();
}

bool control_node::parts::start()
{
    const std::string& address = settings.node().address();
    if (!rpc.listen(address, static_cast<std::uint16_t>(settings.grpc_port()))) {
        last_reason = "can't listen on " + address + ":" + std::to_string(settings.grpc_port());
        return false;
    }
    if (!pages.listen(address, static_cast<std::uint16_t>(settings.http_port()))) {
        last_reason = pages.last_reason();
        return false;
    }
    journal.subscribe([this](const auto&) {
        views.notify_changed();
        keeper.wake();
    });
    spawn_task(executor, "journal", journal.run());
    spawn_task(executor, "own news", keep_self_news());
    spawn_task(executor, "peer memory", forget_gone_peers());
    spawn_task(executor, "prober", probes.run());
    spawn_task(executor, "entry watch", entry.run());
    spawn_task(executor, "VM watcher", watcher.run());
    spawn_task(executor, "replica keeper", keeper.run());
    spawn_task(executor, "order desk", desk.run());
    control_log.info("started as ", options.incarnation, " on ", address);
    return true;
}

boost::asio::awaitable<void> control_node::parts::stop()
{
    stopping = true;
    control_log.info("stopping");
    pages.stop_accepting();
    views.stop();
    members.leave();
    co_await pages.wait_until_quiet();
    // The server waits for calls that end on this executor, so it stops on another thread.
    bool stopped = false;
    std::thread stopper([this, &stopped] {
        rpc.stop(rpc_stop_grace);
        boost::asio::post(executor, [&stopped] { stopped = true; });
    });
    while (!stopped) {
        co_await sleep_for(5ms);
    }
    stopper.join();
    desk.stop();
    control_log.info("stopped");
}

} // namespace chervildyke
