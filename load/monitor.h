/** \file
 * Defines monitor, which watches the replicas and the controls from outside during a run.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "load/workload.h"
#include "rpc/control_client.h"

namespace chervildyke::load {

/** Takes the truth of the engine stand-ins and the status of each control a few times a second,
 * and adds up group downtime, stranded accelerators, convergence and what must never be seen.
 */
class monitor {
  public:
    explicit monitor(run_context& run);

    /** Waits until the number of whole replicas stands still above zero.
     * \return false when that doesn't come in time.
     */
    boost::asio::awaitable<bool> wait_for_replicas(duration limit);

    /** Runs until stop(). */
    boost::asio::awaitable<void> watch();
    void stop() { stopping_ = true; }

    /** \param rank the place of the replica by size, the largest first.
     * \return a member's name, or an empty text.
     */
    std::string member_of(std::size_t rank, bool first) const;

    /** Writes its sums into the run's figures. */
    void conclude();

  private:
    struct member {
        bool alive = false;
        bool paused = false;
        bool ready = false;
        bool leaving = false;
        std::uint64_t replica = 0;
        std::vector<std::string> group;
        std::uint64_t started = 0;
        std::uint64_t stale_orders_obeyed = 0;
        std::uint64_t refused_incomplete = 0;
        std::uint64_t tokens = 0;
    };
    struct leaving_vm {
        time_point since{};
        std::uint64_t started_then = 0;
        bool counted_from = false;
    };
    struct version_spread {
        time_point first{};
    };

    boost::asio::awaitable<bool> look_at_engines();
    boost::asio::awaitable<void> look_at_controls();
    void look_at_status(const std::string& address, const schema::status_reply& status);
    void note_version(const std::string& where, std::uint64_t version);
    bool whole(const std::string& head) const;
    std::size_t whole_replicas() const;
    void add_up(double seconds);
    void look_at_leaving();

    run_context& run_;
    bool stopping_ = false;
    std::map<std::string, member> members_;
    std::map<std::string, leaving_vm> leaving_;
    std::map<std::string, std::unique_ptr<control_client>> controls_;
    std::set<std::string> reachable_;
    std::map<std::string, std::uint64_t> versions_; // Of each control and entry.
    std::map<std::uint64_t, version_spread> spreads_;
    std::map<std::uint64_t, std::string> states_; // Replicas by offset, as first seen.
    std::size_t wanted_ = 0;
    std::size_t fewest_ = 0;
    double downtime_s_ = 0;
    double stranded_s_ = 0;
    double longest_down_s_ = 0;
    double down_s_ = 0;
};

} // namespace chervildyke::load
