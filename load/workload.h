/** \file
 * Defines workload, which generates the calls of one load of an experiment.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/random.h"
#include "load.pb.h"
#include "load/direct_caller.h"
#include "load/entry_caller.h"
#include "load/fleet_description.h"
#include "load/invariant_checker.h"
#include "load/measurements.h"

namespace chervildyke::load {

/** The state that all loads and faults of a run share. */
struct run_context {
    boost::asio::any_io_executor executor;
    std::shared_ptr<http_client> http;
    fleet_description fleet;
    std::uint64_t seed = 0;
    time_point started_at{};
    measurements measured;
    invariant_checker checker;
    std::size_t open_calls = 0;

    /** \return the seconds since the run's start. */
    double elapsed_s() const;
};

/** Generates the calls of one load, closed-loop or open-loop, and records their results. Must
 * outlive its calls.
 */
class workload {
  public:
    workload(run_context& run, schema::load_stretch load);

    /** Completes at the load's end; calls may still be open. */
    boost::asio::awaitable<void> make_calls();

  private:
    boost::asio::awaitable<void> run_closed_loop(std::uint64_t caller_index);
    boost::asio::awaitable<void> run_open_loop();
    boost::asio::awaitable<void> make_call(std::shared_ptr<entry_caller> caller, call_spec spec,
                                           double repeat_probability);

    /** Sends an order again through another entry, with the same idempotency key. */
    boost::asio::awaitable<void> repeat_order(std::shared_ptr<entry_caller> caller, call_spec spec);
    boost::asio::awaitable<std::vector<attempt_result>> call_directly(call_spec spec);

    /** Draws the next call from the load's mix.
     * \param repeat_probability set to the probability with which the order is sent again.
     */
    call_spec next_call(double& repeat_probability);
    std::shared_ptr<entry_caller> make_caller();
    void record(const call_spec& spec, const std::vector<attempt_result>& attempts);

    run_context& run_;
    schema::load_stretch load_;
    random_source random_;
    std::uint64_t call_count_ = 0; // Calls generated.
    direct_caller direct_caller_;
};

} // namespace chervildyke::load
