/** \file
 * Defines the page that shows the results of experiments.
 */
#pragma once

#include <string>
#include <vector>

namespace chervildyke::load {

/** Makes one HTML page that needs nothing else.
 * \param results the JSON texts that experiments wrote.
 */
std::string html_report(const std::vector<std::string>& results);

} // namespace chervildyke::load
