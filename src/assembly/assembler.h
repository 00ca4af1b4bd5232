/** \file
 * Defines assembler, the task that carries out assembly plans on the node that leads.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/assembly_plan.h"
#include "fleet/published_configuration.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** What the assembler asks of its node. */
struct assembler_hooks {
    /** True while this node should act. Two nodes that act at once do no harm: appends are
     * conditional, and orders carry the epoch of the record that they follow from.
     */
    std::function<bool()> leads;

    std::function<published_configuration_ptr()> services;

    /** True once callers have sent calls; loads before that are not rationed. */
    std::function<bool()> calls_began;

    /** True while the list of backend servers is current. */
    std::function<bool()> list_is_current;

    /** False while the VM has asked this node for a pause. */
    std::function<bool(const backend&)> may_probe;

    std::function<std::map<std::string, double>()> demand_ms_per_s;

    /** Reads the topic of replicas once, so that an append meets the log's end. */
    std::function<boost::asio::awaitable<void>()> refresh_ledger;

    /** Takes records that were appended. */
    std::function<void(const keyed_records&)> take_records;
};

class assembler : public std::enable_shared_from_this<assembler> {
  public:
    assembler(boost::asio::any_io_executor executor, shared_log log, engine_calls engines,
              const replica_ledger& ledger, const backend_table& backends,
              const replica_balancer& board, assembler_hooks hooks, assembly_settings settings);

    /** Plans and acts until the process ends. */
    boost::asio::awaitable<void> run();

    /** Plans sooner than usual, since something that a plan may wait for has changed. */
    void plan_soon();

    /** True while this node acts. */
    bool leading() const { return led_; }

    /** The loads that may still run, for the next node that leads. */
    std::vector<schema::running_load> running_loads() const;

    /** Takes over what the leading node says of its loads. */
    void note_running_load(const schema::running_load& load);

  private:
    boost::asio::awaitable<void> act(const std::string& service, const engine_profile& profile);
    bool list_grows(const std::string& service);
    boost::asio::awaitable<void> append(std::vector<keyed_record> records);
    boost::asio::awaitable<void> send(backend vm, planned_order order);
    boost::asio::awaitable<void> probe(backend vm);
    boost::asio::awaitable<void> wait_for_plan();
    void refill_loads(const engine_profile& profile);
    void note_lost_heads();
    void remember_backends();

    boost::asio::any_io_executor executor_;
    shared_log log_;
    engine_calls engines_;
    const replica_ledger& ledger_;
    const backend_table& backends_;
    const replica_balancer& board_;
    assembler_hooks hooks_;
    assembly_settings settings_;
    assembly_memory memory_;
    std::map<std::string, backend> last_seen_; // Also of VMs that vanished.
    /** The VMs of a service, as the list has shown them so far. */
    struct list_growth {
        std::size_t vms = 0; // Listed at once at most.
        time_point began_at{};
        time_point grew_at{};
    };
    std::map<std::string, list_growth> growths_; // By service.
    timer next_plan_;
    time_point planned_at_{};
    double loads_ = 0; // That may start now.
    time_point loads_refilled_at_{};
    time_point led_since_{};
    bool led_ = false;
    std::string told_free_vms_; // In the last log line on them.
};

} // namespace chervildyke
