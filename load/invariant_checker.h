/** \file
 * Defines invariant_checker, which checks the result of every call from the caller's side.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "load/entry_caller.h"
#include "platform.pb.h"

namespace chervildyke::load {

/** The number of violations of each invariant, and the first violation. */
struct invariant_violations {
    std::map<std::string, std::uint64_t> counts; // By invariant.
    std::string first;                           // Empty if there is none.

    void add(const std::string& invariant, const std::string& event);
    std::uint64_t total() const;
};

/** Checks the answers of model calls against the expected text, and the outcomes that callers got
 * for orders against the executions at the services. Shares no code with the system's decisions, so
 * that a fault there can't hide itself.
 */
class invariant_checker {
  public:
    /** Checks the result of one attempt, and records it if it is an order's. */
    void check_attempt(const call_spec& spec, const attempt_result& result);

    /** Compares the recorded outcomes of the orders with the executions at a service. */
    void check_orders(const schema::service_truth& executed);

    const invariant_violations& violations() const { return violations_; }
    std::size_t order_count() const { return orders_.size(); }

    /** \return the number of orders whose callers can't know whether they were executed. */
    std::size_t unsettled_order_count() const;

  private:
    /** The results of an order's attempts. */
    struct order_results {
        std::set<std::string> confirmations; // Distinct ones.
        std::uint32_t complete_attempts = 0;
        std::uint32_t not_run_attempts = 0;
        std::uint32_t unclear_attempts = 0; // With the outcome unknown or none.
        bool repeatable = false;
    };
    void check_answer(const call_spec& spec, const attempt_result& result);

    std::map<std::string, order_results> orders_; // By idempotency key.
    invariant_violations violations_;
};

} // namespace chervildyke::load
