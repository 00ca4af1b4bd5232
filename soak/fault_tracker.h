/** \file
 * Defines fault_tracker, which knows whether faults that excuse lost answers were active lately,
 * and which nodes faults have disturbed.
 */
#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "base/clock.h"
#include "soak/deployment.h"

namespace chervildyke::soak {

/** Counts the active faults that excuse lost answers, see excuses_nothing(), and those that disturb
 * each node: its process, its links or the store.
 */
class fault_tracker {
  public:
    void begin_fault() { all_.begin(); }
    void end_fault() { all_.end(); }

    /** \return true if no fault was active from fault_settle_time before the moment until now. */
    bool fault_free_since(time_point moment) const
    {
        return all_.quiet_since(moment - fault_settle_time);
    }

    void begin_disturbance(const std::vector<std::size_t>& nodes)
    {
        for (const std::size_t node : nodes) {
            by_node_[node].begin();
        }
    }

    void end_disturbance(const std::vector<std::size_t>& nodes)
    {
        for (const std::size_t node : nodes) {
            by_node_[node].end();
        }
    }

    /** \return true if the node was undisturbed from fault_settle_time before the moment until now.
     */
    bool node_undisturbed_since(std::size_t node, time_point moment) const
    {
        const auto found = by_node_.find(node);
        return found == by_node_.end() || found->second.quiet_since(moment - fault_settle_time);
    }

  private:
    /** The faults of one kind that are active, and when the last one ended. */
    class activity {
      public:
        void begin() { ++active_; }

        void end()
        {
            --active_;
            last_end_ = monotonic_clock::now();
        }

        bool quiet_since(time_point moment) const { return active_ == 0 && last_end_ < moment; }

      private:
        int active_ = 0;
        time_point last_end_{};
    };

    activity all_;
    std::map<std::size_t, activity> by_node_;
};

} // namespace chervildyke::soak
