/** \file
 * Defines gather_body, which reads an answer that is passed on as a whole.
 */
#pragma once

#include <cstddef>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/byte_budget.h"
#include "base/clock.h"
#include "base/http_client.h"

namespace chervildyke {

/** Reads a body to its end.
 * \param most bytes of it; a longer one is broken.
 * \param held takes the bytes; the body is broken when the node has no more room.
 * \param until when the whole body must have come, so that a byte now and then does not keep it
 * alive.
 */
boost::asio::awaitable<http_result<std::string>>
gather_body(http_stream& answer, std::size_t most, byte_budget::share& held, time_point until);

} // namespace chervildyke
