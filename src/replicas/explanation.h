/** \file
 * Defines how decisions and conditions are explained to operators.
 */
#pragma once

#include <string>
#include <vector>

#include "replicas/repair_plan.h"

namespace chervildyke {

/** \return a decision in one line, with the alternatives and their costs. */
std::string to_line(const decision& subject);

/** Explains why a team has the replicas it has, or what a VM does and why it is idle.
 * \param subject a team's or a VM's name.
 * \param plan the decisions made last.
 * \return short lines; one that says so when the subject is unknown.
 */
std::vector<std::string> explain_subject(const std::string& subject, const fleet_state& state,
                                         const fleet_knowledge& fleet,
                                         const std::vector<decision>& plan,
                                         const repair_options& options, time_point now);

} // namespace chervildyke
