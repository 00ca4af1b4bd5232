/** \file
 * Implements journal_session with journal_node.
 */
#include "ctl/journal_session.h"

#include <utility>

#include "base/http_client.h"
#include "base/random.h"
#include "base/task.h"
#include "external/http_external.h"

namespace chervildyke {

namespace {

constexpr duration snapshot_timeout = 2s;
constexpr duration ready_poll_interval = 20ms;
constexpr std::size_t writer_id_length = 12;

journal_options make_journal_options()
{
    journal_options options;
    options.writer = "chervilctl-" + random_id(system_random()).substr(0, writer_id_length);
    options.writes_checkpoints = false;
    return options;
}

/** Fetches the state of the first control node that serves one. */
boost::asio::awaitable<journal_result<schema::state_snapshot>>
fetch_snapshot(boost::asio::any_io_executor executor, std::vector<std::string> addresses)
{
    for (const std::string& address : addresses) {
        control_client control(executor, address);
        auto snapshot =
            co_await control.fetch_snapshot(schema::snapshot_request(), snapshot_timeout);
        if (snapshot && snapshot->offset() > 0) {
            co_return std::move(*snapshot);
        }
    }
    co_return journal_failure{journal_error::unavailable,
                              "no control node of the settings served a state"};
}

} // namespace

journal_session::journal_session(boost::asio::any_io_executor executor,
                                 const schema::ctl_settings& settings)
    : executor_(std::move(executor)), node_(make_journal_options(), make_hooks(settings))
{
}

journal_hooks journal_session::make_hooks(const schema::ctl_settings& settings)
{
    journal_hooks hooks;
    const auto http = std::make_shared<http_client>(executor_);
    hooks.log = http_log_client(http, settings.platform().log());
    hooks.random = system_random();
    const std::vector<std::string> controls(settings.control_addresses().begin(),
                                            settings.control_addresses().end());
    hooks.fetch_snapshot = [executor = executor_, controls] {
        return fetch_snapshot(executor, controls);
    };
    hooks.is_preferred_checkpointer = [] { return false; };
    return hooks;
}

boost::asio::awaitable<bool> journal_session::open(duration timeout)
{
    spawn_task(executor_, "journal", node_.run());
    const time_point end = monotonic_clock::now() + timeout;
    while (!node_.ready() && monotonic_clock::now() < end) {
        co_await sleep_for(ready_poll_interval);
    }
    co_return node_.ready();
}

boost::asio::awaitable<journal_result<proposal_outcome>>
journal_session::propose(schema::configuration_change change, duration timeout)
{
    schema::journal_record record;
    *record.mutable_configuration() = std::move(change);
    co_return co_await node_.propose(std::move(record), timeout);
}

} // namespace chervildyke
