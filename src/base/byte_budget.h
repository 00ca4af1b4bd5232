/** \file
 * Defines byte_budget, a bound on memory that many tasks share.
 */
#pragma once

#include <cstddef>

namespace chervildyke {

class byte_budget {
  public:
    explicit byte_budget(std::size_t most) : left_(most) {}

    /** Bytes of one task; given back when it is destroyed. */
    class share {
      public:
        explicit share(byte_budget& budget) : budget_(budget) {}
        ~share() { budget_.left_ += held_; }
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /** \return false, with nothing taken, when so much is not left. */
        bool take(std::size_t bytes)
        {
            if (bytes > budget_.left_) {
                return false;
            }
            budget_.left_ -= bytes;
            held_ += bytes;
            return true;
        }

        std::size_t held() const { return held_; }

      private:
        byte_budget& budget_;
        std::size_t held_ = 0;
    };

    std::size_t left() const { return left_; }

  private:
    std::size_t left_;
};

} // namespace chervildyke
