/** \file
 * Defines prober, the task through which the control nodes of a fleet detect which of them are up.
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
    duration timeout = 700ms; // Must be below the interval.
    unsigned down_member_every = 8; // Every so many probes one goes to a member that is down.
    unsigned seed_every = 16;       // Every so many probes one goes to a seed address.
};

struct prober_hooks {
    /** Calls a member's control.
     * \param address ip:port.
     */
    std::function<boost::asio::awaitable<member_result<schema::probe_reply>>(
        std::string address, schema::probe_request request, duration timeout)>
        probe;

    /** Addresses from the settings and the VM list, to find members that are not in the table. */
    std::function<std::vector<std::string>()> seeds;

    /** The journal's highest applied offset. */
    std::function<log_offset()> highest_offset;

    random_source random;
};

/** Probes the other members in a random order, a constant number of probes a second. Each request
 * and reply carries a bounded number of updates, so that a change reaches all members in a time
 * that grows with the logarithm of their number.
 */
class prober {
  public:
    /** \param table must outlive the prober. */
    prober(prober_options options, prober_hooks hooks, member_table& table);
    prober(const prober&) = delete;
    prober& operator=(const prober&) = delete;

    /** Sends probes until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** Answers a probe of another member. */
    schema::probe_reply answer(const schema::probe_request& request);

  private:
    struct target {
        std::string vm; // Empty for a seed address.
        std::string address;
    };

    boost::asio::awaitable<void> probe_once();
    target next_target();
    target pick_down_member();
    target pick_seed();
    void refill_round();
    void detect_pause();

    prober_options options_;
    prober_hooks hooks_;
    member_table& table_;
    std::vector<std::string> round_; // Members that this round has still to probe.
    std::uint64_t probes_ = 0;
    time_point last_tick_;
};

} // namespace chervildyke
