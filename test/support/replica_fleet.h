/** \file
 * Defines replica_fleet, several replica keepers over one journal and fake engines, for tests under
 * the manual clock.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "replicas/replica_keeper.h"
#include "replicas/view_builder.h"
#include "replicas/vm_watcher.h"
#include "support/fake_engines.h"

namespace chervildyke::test {

/** What one team of a test configuration asks for. */
struct team_setup {
    std::string name;
    std::uint32_t replicas = 1;
    std::uint32_t vms_per_replica = 2;
    std::uint32_t priority = 1;
    std::string model = "oak-large";
};

/** \return a configuration with one model of the given size for each model named. */
schema::fleet_configuration make_configuration(const std::vector<team_setup>& teams,
                                               std::uint64_t bytes_per_vm,
                                               std::uint64_t store_bytes_per_second);

struct replica_fleet_options {
    std::size_t controls = 3;
    double store_bytes_per_second = 1e9;
    replica_keeper_options keeper;
    vm_watcher_options watcher;
    duration append_latency = 20ms;
    duration check_interval = 10ms; // Between two checks of the invariants.
};

/** The keepers of several controls. The journal is one value that each append changes; a control
 * may be held back or made to believe that it is alone.
 */
class replica_fleet {
  public:
    explicit replica_fleet(replica_fleet_options options);

    /** Appends a configuration to the journal. */
    void publish(const schema::fleet_configuration& configuration);

    /** Moves time on and checks the invariants at each interval. */
    void advance(duration span);

    /** Starts the controls; engines must have been added. */
    void start();

    const fleet_state& journal() const { return *state_; }
    replica_keeper& keeper(std::size_t index) { return *controls_.at(index)->keeper; }
    const fleet_knowledge& knowledge(std::size_t index) const;
    schema::routing_view view(std::size_t index) const;

    /** How many replicas of the team a control's view shows as serving. */
    std::size_t serving(const std::string& team, std::size_t index = 0) const;

    /** Makes a control act as if no other were alive. */
    void believe_alone(std::size_t index) { controls_.at(index)->alone = true; }

    /** Keeps a control from acting, as if it were cut off from the log. */
    void hold_back(std::size_t index, bool held) { controls_.at(index)->held = held; }

    /** What the invariants found broken so far; empty when they held. */
    const std::vector<std::string>& broken_invariants() const { return broken_; }

    /** Seconds in which wanted replicas did not serve, by control 0's view. */
    double group_downtime() const { return group_downtime_; }

    /** As group_downtime, each second counted by one plus the team's priority. */
    double valued_downtime() const { return valued_downtime_; }

    /** Accelerator-seconds of engines that answered but stood idle while a wanted replica that
     * could have used them did not serve.
     */
    double stranded_seconds() const { return stranded_seconds_; }

    void forget_measures();

    boost::asio::io_context context;
    manual_clock clock;
    fake_engines engines;

  private:
    struct control {
        std::string name;
        bool alone = false;
        bool held = false;
        std::unique_ptr<report_table> table;
        std::unique_ptr<vm_watcher> watcher;
        std::unique_ptr<replica_keeper> keeper;
    };

    void add_control(const std::string& name);
    record_outcome append(schema::journal_record record);
    std::vector<std::string> alive_for(const control& asking) const;
    void note_truth();
    void check_views();
    void check_journal();
    void measure(double seconds);

    replica_fleet_options options_;
    std::shared_ptr<const fleet_state> state_;
    log_offset next_offset_ = 1;
    std::vector<std::unique_ptr<control>> controls_;
    std::map<std::string, std::map<std::uint64_t, time_point>> last_true_; // VM, replica, time.
    std::map<std::string, time_point> last_silent_; // When the VM last did not answer.
    std::vector<std::string> broken_;
    double group_downtime_ = 0;
    double valued_downtime_ = 0;
    double stranded_seconds_ = 0;
};

} // namespace chervildyke::test
