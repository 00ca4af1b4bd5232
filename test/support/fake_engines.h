/** \file
 * Defines fake_engines, simulated model engines behind engine_client, for tests that use the manual
 * clock.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "external/engine_client.h"
#include "external/vm_list_client.h"

namespace chervildyke::test {

/** A simulated engine. Tests may set any field at any time. */
struct fake_engine {
    schema::vm_entry entry;
    bool listed = true;
    bool dead = false;          // Answers nothing.
    bool paused = false;        // Answers nothing; executes the queued commands when resumed.
    bool checks_fencing = true; // Refuses commands with a lower fencing number than before.
    bool leaving = false;       // The value in its report.
    bool keeps_weights = true;  // After a leave, the weights stay in memory.
    duration command_delay{0};  // How late a command arrives; its sender may have timed out.
    std::uint32_t running = 0;  // Calls in progress; the engine leaves when there are none.
    std::uint32_t token_time_us = 30'000;
    unsigned reboots = 0;
    std::uint64_t replica_id = 0;
    std::uint64_t fencing = 0;
    std::uint64_t highest_fencing = 0;
    std::string command_id; // Of the last executed command.
    std::string model;
    double bytes_to_load = 0;
    bool leave_pending = false;
    std::vector<std::string> adapters;
    std::vector<schema::engine_order> queued_commands; // That arrived while it was paused.
    unsigned executed_commands = 0;
};

/** Engines that share one weight store of a fixed rate. Loads that run at once get equal shares. */
class fake_engines {
  public:
    /** \param bytes_per_second the rate of the weight store, shared by all loads. */
    explicit fake_engines(double bytes_per_second);

    /** Adds an engine whose address is the VM's name. */
    void add(const std::string& vm, const std::string& fabric_domain,
             const std::string& failure_domain = "gent-a", std::uint32_t accelerators = 2);

    fake_engine& at(const std::string& vm) { return engines_.at(vm); }
    const std::map<std::string, fake_engine>& all() const { return engines_; }

    void crash(const std::string& vm);
    void reboot(const std::string& vm); // Starts again without a replica or weights.
    void pause(const std::string& vm);
    void resume(const std::string& vm);

    /** Delivers a command now, as a network delivers a delayed one. */
    void deliver(const std::string& vm, const schema::engine_order& command);

    engine_client client();
    vm_list_client vm_list();

    schema::engine_report report_of(const std::string& vm);

    /** \return the most loads that ran at once so far. */
    std::size_t max_concurrent_loads() const { return max_concurrent_loads_; }

  private:
    /** Advances the loads to the current time, and completes leaves without running calls. */
    void advance_loads();
    schema::engine_order_reply execute(fake_engine& engine, const schema::engine_order& command);
    boost::asio::awaitable<external_result<schema::engine_report>> report(std::string vm,
                                                                          duration timeout);
    boost::asio::awaitable<external_result<schema::engine_order_reply>>
    order(std::string vm, schema::engine_order command, duration timeout);

    double bytes_per_second_;
    std::map<std::string, fake_engine> engines_;
    time_point advanced_at_;
    std::size_t max_concurrent_loads_ = 0;
};

} // namespace chervildyke::test
