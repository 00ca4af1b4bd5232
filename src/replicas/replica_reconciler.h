/** \file
 * Defines replica_reconciler, the task that brings the replicas to the configured state.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "replicas/command_sender.h"
#include "replicas/repair_plan.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** What the reconciler uses of the rest of a control. */
struct replica_reconciler_hooks {
    /** The newest state of the journal; never null. */
    std::function<std::shared_ptr<const fleet_state>()> state;

    /** The controls that seem alive, this one among them. */
    std::function<std::vector<std::string>()> alive_members;

    /** True while the journal's state is ready and fresh enough to act on. */
    std::function<bool()> can_act;

    /** Appends a change to the journal and waits for its outcome; no value when it is unknown. */
    std::function<boost::asio::awaitable<std::optional<record_outcome>>(
        schema::journal_record change, duration timeout)>
        propose;

    /** Sets the VMs whose reports are needed soon. May be empty. */
    std::function<void(std::set<std::string> vms)> prioritize_vms;

    engine_client engine;
};

struct replica_reconciler_options {
    repair_options repair;
    duration interval = 250ms; // Between two plans when nothing changes.
    duration proposal_timeout = 5s;
    duration retry_delay = 1s; // After a proposal that was not accepted or had no outcome.
};

/** Makes a repair plan in each interval and after changes, and carries out the decisions for which
 * this control is first by rendezvous hash over the alive controls. Two controls that both act do
 * no harm: the journal rejects the second record, and commands have ids. plan_repairs() makes the
 * decisions, command_sender sends the commands to engines.
 */
class replica_reconciler {
  public:
    replica_reconciler(boost::asio::any_io_executor executor, std::string self, report_table& table,
                       replica_reconciler_hooks hooks, replica_reconciler_options options);
    ~replica_reconciler();
    replica_reconciler(const replica_reconciler&) = delete;
    replica_reconciler& operator=(const replica_reconciler&) = delete;

    /** Reconciles until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** Starts the next plan without waiting for the interval. To be called when the state or the
     * reports have changed.
     */
    void wake();

    /** \return the last plan. */
    const std::vector<decision>& last_plan() const;

    /** \return lines that explain the condition of a team or a VM to operators.
     * \param subject the name of the team or VM.
     */
    std::vector<std::string> explain(const std::string& subject) const;

    /** \return how many commands were sent to engines so far, with copies. */
    std::uint64_t commands_sent() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
