/** \file
 * Defines fault_injector, the faults that can be injected into every stand-in by an HTTP call.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/http_server.h"
#include "platform.pb.h"

namespace chervildyke::standin {

/** The active faults of one stand-in or of one VM. The stand-in that holds the state implements the
 * faults that lose state (die, restart).
 */
class fault_injector {
  public:
    /** Applies a request: pause, slow, outage, partition or drop_reply start a fault, resume ends
     * pause, slow and outage, and heal ends all partitions.
     * \param request a duration_ms of zero means until the fault is ended; drop_reply has a count
     * instead of a duration, of which zero means one.
     * \return false when the fault is none of these.
     */
    bool apply(const schema::fault_request& request);

    /** Delays a request while paused. A request from a partitioned peer gets no answer, and its
     * connection is aborted once the partition ends; during an outage it is aborted at once.
     * \return whether the request is to be handled; false when its connection was aborted.
     */
    boost::asio::awaitable<bool> allow_request(http_exchange& exchange);

    /** Completes when the stand-in is not paused. */
    boost::asio::awaitable<void> wait_while_paused();

    /** Uses up one of the reply drops that drop_reply requested.
     * \return true when the reply of a call that took effect must be dropped; false when none is
     * left.
     */
    bool consume_reply_drop();

    /** \return the factor by which the fault slow lengthens the work of the stand-in; 1 without it.
     */
    double slowdown_factor() const;
    bool is_paused() const;
    bool in_outage() const;

    /** Ends all faults. */
    void clear();

  private:
    bool is_partitioned(const std::string& peer) const;

    time_point paused_until_{};
    time_point outage_until_{};
    time_point slow_until_{};
    double slow_factor_ = 1;
    std::uint32_t pending_reply_drops_ = 0;
    std::map<std::string, time_point> partitioned_until_;
};

/** Handles POST /faults: replies 200, or 400 when the body is malformed or the fault is unknown.
 * \param apply applies the request; returns false for an unknown fault or VM.
 */
boost::asio::awaitable<void>
serve_fault_request(http_exchange& exchange,
                    std::function<bool(const schema::fault_request&)> apply);

} // namespace chervildyke::standin
