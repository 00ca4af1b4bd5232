/** \file
 * Defines order_coordinator, which answers claims and settlements on a control node.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "external/log_client.h"
#include "orders/order_stream.h"
#include "rpc/control_client.h"

namespace chervildyke {

constexpr std::uint32_t default_order_streams = 2;

/** The number of members that are assigned to each stream. */
constexpr std::size_t members_per_stream = 2;

/** The default time between appends of all streams together: 250 appends per second. */
constexpr duration total_append_interval = 4ms;

/** The calls that a coordinator makes on its control node. The caller chooses the member names;
 * alive_members must include the name of this control node.
 */
struct order_coordinator_hooks {
    std::function<std::vector<std::string>()> alive_members;
    std::function<rpc_awaitable<schema::claim_reply>(
        std::string member, schema::claim_request request, duration timeout)>
        forward_claim;
    std::function<rpc_awaitable<schema::settle_reply>(
        std::string member, schema::settle_request request, duration timeout)>
        forward_settle;
};

struct order_coordinator_settings {
    std::string self;        // The member name of this control node.
    std::string incarnation; // The writer stated in appended records.
    std::uint32_t streams = default_order_streams;
    std::uint64_t window_ms = 0;             // The claim window; zero: half of the log's retention.
    duration batch_delay = duration::zero(); // Zero: total_append_interval times streams.
};

/** Answers claims and settlements of all order streams. The first members_per_stream members in
 * the rendezvous order of a stream are assigned to it: they read it and append to it. Each
 * request is sent to the first assigned member and, if that fails, to the second; other members
 * forward it by one hop. Concurrent appends of two members to one stream are safe: a claim is
 * identified by its attempt, so a repetition through another member is the same claim.
 */
class order_coordinator {
  public:
    order_coordinator(boost::asio::any_io_executor executor, order_coordinator_settings settings,
                      log_client log, random_source random, order_coordinator_hooks hooks);
    ~order_coordinator();
    order_coordinator(const order_coordinator&) = delete;
    order_coordinator& operator=(const order_coordinator&) = delete;

    /** Reads the streams that are assigned to this control node, until stop(). */
    boost::asio::awaitable<void> run();
    void stop();

    /** Processes all claims of the request.
     * \return the verdicts, in the order of the claims.
     */
    boost::asio::awaitable<schema::claim_reply> claim(schema::claim_request request);

    /** Processes all settlements of the request.
     * \return a reply whose kept field is true when all settlements were kept.
     */
    boost::asio::awaitable<schema::settle_reply> settle(schema::settle_request request);

    /** \return whether every stream assigned here is read to its end and the log is available. */
    bool ready() const;

    /** \return the stream of that name, or null when this process does not read it. */
    std::shared_ptr<const order_stream> find_stream(const std::string& stream) const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
