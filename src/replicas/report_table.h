/** \file
 * Defines report_table, which gathers the VM list and the engines' reports into fleet_knowledge.
 */
#pragma once

#include <functional>
#include <map>
#include <string>

#include "control_api.pb.h"
#include "replicas/vm_knowledge.h"

namespace chervildyke {

/** Keeps the newest report of each VM, whoever heard it, and judges silence. Asking is left to
 * vm_watcher.
 */
class report_table {
  public:
    /** \param self the name of this control, under which its own reports go to peers.
     * \param role_of_pool says what runs on the VMs of a pool.
     */
    report_table(std::string self, watch_bounds bounds,
                 std::function<vm_role(const std::string& pool)> role_of_pool);

    const fleet_knowledge& knowledge() const { return knowledge_; }
    const watch_bounds& bounds() const { return bounds_; }

    /** Takes in one answer of the VM list. */
    void apply_list(const schema::vm_list_reply& list, time_point now);

    /** Takes in an engine's own answer.
     * \param asked_at when the call began; the answer can't be older.
     */
    void note_answer(const std::string& vm, const schema::engine_report& report,
                     time_point asked_at);

    /** Takes in that a plain service answered its health call. */
    void note_healthy(const std::string& vm, time_point asked_at);

    /** Takes in what a peer heard. Ages count from the start of the call that brought the batch.
     * \return false when the batch leans on reports that this table does not hold; the caller then
     * asks anew from sequence zero.
     */
    bool merge(const schema::report_batch& batch, time_point asked_at);

    /** Writes what this control heard itself since a sequence.
     * \param wanted chooses the VMs.
     */
    schema::report_batch own_reports(std::uint64_t after_sequence,
                                     const std::function<bool(const std::string& vm)>& wanted,
                                     time_point now) const;

    /** Judges silence, dark domains and stragglers; to be called a few times a second. After a
     * pause of this process silence counts anew, since it was not listening.
     */
    void refresh(time_point now);

    /** How long a VM has been silent, counted from when this control began to listen. */
    duration silence(const vm_knowledge& vm, time_point now) const;

  private:
    struct own_report {
        std::string content; // Serialised; empty for plain services.
        time_point asked_at{};
        std::uint64_t heard_sequence = 0;
        std::uint64_t changed_sequence = 0;
    };

    void remember_own(const std::string& vm, std::string content, time_point asked_at);
    void judge_silence(vm_knowledge& vm, time_point now);
    void note_outage(std::vector<duration>& outages, duration span);
    void judge_stragglers(time_point now);
    void judge_domains(time_point now);
    void forget_gone(time_point now);

    std::string self_;
    watch_bounds bounds_;
    std::function<vm_role(const std::string&)> role_of_pool_;
    fleet_knowledge knowledge_;
    std::map<std::string, own_report> own_;
    std::uint64_t sequence_;
    std::optional<time_point> refreshed_at_;
    time_point listening_since_{};
};

} // namespace chervildyke
