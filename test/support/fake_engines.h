/** \file
 * Defines fake_engines, model engines behind the engine_client hooks for tests under the manual
 * clock.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include "external/engine_client.h"
#include "external/vm_list_client.h"

namespace chervildyke::test {

/** One fake engine; tests may set any field at any time. */
struct fake_engine {
    schema::vm_entry entry;
    bool listed = true;
    bool dead = false;          // Answers nothing.
    bool paused = false;        // Answers nothing, and obeys what waits once it goes on.
    bool checks_fencing = true; // Refuses orders with a fencing number below its own.
    bool leaving = false;       // What its report says.
    bool keeps_weights = true;  // After a leave, the weights stay in memory.
    duration order_delay{0};    // Orders take this long to arrive; the sender gives up before.
    std::uint32_t running = 0;  // Calls in progress; a leave waits for them.
    std::uint32_t token_time_us = 30'000;
    unsigned reboots = 0;
    std::uint64_t replica_id = 0;
    std::uint64_t fencing = 0;
    std::uint64_t highest_fencing = 0;
    std::string order_id;
    std::string model;
    double bytes_to_load = 0;
    bool leave_wanted = false;
    std::vector<std::string> adapters;
    std::vector<schema::engine_order> waiting; // Arrived while paused.
    unsigned orders_obeyed = 0;
};

/** Engines that share one weight store of a fixed rate. */
class fake_engines {
  public:
    /** \param bytes_per_second the rate of the weight store, shared by all loads. */
    explicit fake_engines(double bytes_per_second);

    /** Adds an engine whose address is its name. */
    void add(const std::string& vm, const std::string& fabric_domain,
             const std::string& failure_domain = "gent-a", std::uint32_t accelerators = 2);

    fake_engine& at(const std::string& vm) { return engines_.at(vm); }
    const std::map<std::string, fake_engine>& all() const { return engines_; }

    void die(const std::string& vm);
    void reboot(const std::string& vm); // Comes back, without replica or weights.
    void pause(const std::string& vm);
    void resume(const std::string& vm);

    /** Lets one order arrive now, as a network would deliver a late one. */
    void deliver(const std::string& vm, const schema::engine_order& order);

    engine_client client();
    vm_list_client vm_list();

    schema::engine_report report_of(const std::string& vm);

    /** The most loads that ran at once so far. */
    std::size_t most_loads() const { return most_loads_; }

  private:
    void settle();
    schema::engine_order_reply obey(fake_engine& engine, const schema::engine_order& order);
    boost::asio::awaitable<external_result<schema::engine_report>> report(std::string vm,
                                                                          duration timeout);
    boost::asio::awaitable<external_result<schema::engine_order_reply>>
    order(std::string vm, schema::engine_order order, duration timeout);

    double bytes_per_second_;
    std::map<std::string, fake_engine> engines_;
    time_point settled_at_;
    std::size_t most_loads_ = 0;
};

} // namespace chervildyke::test
