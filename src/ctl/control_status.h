/** \file
 * Defines control_status and rollout_progress, the state of control nodes as chervilctl sees it.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "control_api.pb.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** The result of a status request to one control node. */
struct control_status {
    std::string address;                       // ip:port.
    std::optional<schema::status_reply> reply; // Empty when the request failed.
    std::string last_reason;                   // Why the request failed.
};

/** Requests the status of several control nodes concurrently.
 * \param addresses ip:port of each control node.
 * \param with_replicas whether the replies list all replicas and VM reports.
 * \return one result for each address, in the given order.
 */
boost::asio::awaitable<std::vector<control_status>>
fetch_control_statuses(boost::asio::any_io_executor executor, std::vector<std::string> addresses,
                       bool with_replicas);

/** How many control nodes and entries have a configuration version in force. */
struct rollout_progress {
    std::size_t updated_controls = 0;    // Control nodes that validate records by it.
    std::size_t updated_entries = 0;     // Entries that route by it.
    std::size_t responding_controls = 0; // Control nodes that replied.
    std::size_t total_controls = 0;

    /** True when at least one control node replied, and each that did has the version in force, as
     * does the entry on its VM.
     */
    bool is_complete() const
    {
        return responding_controls > 0 && updated_entries == responding_controls &&
               updated_controls == responding_controls;
    }

    bool operator==(const rollout_progress&) const = default;
};

/** Counts the control nodes and entries that have the version, or a newer one, in force. */
rollout_progress measure_rollout(const std::vector<control_status>& statuses,
                                 std::uint64_t version);

} // namespace chervildyke
