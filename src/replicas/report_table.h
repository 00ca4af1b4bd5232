/** \file
 * Defines report_table, which collects the VM list and the engines' reports into observed_fleet.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "control_api.pb.h"
#include "replicas/observed_fleet.h"

namespace chervildyke {

/** Keeps the newest report of each VM, whichever control received it, and detects lost VMs,
 * unreachable fabric domains and stragglers. The vm_watcher sends the requests.
 */
class report_table {
  public:
    /** \param self the name of this control, sent to peers as the watcher of its own reports.
     * \param role_of_pool returns what runs on the VMs of a pool.
     */
    report_table(std::string self, watch_bounds bounds,
                 std::function<vm_role(const std::string& pool)> role_of_pool);

    const observed_fleet& fleet() const { return fleet_; }
    const watch_bounds& bounds() const { return bounds_; }

    /** Updates the VMs from a reply of the VM list. VMs that it lacks are marked as gone and
     * removed ten minutes later.
     */
    void apply_list(const schema::vm_list_reply& list, time_point now);

    /** Records a report that this control received from an engine. Reports of VMs that are not
     * listed, or that name another VM, are ignored.
     * \param requested_at when the call began; the report is not older.
     */
    void add_report(const std::string& vm, const schema::engine_report& report,
                    time_point requested_at);

    /** Records that a plain service passed the health check of this control.
     * \param requested_at when the health check began.
     */
    void add_health_check(const std::string& vm, time_point requested_at);

    /** Merges the reports that a peer received.
     * \param requested_at when the call for the batch began; the ages in the batch count from it.
     * \return false when the batch marks a report as unchanged that this table does not hold; the
     * caller then requests all reports, from sequence zero.
     */
    bool merge(const schema::report_batch& batch, time_point requested_at);

    /** \param after_sequence only answers that this control received after it are included, and
     * contents only where they have changed since.
     * \param wanted selects the VMs.
     * \return the answers that this control itself received.
     */
    schema::report_batch own_reports(std::uint64_t after_sequence,
                                     const std::function<bool(const std::string& vm)>& wanted,
                                     time_point now) const;

    /** Detects lost VMs, unreachable domains and stragglers. Must be called a few times a second:
     * after a longer gap this process was paused and received nothing, so silence counts from now.
     */
    void refresh(time_point now);

    /** \return how many changes were seen that decisions depend on: of replicas, conditions,
     * presence and losses, but not of load.
     */
    std::uint64_t change_count() const { return change_count_; }

    /** \return the time since the VM last answered, but not more than since it was listed or this
     * control began to watch.
     */
    duration silence(const observed_vm& vm, time_point now) const;

  private:
    struct own_answer {
        std::string serialized_report; // Empty for plain services.
        time_point requested_at{};
        std::uint64_t answer_sequence = 0;
        std::uint64_t content_sequence = 0;
    };

    void store_report(observed_vm& vm, const schema::engine_report& report);
    void store_own_answer(const std::string& vm, std::string serialized_report,
                          time_point requested_at);
    void update_loss(observed_vm& vm, time_point now);
    void add_outage(std::vector<duration>& outages, duration outage);
    void update_stragglers(time_point now);
    void update_domains(time_point now);
    void remove_gone_vms(time_point now);

    std::string self_;
    watch_bounds bounds_;
    std::function<vm_role(const std::string&)> role_of_pool_;
    observed_fleet fleet_;
    std::map<std::string, own_answer> own_answers_;
    std::uint64_t sequence_;
    std::uint64_t change_count_ = 0;
    std::optional<time_point> last_refresh_;
    time_point watching_since_{};
};

} // namespace chervildyke
