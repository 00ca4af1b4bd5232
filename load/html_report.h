/** \file
 * Defines html_report, which makes an HTML page of the results of experiments.
 */
#pragma once

#include <string>
#include <vector>

namespace chervildyke::load {

/** \param results JSON texts that experiment_result::to_json made.
 * \return a self-contained HTML page.
 */
std::string html_report(const std::vector<std::string>& results);

} // namespace chervildyke::load
