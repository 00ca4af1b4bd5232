/** \file
 * Implements return_free_memory over the functions of glibc.
 */
#include "base/free_memory.h"

#include <algorithm>

#include <malloc.h>

#include "base/clock.h"

namespace chervildyke {

namespace {

// Without a setting glibc raises this threshold to the size of the largest block freed, up to 32
// MB.
constexpr int large_block_bytes = 128 << 10;
constexpr duration check_interval = 2s;
constexpr std::size_t min_returned_bytes = 8U << 20U; // Less is not worth the walk over the heap.

} // namespace

void return_large_blocks()
{
    ::mallopt(M_MMAP_THRESHOLD, large_block_bytes);
}

boost::asio::awaitable<void> return_free_memory()
{
    // Blocks that were returned still count as free, so the check is against the least since then.
    std::size_t least_free = ::mallinfo2().fordblks;
    while (true) {
        co_await sleep_for(check_interval);
        const std::size_t free_bytes = ::mallinfo2().fordblks;
        least_free = std::min(least_free, free_bytes);
        if (free_bytes - least_free >= min_returned_bytes) {
            ::malloc_trim(0);
            least_free = ::mallinfo2().fordblks;
        }
    }
}

} // namespace chervildyke
