/** \file
 * Defines experiment, which runs load and faults against a started fleet and judges the result.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "load.pb.h"
#include "load/fleet.h"

namespace chervildyke::load {

/** A bound of the experiment beside what was measured. */
struct checked_bound {
    std::string figure;
    std::string target;
    double measured = 0;
    bool met = false;

    bool operator==(const checked_bound&) const = default;
};

struct experiment_result {
    std::string name;
    std::uint64_t seed = 0;
    bool ready = false; // The fleet served before the load began.
    std::map<std::string, double> figures;
    std::map<std::string, std::uint64_t> violations;
    std::string first_violation;
    std::vector<checked_bound> bounds;

    /** True when no invariant broke and every bound was met. */
    bool passed() const;
    std::string to_json() const;

    /** A few readable lines. */
    std::string summary() const;
};

/** Hands an action on a process to whoever started it. */
using process_action = std::function<void(const std::string& target, const std::string& action)>;

/** Runs one experiment.
 * \param actions called for faults that only the shell can make.
 * \param progress called about each second with a short line.
 */
boost::asio::awaitable<experiment_result>
run_experiment(schema::load_experiment experiment, fleet where, std::uint64_t seed,
               process_action actions, std::function<void(const std::string&)> progress);

} // namespace chervildyke::load
