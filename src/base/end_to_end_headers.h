/** \file
 * Defines end_to_end_headers, which selects the headers that are forwarded with a message.
 */
#pragma once

#include <vector>

#include "base/http_message.h"

namespace chervildyke {

/** \return the headers without those that apply to one connection only (hop-by-hop headers). */
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

} // namespace chervildyke
