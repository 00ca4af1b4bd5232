/** \file
 * Defines read_whole_body, which buffers an answer that is forwarded as a whole, and the
 * reservation of memory for what a server sends.
 */
#pragma once

#include <cstddef>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/byte_budget.h"
#include "base/clock.h"
#include "base/http_client.h"

namespace chervildyke {

/** The reason of an attempt whose memory was refused or taken away. */
inline constexpr const char* no_memory_reason =
    "the answer was given up: no memory is left, and the answers of its server hold the most";

/** \return a reservation for an answer of the server; its attempt is cancelled when the bytes are
 * taken away.
 */
std::shared_ptr<byte_budget::reservation>
reserve_for_answer(byte_budget& budget, std::string server, std::shared_ptr<http_cancel> attempt);

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
