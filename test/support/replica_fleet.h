/** \file
 * Defines replica_fleet, several controls with one journal and fake engines, for tests that use the
 * manual clock.
 */
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "replicas/replica_reconciler.h"
#include "replicas/view_builder.h"
#include "replicas/vm_watcher.h"
#include "support/fake_engines.h"

namespace chervildyke::test {

/** The parameters of one team of a test configuration. */
struct team_setup {
    std::string name;
    std::uint32_t replicas = 1;
    std::uint32_t vms_per_replica = 2;
    std::uint32_t priority = 1;
    std::string model = "oak-large";
};

/** \param bytes_per_vm the size of each model that the teams name, per VM of a replica.
 * \param store_bytes_per_second the rate of the weight store.
 * \return a configuration with these teams and their models.
 */
schema::fleet_configuration make_configuration(const std::vector<team_setup>& teams,
                                               std::uint64_t bytes_per_vm,
                                               std::uint64_t store_bytes_per_second);

struct replica_fleet_options {
    std::size_t controls = 3;
    double store_bytes_per_second = 1e9;
    replica_reconciler_options reconciler;
    vm_watcher_options watcher;
    duration append_latency = 20ms;
    duration check_interval = 10ms; // Between two checks of the invariants.
};

/** The watchers and reconcilers of several controls. All controls use the same journal state, which
 * each append replaces at once.
 */
class replica_fleet {
  public:
    explicit replica_fleet(replica_fleet_options options);

    /** Appends a configuration to the journal. */
    void publish(const schema::fleet_configuration& configuration);

    /** Advances the clock and checks the invariants at each check interval. */
    void advance(duration span);

    /** Starts the controls; engines must have been added. */
    void start();

    const fleet_state& journal() const { return *state_; }
    replica_reconciler& reconciler(std::size_t index) { return *controls_.at(index)->reconciler; }

    /** \return what a control has observed. */
    const observed_fleet& observed(std::size_t index) const;
    /** \return the routing view that a control builds. */
    schema::routing_view view(std::size_t index) const;

    /** \return how many replicas of the team are serving in a control's view. */
    std::size_t serving(const std::string& team, std::size_t index = 0) const;

    /** Makes a control act as if no other were alive. */
    void see_only_itself(std::size_t index) { controls_.at(index)->sees_only_itself = true; }

    /** Stops a control from acting, or lets it act again, as if it were cut off from the log. */
    void set_blocked(std::size_t index, bool blocked) { controls_.at(index)->blocked = blocked; }

    /** \return descriptions of the invariant violations so far. */
    const std::vector<std::string>& invariant_violations() const { return violations_; }

    /** \return the seconds of downtime, summed over the wanted replicas, by control 0's view. */
    double group_downtime() const { return group_downtime_; }

    /** \return as group_downtime(), with each second multiplied by one plus the team's priority. */
    double weighted_downtime() const { return weighted_downtime_; }

    /** \return the accelerator-seconds of engines that answered but were idle while a wanted
     * replica that could have used them did not serve.
     */
    double stranded_accelerator_seconds() const { return stranded_accelerator_seconds_; }

    /** Sets the downtimes and accelerator-seconds to zero. */
    void reset_measurements();

    boost::asio::io_context context;
    manual_clock clock;
    fake_engines engines;

  private:
    struct control {
        std::string name;
        bool sees_only_itself = false;
        bool blocked = false;
        std::unique_ptr<report_table> table;
        std::unique_ptr<vm_watcher> watcher;
        std::unique_ptr<replica_reconciler> reconciler;
    };

    void add_control(const std::string& name);
    record_outcome append(schema::journal_record record);
    std::vector<std::string> members_seen_by(const control& viewer) const;
    /** Records which engines are ready members of their replicas, and which do not answer. */
    void record_membership();
    /** Checks that no view shows a replica as serving when a member is no longer ready in it.
     * Allows for the time that reports take to reach the controls.
     */
    void check_views();
    /** Checks that no VM belongs to two replicas. */
    void check_journal();
    /** Adds a span to the downtimes and accelerator-seconds, by the current view of control 0. */
    void measure(double seconds);

    replica_fleet_options options_;
    std::shared_ptr<const fleet_state> state_;
    log_offset next_offset_ = 1;
    std::vector<std::unique_ptr<control>> controls_;
    std::map<std::string, std::map<std::uint64_t, time_point>>
        last_member_at_; // By VM and replica: when the engine was last a ready member.
    std::map<std::string, time_point> last_silent_at_; // When the VM last did not answer.
    std::vector<std::string> violations_;
    double group_downtime_ = 0;
    double weighted_downtime_ = 0;
    double stranded_accelerator_seconds_ = 0;
};

} // namespace chervildyke::test
