/** \file
 * Defines oracle, which judges every answer and every order from outside.
 */
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "load/caller.h"
#include "platform.pb.h"

namespace chervildyke::load {

/** How often each invariant broke, and the first event that broke one. */
struct violations {
    std::map<std::string, std::uint64_t> counts;
    std::string first;

    void add(const std::string& kind, const std::string& event);
    std::uint64_t total() const;
};

/** Knows what each answer must be and what each order's tries were told. Shares no code with the
 * system's decisions.
 */
class oracle {
  public:
    /** Judges one try. */
    void judge(const call_spec& spec, const try_result& tried);

    /** Compares what callers were told with what the services ran. */
    void judge_orders(const schema::service_truth& truth);

    const violations& found() const { return found_; }
    std::size_t orders() const { return orders_.size(); }

    /** Orders of which no try was told more than unknown. */
    std::size_t unsettled_orders() const;

  private:
    struct order {
        std::set<std::string> confirmations;
        std::uint32_t complete = 0;
        std::uint32_t not_run = 0;
        std::uint32_t unclear = 0; // Unknown, or no answer.
        bool repeatable = false;
    };
    void judge_text(const call_spec& spec, const try_result& tried);

    std::map<std::string, order> orders_; // By tenant and key.
    violations found_;
};

} // namespace chervildyke::load
