/** \file
 * Defines which orders engines are due, and engine_orders, which sends those that this control
 * holds.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "external/engine_client.h"
#include "replicas/repair_plan.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** One order that an engine should get, as follows from the journal and its last report. */
struct due_order {
    std::string vm;
    std::string address;
    schema::engine_order_kind kind = schema::order_unknown_kind;
    replica_id replica = 0; // Also the order's fencing number.
    std::string model;
    std::uint64_t bytes = 0;
    std::vector<std::string> adapters;
    std::string adapter;
    std::vector<std::pair<std::string, std::string>> group; // VM and address of each member.

    bool operator==(const due_order&) const = default;
};

/** Compares what engines report with what the journal says. A member of a live replica that
 * reports otherwise is ordered to join, a member of a retiring one to leave, and a VM that nobody
 * holds to leave what it still believes in. Engines that report a replica formed later than this
 * state are left alone.
 * \return the orders due, for all VMs.
 */
std::vector<due_order> find_due_orders(const fleet_state& state, const fleet_knowledge& fleet,
                                       const repair_memory& memory, const repair_options& options,
                                       time_point now);

struct engine_order_options {
    bool engines_check_fencing = true;
    duration order_quarantine = 3s; // The longest time that an order can be in flight.
    duration timeout = 1s;
    duration resend_after = 1s;
    std::function<void()> on_report; // Told when a reply brought a report. May be empty.
};

/** Sends due orders to the VMs of which this control is the order holder, the first alive by
 * rendezvous hash. Each order has an id, so a copy does nothing. Engines that check fencing may get
 * orders from several controls at once. With others, a control that becomes the holder, or wakes
 * from a pause, stays silent until no order of an earlier holder can be in flight, and an order
 * whose fate is unclear keeps orders for other replicas back as long. An order that arrives later
 * still makes its engine dissent in its next report, which the next due order mends.
 */
class engine_orders {
  public:
    engine_orders(boost::asio::any_io_executor executor, std::string self, report_table& table,
                  engine_client engine, engine_order_options options);
    ~engine_orders();
    engine_orders(const engine_orders&) = delete;
    engine_orders& operator=(const engine_orders&) = delete;

    /** Starts to send what is due and not under way. To be called in each tick.
     * \param alive the controls that seem alive.
     */
    void carry_out(const std::vector<due_order>& due, const std::vector<std::string>& alive,
                   time_point now);

    /** How many orders were sent so far. */
    std::uint64_t sent() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
