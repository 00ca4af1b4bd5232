/** \file
 * Defines fault_switch, the faults that every stand-in can be given by an HTTP call.
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

/** The faults of one stand-in or of one VM. Faults that lose state (die, restart) are left to
 * the stand-in that has the state.
 */
class fault_switch {
  public:
    /** Switches pause, resume, slow, drop_reply, partition, heal and outage; a duration of zero
     * lasts until it is switched off.
     * \return false when the fault is not one of these.
     */
    bool apply(const schema::fault_request& request);

    /** Holds a request back while paused; a partitioned peer's request is never answered, and one
     * during an outage is broken off.
     * \return true when the request is to be carried out.
     */
    boost::asio::awaitable<bool> admit(http_exchange& exchange);

    /** Holds back while paused. */
    boost::asio::awaitable<void> wait_while_paused();

    /** True when the reply that is due should be lost after its call took effect. */
    bool take_reply_drop();

    /** How many times longer everything takes; one when not slow. */
    double slowdown() const;
    bool paused() const;
    bool in_outage() const;

    /** Switches everything off. */
    void clear();

  private:
    bool partitioned(const std::string& peer) const;

    time_point paused_until_{};
    time_point outage_until_{};
    time_point slow_until_{};
    double factor_ = 1;
    std::uint32_t reply_drops_ = 0;
    std::map<std::string, time_point> partitioned_until_;
};

/** Answers POST /faults.
 * \param apply returns false for a fault that the stand-in does not know.
 */
boost::asio::awaitable<void> serve_fault(http_exchange& exchange,
                                         std::function<bool(const schema::fault_request&)> apply);

} // namespace chervildyke::standin
