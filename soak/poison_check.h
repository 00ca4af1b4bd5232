/** \file
 * Defines poison_check, which checks how nodes handle calls that crash the servers which run them.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/clock.h"
#include "soak/fault_tracker.h"
#include "soak/invariant_checker.h"

namespace chervildyke::soak {

/** Part of the prompts that crash servers. It is never a prompt's last part. */
constexpr const char* poison_part = "dead4bad";

/** First part of the prompts that crash servers, which sound calls have as well. */
constexpr const char* poisoned_first_part = "5c1e07a2";

/** \return true if one of the parts of a prompt, ID:TOKENS separated by commas, has the id. */
bool has_part(const std::string& prompt, const std::string& id);

/** Checks that nodes stop sending calls with the poison part to servers once several servers have
 * crashed, and that they still serve sound calls with the same key or first part. Only nodes that
 * faults have not disturbed lately are held to this.
 */
class poison_check {
  public:
    explicit poison_check(const fault_tracker& tracker) : tracker_(tracker) {}

    /** Begins to record sound calls; to be called once replicas serve. */
    void start_baseline() { baseline_started_ = true; }

    /** Begins and ends the time in which callers send calls with the poison part. */
    void begin() { active_ = true; }
    void end() { active_ = false; }

    /** Records that a caller sends a call with the poison part to a node. */
    void record_sent(const std::string& id, std::size_t node) { node_by_call_[id] = node; }

    /** Records that a call has reached a server; ignores calls without the poison part. */
    void record_arrival(const std::string& id, time_point now);

    /** Records that a server crashed because of a call with the poison part. */
    void record_crash(time_point now) { crashes_.push_back(now); }

    /** Records the end of the first attempt of a sound call with the key or the first part of the
     * calls with the poison part.
     * \param began whether the call got an answer that is a success, also one that broke off.
     */
    void record_sound_call(std::size_t node, time_point sent_at, bool began);

    /** Adds a finding for each violation. */
    void check_final_state(invariant_checker& checker) const;

    /** \return the number of servers that crashed. */
    std::size_t crash_count() const { return crashes_.size(); }

  private:
    /** Sound calls, and those of them that began. */
    struct sound_counts {
        std::uint64_t sent = 0;
        std::uint64_t began = 0;

        void add(bool call_began)
        {
            ++sent;
            began += call_began ? 1 : 0;
        }
        double share() const { return static_cast<double>(began) / static_cast<double>(sent); }
    };

    struct sound_call {
        time_point sent_at;
        bool began = false;
    };

    const fault_tracker& tracker_;
    bool baseline_started_ = false;
    bool active_ = false;
    std::map<std::string, std::size_t> node_by_call_;
    std::vector<time_point> crashes_;
    std::uint64_t late_arrivals_ = 0;
    sound_counts baseline_;
    std::vector<sound_call> calls_while_active_;
};

} // namespace chervildyke::soak
