/** \file
 * Defines request_memory, the memory that one request holds of its server's budget.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <optional>
#include <string>

#include "base/byte_budget.h"

namespace chervildyke {

/** \return what a request is charged for buffers of this size. Each byte counts twice: a buffer
 * that grows is copied, and an attempt at a backend server holds a copy of the request. To that
 * comes the state of the request itself.
 */
std::size_t charge_of(std::size_t buffered_bytes);

/** Holds memory on behalf of a client's address from the first byte of a request until its call has
 * ended. Until the request is complete the memory may be taken away, when the budget is full and
 * this is the largest incomplete request of the address that holds most.
 */
class request_memory {
  public:
    /** \param give_up makes the connection stop reading; called at most once. */
    request_memory(byte_budget& budget, const std::string& address, std::function<void()> give_up);

    /** Charges the request for buffers of this size, in place of the earlier size.
     * \return false if the budget is full and the request must be refused.
     */
    bool try_hold(std::size_t buffered_bytes);

    /** From here on the memory is not taken away.
     * \param buffered_bytes the size of what remains of the request.
     * \return false if it was taken away before and the budget is still full.
     */
    bool complete(std::size_t buffered_bytes);

    bool taken_away() const { return held_->taken_away(); }

  private:
    byte_budget& budget_;
    std::string address_;
    std::optional<byte_budget::reservation> held_;
};

} // namespace chervildyke
