/** \file
 * Defines run_experiment, which applies the loads and faults of an experiment to a running fleet
 * and checks the results.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "load.pb.h"
#include "load/fleet_description.h"

namespace chervildyke::load {

/** A bound of the experiment and the measured figure. */
struct bound_result {
    std::string figure;
    std::string target;  // Such as "<= 5".
    double measured = 0; // NaN if the run has no such figure.
    bool met = false;

    bool operator==(const bound_result&) const = default;
};

struct experiment_result {
    std::string name;
    std::uint64_t seed = 0;
    bool ready = false; // All replicas were complete before the load began.
    std::map<std::string, double> figures;
    std::map<std::string, std::uint64_t> violations; // Count by invariant.
    std::string first_violation;
    std::vector<bound_result> bounds;

    /** \return true if the fleet was ready, no invariant was violated and all bounds were met. */
    bool passed() const;
    std::string to_json() const;

    /** \return a few lines of text for a terminal. */
    std::string summary() const;
};

/** Passes an action on a process, such as kill, to the script that started the process. */
using process_action = std::function<void(const std::string& target, const std::string& action)>;

/** Runs one experiment. Completes when its time is over and its calls have ended or timed out.
 * \param act called for each fault that only the script that started the fleet can inject.
 * \param show_progress called once a second with a line of text.
 */
boost::asio::awaitable<experiment_result>
run_experiment(schema::load_experiment experiment, fleet_description fleet, std::uint64_t seed,
               process_action act, std::function<void(const std::string&)> show_progress);

} // namespace chervildyke::load
