/** \file
 * Defines assembly_memory, what one node remembers of its orders and probes. It only speeds things
 * up: a node that knows nothing repeats orders, which does no harm.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "assembly/replica_order.h"
#include "base/clock.h"

namespace chervildyke {

struct sent_order {
    time_point at{};
    std::string model;
    std::optional<order_outcome> outcome; // None: still under way.

    bool operator==(const sent_order&) const = default;
};

struct probe_memory {
    time_point last_at{};
    std::uint32_t failures = 0; // In a row.
    time_point first_failure_at{};
    bool refused = false; // The last attempt to connect was refused: no process listens.
    time_point answered_at{};

    bool operator==(const probe_memory&) const = default;
};

/** A head of a retiring replica that vanished from the list. */
struct lost_head {
    time_point since{};
    bool address_known = false; // It can still be told to close.
    bool no_contact = false;    // The last attempt to reach it failed.

    bool operator==(const lost_head&) const = default;
};

class assembly_memory {
  public:
    /** \param loads_weights for a join: the VM's host loads the model first, in place of what an
     * earlier order let it load.
     */
    void note_sent(const std::string& vm, const replica_order& order, time_point now,
                   bool loads_weights = false);
    void note_outcome(const std::string& vm, const replica_order& order, order_outcome outcome);
    const sent_order* find(const std::string& vm, order_kind kind, std::uint64_t epoch) const;

    /** True when an order of the kind went to the VM since the time given, for any replica. */
    bool sent_since(const std::string& vm, order_kind kind, time_point time) const;

    /** The loads ordered since the time given. */
    std::vector<std::pair<std::string, sent_order>> loads_since(time_point time) const;

    void note_probe_sent(const std::string& vm, time_point now);
    void note_probe(const std::string& vm, probe_outcome outcome, time_point now);
    const probe_memory* probe_of(const std::string& vm) const;

    lost_head& lost_head_at(std::uint64_t epoch) { return lost_heads_[epoch]; }
    const lost_head* lost_head_of(std::uint64_t epoch) const;

    /** Forgets what is older than the time given. */
    void forget_before(time_point time);

  private:
    using order_key = std::tuple<std::string, order_kind, std::uint64_t>;

    std::map<order_key, sent_order> orders_;
    std::map<std::string, probe_memory> probes_;
    std::map<std::uint64_t, lost_head> lost_heads_; // By epoch.
};

} // namespace chervildyke
