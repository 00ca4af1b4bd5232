/** \file
 * Defines assembler, the task that makes and executes assembly plans on the leading node.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/assembly_plan.h"
#include "fleet/published_configuration.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** Callbacks through which the assembler uses its node. */
struct assembler_hooks {
    /** \return true while this node is the leader and should assemble replicas. Two leaders at the
     * same time do no harm: appends are conditional, and commands carry the epoch of the record
     * that they follow from.
     */
    std::function<bool()> is_leader;

    std::function<published_configuration_ptr()> services;

    /** \return true once a caller has sent a call. Earlier loads are not rate-limited. */
    std::function<bool()> calls_began;

    /** \return true while the list of backend servers is current. */
    std::function<bool()> list_is_current;

    /** \return false while a restored log still lacks replicas or entries of VMs. Nothing is
     * planned then, since VMs may be in other replicas than the log says.
     */
    std::function<bool()> view_is_settled;

    /** \return the failure domains in which no replica forms and no load starts. */
    std::function<std::set<std::string>()> evacuated_domains = [] {
        return std::set<std::string>();
    };

    /** \return false while the VM has asked this node for a pause. */
    std::function<bool(const backend&)> may_probe;

    /** \return the demand of all nodes by model: replica time in ms per second. */
    std::function<std::map<std::string, double>()> demand_ms_per_s;

    /** \return the demand of all nodes by model and priority. */
    std::function<demand_by_priority()> demand_of_priorities;

    /** Called after each plan that divides the VMs by demand of different priorities. */
    std::function<void(const split_decision&)> on_split;

    /** Reads the replicas topic once, so that the next append is made at the end of the log. */
    std::function<boost::asio::awaitable<void>()> refresh_ledger;

    /** Applies records that the assembler has appended to the log. */
    std::function<void(const keyed_records&)> apply_records;
};

class assembler : public std::enable_shared_from_this<assembler> {
  public:
    assembler(boost::asio::any_io_executor executor, shared_log log, engine_calls engines,
              const replica_ledger& ledger, const backend_table& backends,
              const replica_balancer& balancer, assembler_hooks hooks, assembly_settings settings);

    /** Makes and executes plans until the process ends. */
    boost::asio::awaitable<void> run();

    /** Makes the next plan early. To be called when something that a plan may wait for changed. */
    void plan_soon();

    /** \return true while this node is the leader, as of its last plan interval. */
    bool leading() const { return leading_; }

    /** \return the loads that may still run, for the next leader. */
    std::vector<schema::running_load> running_loads() const;

    /** Records a load that the leader reported. The leader itself ignores such reports. */
    void note_running_load(const schema::running_load& load);

  private:
    /** Makes one plan for a service and executes it. */
    boost::asio::awaitable<void> reconcile(const std::string& service,
                                           const engine_profile& profile);

    /** Stores what a plan decided on the split between models, and logs a change. */
    void note_split(const std::string& service, const assembly_plan& plan);
    bool list_is_growing(const std::string& service);
    boost::asio::awaitable<void> append(std::vector<keyed_record> records);
    boost::asio::awaitable<void> send(backend vm, planned_command planned);
    boost::asio::awaitable<command_outcome> join(backend vm, engine_command command);
    boost::asio::awaitable<void> probe(backend vm);
    boost::asio::awaitable<void> wait_for_next_plan();
    void refill_load_tokens(const engine_profile& profile);
    bool is_held();
    void note_lost_heads();
    void update_last_seen();

    boost::asio::any_io_executor executor_;
    shared_log log_;
    engine_calls engines_;
    const replica_ledger& ledger_;
    const backend_table& backends_;
    const replica_balancer& balancer_;
    assembler_hooks hooks_;
    assembly_settings settings_;
    assembly_history history_;
    std::map<std::string, backend> last_seen_; // By id; also VMs not listed any more.
    /** How the number of listed VMs of a service has grown. */
    struct list_growth {
        std::size_t vms = 0;   // The most that were listed at once.
        time_point began_at{}; // When the first VM was listed.
        time_point grew_at{};  // When vms last increased.
    };
    std::map<std::string, list_growth> list_growth_; // By service.
    std::map<std::string, split_state> splits_;      // By service.
    demand_history demand_;
    timer next_plan_;
    time_point planned_at_{};
    double load_tokens_ = 0; // Token bucket: loads that may start now.
    time_point load_tokens_refilled_at_{};
    time_point leadership_changed_at_{};
    bool leading_ = false;
    bool held_ = false;           // No plans are made until a restored log is complete.
    std::string logged_free_vms_; // In the last free_vms log line.
};

} // namespace chervildyke
