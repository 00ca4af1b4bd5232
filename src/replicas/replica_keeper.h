/** \file
 * Defines replica_keeper, the task that carries the repair plan out.
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

#include "replicas/engine_orders.h"
#include "replicas/repair_plan.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** What the keeper needs from the rest of a control. */
struct replica_keeper_hooks {
    /** The newest state of the journal; never null. */
    std::function<std::shared_ptr<const fleet_state>()> state;

    /** The controls that seem alive, this one among them. */
    std::function<std::vector<std::string>()> alive_members;

    /** True while the journal is ready and fresh enough to act upon. */
    std::function<bool()> can_act;

    /** Appends a change to the journal and waits for its verdict; no value when it is unknown. */
    std::function<boost::asio::awaitable<std::optional<record_outcome>>(
        schema::journal_record change, duration timeout)>
        propose;

    /** Names the VMs whose next report is awaited. May be empty. */
    std::function<void(std::set<std::string> vms)> attend;

    engine_client engine;
};

struct replica_keeper_options {
    repair_options repair;
    duration tick = 250ms;
    duration proposal_timeout = 5s;
    duration retry_after = 1s; // After a proposal that was void or had no verdict.
};

/** Plans in each tick and carries out the decisions that this control is first for, by rendezvous
 * hash over the controls alive. Two controls that both act do no harm: the journal voids the second
 * record, and orders have ids. Deciding is left to plan_repairs, sending to engine_orders.
 */
class replica_keeper {
  public:
    replica_keeper(boost::asio::any_io_executor executor, std::string self, report_table& table,
                   replica_keeper_hooks hooks, replica_keeper_options options);
    ~replica_keeper();
    replica_keeper(const replica_keeper&) = delete;
    replica_keeper& operator=(const replica_keeper&) = delete;

    /** Keeps replicas until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** Makes the next tick come at once; to be called when the state or reports changed. */
    void wake();

    /** The last plan, for status and tests. */
    const std::vector<decision>& last_plan() const;

    /** Explains a team's or a VM's condition for operators, one line each. */
    std::vector<std::string> explain(const std::string& subject) const;

    /** Orders sent so far. */
    std::uint64_t orders_sent() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
