/** \file
 * Defines workload, which makes the calls of one stretch of load.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/random.h"
#include "load.pb.h"
#include "load/caller.h"
#include "load/figures.h"
#include "load/fleet.h"
#include "load/oracle.h"
#include "load/straight_call.h"

namespace chervildyke::load {

/** What the calls of a run share. */
struct run_context {
    boost::asio::any_io_executor executor;
    std::shared_ptr<http_client> http;
    fleet where;
    std::uint64_t seed = 0;
    time_point start{};
    figures measured;
    oracle judge;
    std::size_t open_calls = 0;

    double seconds() const;
};

/** Makes the calls of one stretch and counts how they end. Must outlive its calls. */
class workload {
  public:
    workload(run_context& run, schema::load_stretch stretch);

    /** Completes when the stretch is over; calls may still be open. */
    boost::asio::awaitable<void> make_calls();

  private:
    boost::asio::awaitable<void> closed_caller(std::uint64_t number);
    boost::asio::awaitable<void> open_arrivals();
    boost::asio::awaitable<void> one_call(std::shared_ptr<caller> by, call_spec spec,
                                          double repeat);
    boost::asio::awaitable<void> repeat_order(std::shared_ptr<caller> by, call_spec spec);
    boost::asio::awaitable<std::vector<try_result>> call_engine(call_spec spec);
    call_spec next_spec(double& repeat);
    std::shared_ptr<caller> new_caller();
    void count(const call_spec& spec, const std::vector<try_result>& tries);

    run_context& run_;
    schema::load_stretch stretch_;
    random_source random_;
    std::uint64_t made_ = 0;
    straight_caller straight_;
};

} // namespace chervildyke::load
