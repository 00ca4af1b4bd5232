/** \file
 * Defines read_whole_body, which buffers an answer that is forwarded as a whole.
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
 * \param max_bytes limit of its size; a longer body fails with http_error::broken.
 * \param budget from which its bytes are taken; the body fails with http_error::broken when they
 * are refused or taken away.
 * \param deadline of the whole body, so that a server that sends a byte now and then can't keep the
 * call open.
 */
boost::asio::awaitable<http_result<std::string>> read_whole_body(http_stream& answer,
                                                                 std::size_t max_bytes,
                                                                 byte_budget::reservation& budget,
                                                                 time_point deadline);

} // namespace chervildyke
