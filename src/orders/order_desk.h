/** \file
 * Defines order_desk, through which a control answers claims and settlements.
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
constexpr std::size_t followers_per_stream = 2;
constexpr duration append_share = 4ms; // All streams together make 250 appends a second.

/** What a desk needs of the control it is part of. Members are named as the caller likes; the
 * name of this control must be among the alive ones.
 */
struct order_desk_hooks {
    std::function<std::vector<std::string>()> alive_members;
    std::function<rpc_awaitable<schema::claim_reply>(
        std::string member, schema::claim_request request, duration timeout)>
        forward_claim;
    std::function<rpc_awaitable<schema::settle_reply>(
        std::string member, schema::settle_request request, duration timeout)>
        forward_settle;
};

struct order_desk_settings {
    std::string self;        // This control's name among the members.
    std::string incarnation; // Written into records.
    std::uint32_t streams = default_order_streams;
    std::uint64_t window_ms = 0;             // Zero: half of the log's retention.
    duration batch_delay = duration::zero(); // Zero: append_share for each stream.
};

/** Answers claims and settlements for P order streams. The first two members in the rendezvous
 * order of a stream follow it; the others forward one hop, to the first and, if that fails, to
 * the second. Two processes that both append to a stream do no harm: a claim names its attempt, so
 * claiming again through another member is the same claim.
 */
class order_desk {
  public:
    order_desk(boost::asio::any_io_executor executor, order_desk_settings settings, log_client log,
               random_source random, order_desk_hooks hooks);
    ~order_desk();
    order_desk(const order_desk&) = delete;
    order_desk& operator=(const order_desk&) = delete;

    /** Follows the streams that this control is among the first for, until stop(). */
    boost::asio::awaitable<void> run();
    void stop();

    /** Answers every claim of the request; the verdicts stand in its order. */
    boost::asio::awaitable<schema::claim_reply> claim(schema::claim_request request);

    /** Kept is true when all settlements of the request are. */
    boost::asio::awaitable<schema::settle_reply> settle(schema::settle_request request);

    /** True when every stream followed here is read to its end and the log answers. */
    bool ready() const;

    /** The followed stream of that name, or null. */
    std::shared_ptr<const order_stream> find_stream(const std::string& stream) const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
