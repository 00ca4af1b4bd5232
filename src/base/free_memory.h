/** \file
 * Defines return_free_memory, which keeps a process from holding memory that it no longer uses.
 */
#pragma once

#include <boost/asio/awaitable.hpp>

namespace chervildyke {

/** Sets the allocator so that large blocks return to the system when they are freed. */
void return_large_blocks();

/** Returns free memory of the heap to the system every two seconds if there is much more of it than
 * before. Otherwise one small block that is still in use keeps all the memory below it, as after a
 * crowd of clients has left. Never completes.
 */
boost::asio::awaitable<void> return_free_memory();

} // namespace chervildyke
