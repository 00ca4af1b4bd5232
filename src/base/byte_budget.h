/** \file
 * Defines byte_budget, a limit on the memory that a group of tasks reserves in total.
 */
#pragma once

#include <cstddef>

namespace chervildyke {

/** Tracks the bytes that are available to a group of tasks. Not thread-safe. */
class byte_budget {
  public:
    /** \param max_bytes the limit on all reservations together. */
    explicit byte_budget(std::size_t max_bytes) : available_bytes_(max_bytes) {}

    /** The bytes reserved by one task. They are released when the reservation is destroyed, which
     * must happen before the budget is destroyed.
     */
    class reservation {
      public:
        explicit reservation(byte_budget& budget) : budget_(budget) {}
        ~reservation() { budget_.available_bytes_ += reserved_bytes_; }
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /** Reserves further bytes.
         * \return false, with nothing reserved, if fewer bytes are available.
         */
        bool try_reserve(std::size_t bytes)
        {
            if (bytes > budget_.available_bytes_) {
                return false;
            }
            budget_.available_bytes_ -= bytes;
            reserved_bytes_ += bytes;
            return true;
        }

        std::size_t reserved_bytes() const { return reserved_bytes_; }

      private:
        byte_budget& budget_;
        std::size_t reserved_bytes_ = 0;
    };

    std::size_t available_bytes() const { return available_bytes_; }

  private:
    std::size_t available_bytes_;
};

} // namespace chervildyke
