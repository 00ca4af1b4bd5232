/** \file
 * Defines prober, the task by which the controls of a fleet learn who is up.
 */
#pragma once

#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "base/random.h"
#include "members/member_error.h"
#include "members/member_table.h"

namespace chervildyke {

struct prober_options {
    duration interval = 1s;   // Between two probes of this process, whatever the fleet's size.
    duration timeout = 700ms; // Below the interval.
    unsigned lost_member_every = 8; // Every so many probes one goes to a member that is down,
    unsigned seed_every = 16;       // or to a seed address.
};

struct prober_hooks {
    /** Calls a member's control.
     * \param address ip:port.
     */
    std::function<boost::asio::awaitable<member_result<schema::probe_reply>>(
        std::string address, schema::probe_request request, duration timeout)>
        probe;

    /** Addresses to try when members are unknown: from the settings and the VM list. */
    std::function<std::vector<std::string>()> seeds;

    /** The journal's highest applied offset. */
    std::function<log_offset()> highest_offset;

    random_source random;
};

/** Probes one member after the other in a random order, a constant number a second. A request and
 * its reply carry a bounded number of news each, so that a change reaches all members in a time
 * that grows with the logarithm of their number.
 */
class prober {
  public:
    /** \param table must outlive the prober. */
    prober(prober_options options, prober_hooks hooks, member_table& table);
    prober(const prober&) = delete;
    prober& operator=(const prober&) = delete;

    /** Probes until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** Answers a member's probe. */
    schema::probe_reply answer(const schema::probe_request& request);

  private:
    struct target {
        std::string vm; // Empty for a seed address.
        std::string address;
    };

    boost::asio::awaitable<void> probe_once();
    target next_target();
    target pick_lost();
    target pick_seed();
    void refill_round();
    void notice_pause();

    prober_options options_;
    prober_hooks hooks_;
    member_table& table_;
    std::vector<std::string> round_; // Members still to be probed in this round.
    std::uint64_t probes_ = 0;
    time_point last_tick_;
};

} // namespace chervildyke
