/** \file
 * Defines functions that explain decisions, teams and VMs to operators.
 */
#pragma once

#include <string>
#include <vector>

#include "replicas/repair_plan.h"

namespace chervildyke {

/** \return the decision in one line, with the repairs that were compared and their costs. */
std::string to_line(const decision& subject);

/** Explains why a team has its replicas, or what a VM is used for and why it is idle.
 * \param subject the name of a team or of a VM.
 * \param plan the newest decisions.
 * \return short lines; a single one when neither a team nor a VM has the name.
 */
std::vector<std::string> explain_subject(const std::string& subject, const fleet_state& state,
                                         const observed_fleet& fleet,
                                         const std::vector<decision>& plan,
                                         const repair_options& options, time_point now);

} // namespace chervildyke
