/** \file
 * Implements byte_budget.
 */
#include "base/byte_budget.h"

#include <utility>

namespace chervildyke {

byte_budget::sender_totals::iterator byte_budget::state::join(const std::string& sender)
{
    const auto joined = senders.try_emplace(sender).first;
    ++joined->second.reservations;
    return joined;
}

void byte_budget::state::leave(sender_totals::iterator sender)
{
    if (--sender->second.reservations == 0) {
        senders.erase(sender);
    }
}

byte_budget::reservation::reservation(byte_budget& budget, std::string sender,
                                      std::function<void()> give_up)
    : budget_(budget.held_), sender_(budget_->join(sender)), give_up_(std::move(give_up))
{
    budget_->reservations.insert(this);
}

byte_budget::reservation::~reservation()
{
    release(reserved_bytes_);
    budget_->reservations.erase(this);
    budget_->leave(sender_);
}

void byte_budget::reservation::release(std::size_t bytes)
{
    reserved_bytes_ -= bytes;
    budget_->reserved_bytes -= bytes;
    sender_->second.bytes -= bytes;
}

/** \return the largest reservation of the sender that holds most bytes, of those that can be taken
 * away and of the asking one, which counts with the bytes that it asks for.
 */
byte_budget::reservation* byte_budget::state::find_largest(const reservation& asking,
                                                           std::size_t bytes) const
{
    const auto rank = [&](const reservation& held) {
        const std::size_t asked = held.sender_ == asking.sender_ ? bytes : 0;
        return std::pair(held.sender_->second.bytes + asked,
                         held.reserved_bytes_ + (&held == &asking ? bytes : 0));
    };
    reservation* largest = nullptr;
    for (reservation* held : reservations) {
        const bool counts = held == &asking || (held->give_up_ && held->reserved_bytes_ > 0);
        if (counts && (largest == nullptr || rank(*held) > rank(*largest))) {
            largest = held;
        }
    }
    return largest;
}

bool byte_budget::reservation::try_reserve(std::size_t bytes)
{
    while (!taken_away_ && bytes > budget_->available()) {
        reservation* largest = budget_->find_largest(*this, bytes);
        if (largest == this) {
            return false;
        }
        largest->taken_away_ = true;
        largest->release(largest->reserved_bytes_);
        const std::function<void()> give_up = std::exchange(largest->give_up_, nullptr);
        give_up();
    }
    if (taken_away_) {
        return false;
    }
    reserved_bytes_ += bytes;
    budget_->reserved_bytes += bytes;
    sender_->second.bytes += bytes;
    return true;
}

bool byte_budget::reservation::try_resize(std::size_t total)
{
    if (taken_away_) {
        return false;
    }
    if (total <= reserved_bytes_) {
        release(reserved_bytes_ - total);
        return true;
    }
    return try_reserve(total - reserved_bytes_);
}

void byte_budget::reservation::transfer(std::string sender, std::function<void()> give_up)
{
    const std::size_t bytes = reserved_bytes_;
    release(bytes);
    const auto joined = budget_->join(sender); // Before the sender is left, which may be the same.
    budget_->leave(sender_);
    sender_ = joined;
    give_up_ = std::move(give_up);
    reserved_bytes_ += bytes;
    budget_->reserved_bytes += bytes;
    sender_->second.bytes += bytes;
}

} // namespace chervildyke
