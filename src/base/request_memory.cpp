/** \file
 * Implements request_memory.
 */
#include "base/request_memory.h"

#include <utility>

namespace chervildyke {

namespace {

constexpr std::size_t copies = 2;
constexpr std::size_t bytes_of_state = 4096; // Of a request that is read or handled: its tasks.

} // namespace

std::size_t charge_of(std::size_t buffered_bytes)
{
    return bytes_of_state + copies * buffered_bytes;
}

request_memory::request_memory(byte_budget& budget, const std::string& address,
                               std::function<void()> give_up)
    : budget_(budget), address_(address), held_(std::in_place, budget, address, std::move(give_up))
{
}

bool request_memory::try_hold(std::size_t buffered_bytes)
{
    return held_->try_resize(charge_of(buffered_bytes));
}

bool request_memory::complete(std::size_t buffered_bytes)
{
    const bool was_taken_away = held_->taken_away();
    if (was_taken_away) {
        held_.emplace(budget_, address_);
    }
    else {
        held_->transfer(address_, {});
    }
    // Fails only if the memory was taken away, since otherwise no more is held than before.
    return try_hold(buffered_bytes) || !was_taken_away;
}

} // namespace chervildyke
