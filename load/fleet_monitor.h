/** \file
 * Defines fleet_monitor, which polls the engines and the control nodes of a fleet during a run.
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

/** Polls the state of the engine stand-ins and the status of each control node. It adds up the
 * downtime of replicas and the stranded accelerator time: that of healthy VMs whose replica is not
 * complete. It also measures how long a configuration version takes to reach all control nodes and
 * entries, and counts invariant violations.
 */
class fleet_monitor {
  public:
    explicit fleet_monitor(run_context& run);

    /** Waits until the number of complete replicas is above zero and stable, and takes it as the
     * expected number.
     * \return false on timeout.
     */
    boost::asio::awaitable<bool> wait_for_replicas(duration timeout);

    /** Polls until stop() is called. */
    boost::asio::awaitable<void> watch();
    void stop() { stopping_ = true; }

    /** Finds a member of a complete replica.
     * \param replica_index index of the replica by size, the largest first, from zero.
     * \param wants_head true for the replica's head, false for its last member.
     * \return the VM's name, or an empty text if there are not so many complete replicas.
     */
    std::string find_member(std::size_t replica_index, bool wants_head) const;

    /** Writes the totals into the run's counters. */
    void write_totals();

  private:
    /** The state of one VM's engine as its stand-in reports it. */
    struct engine_state {
        bool alive = false;
        bool paused = false;
        bool ready = false;
        bool leaving = false;
        std::uint64_t replica_id = 0;
        std::vector<std::string> members; // Of its replica, the head first; empty if it is in none.
        std::uint64_t started_calls = 0;
        std::uint64_t stale_commands_obeyed = 0;
        std::uint64_t refused_incomplete = 0;
        std::uint64_t generated_tokens = 0;
    };
    struct leaving_vm {
        time_point since{};
        std::uint64_t started_calls = 0; // At the last poll after the grace period.
        bool has_baseline = false;       // started_calls is set.
    };
    /** A configuration version that has not reached all reachable control nodes and entries. */
    struct version_rollout {
        time_point first_seen{};
    };

    boost::asio::awaitable<bool> poll_engines();
    boost::asio::awaitable<void> poll_controls();
    void record_status(const std::string& address, const schema::status_reply& status);
    void record_version(const std::string& source, std::uint64_t version);

    /** Whether all members of the VM's replica are alive, not paused and ready in that replica. */
    bool is_complete(const std::string& vm) const;
    std::size_t count_complete_replicas() const;
    void add_downtime(double seconds);
    void check_leaving_vms();

    run_context& run_;
    bool stopping_ = false;
    std::map<std::string, engine_state> engines_;
    std::map<std::string, leaving_vm> leaving_;
    std::map<std::string, std::unique_ptr<control_client>> controls_;
    std::set<std::string> reachable_controls_;
    std::map<std::string, std::uint64_t> versions_;       // By control node or entry.
    std::map<std::uint64_t, version_rollout> rollouts_;   // By version.
    std::map<std::uint64_t, std::string> replica_states_; // By journal offset, as first seen.
    std::size_t expected_replicas_ = 0;
    std::size_t min_replicas_ = 0;
    double downtime_s_ = 0;
    double stranded_accelerator_s_ = 0;
    double longest_outage_s_ = 0;
    double current_outage_s_ = 0;
};

} // namespace chervildyke::load
