/** \file
 * Defines byte_budget, a limit on the memory that a group of tasks reserves in total.
 */
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace chervildyke {

/** Tracks the bytes that are available to a group of tasks. Each task holds bytes on behalf of a
 * sender, whose data it buffers. When the bytes run out, the sender that holds most of them loses
 * its largest reservation, so that one that sends without end takes nothing from the others. Not
 * thread-safe.
 */
class byte_budget {
  public:
    /** \param max_bytes the limit on all reservations together. */
    explicit byte_budget(std::size_t max_bytes) : held_(std::make_shared<state>())
    {
        held_->max_bytes = max_bytes;
    }
    byte_budget(const byte_budget&) = delete;
    byte_budget& operator=(const byte_budget&) = delete;

    class reservation;

  private:
    /** What the reservations of one sender hold together. */
    struct sender_total {
        std::size_t bytes = 0;
        std::size_t reservations = 0;
    };
    using sender_totals = std::map<std::string, sender_total>;

    /** Shared, since the tasks of a process that ends may be destroyed after the budget. */
    struct state {
        std::size_t available() const
        {
            return max_bytes > reserved_bytes ? max_bytes - reserved_bytes : 0;
        }
        sender_totals::iterator join(const std::string& sender);
        void leave(sender_totals::iterator sender);
        reservation* find_largest(const reservation& asking, std::size_t bytes) const;

        std::size_t max_bytes = 0;
        std::size_t reserved_bytes = 0;
        std::set<reservation*> reservations;
        sender_totals senders; // With a reservation at least.
    };

  public:
    /** The bytes reserved by one task. They are released when the reservation is destroyed. */
    class reservation {
      public:
        /** \param sender whose data the bytes hold.
         * \param give_up ends the task that buffers the data. It is called at most once, when the
         * bytes are taken away; they count as available from then on. Without it, they are never
         * taken away.
         */
        explicit reservation(byte_budget& budget, std::string sender = {},
                             std::function<void()> give_up = {});
        ~reservation();
        reservation(const reservation&) = delete;
        reservation& operator=(const reservation&) = delete;

        /** Reserves further bytes.
         * \return false, with nothing further reserved, if this sender holds most of the bytes and
         * this is its largest reservation, or if the reservation was taken away.
         */
        bool try_reserve(std::size_t bytes);

        /** Reserves or releases bytes up to the given total.
         * \return as try_reserve().
         */
        bool try_resize(std::size_t total);

        /** Replaces the sender and the function given at construction. */
        void transfer(std::string sender, std::function<void()> give_up);

        std::size_t reserved_bytes() const { return reserved_bytes_; }
        bool taken_away() const { return taken_away_; }

      private:
        friend struct state;
        void release(std::size_t bytes);

        std::shared_ptr<state> budget_;
        sender_totals::iterator sender_;
        std::function<void()> give_up_;
        std::size_t reserved_bytes_ = 0;
        bool taken_away_ = false;
    };

    /** Changes the limit. With a lower one, less or nothing is available until bytes are released.
     */
    void set_max_bytes(std::size_t max_bytes) { held_->max_bytes = max_bytes; }

    std::size_t available_bytes() const { return held_->available(); }

  private:
    std::shared_ptr<state> held_;
};

} // namespace chervildyke
