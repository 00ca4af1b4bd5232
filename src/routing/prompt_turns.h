/** \file
 * Defines prompt_turns, which bounds how many calls with a part that may crash servers are starting
 * at servers at the same time.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "routing/crash_blame.h"

namespace chervildyke {

struct prompt_turn_settings {
    /** Calls that may be starting with a part that was never answered. */
    std::size_t max_untested = 4;

    /** A call counts as starting for so long, unless it ends or its part is answered before. A
     * server that crashes on a prompt mostly does so within this time.
     */
    duration untested_time = 250ms;

    /** The same for a part that was in a crash; one call at a time. */
    duration trial_time = 1s;

    /** Nodes of the fleet that try doubtful parts within trial_time, on average. */
    double max_trial_nodes = 1;
};

/** Counts the calls of one node that are starting, by part. */
class prompt_turns {
  public:
    /** The permission to send a call once; ends with this object. */
    class turn {
      public:
        ~turn();
        turn(const turn&) = delete;
        turn& operator=(const turn&) = delete;

      private:
        friend class prompt_turns;
        struct counts;
        turn(std::shared_ptr<counts> owner, std::uint64_t id, std::vector<std::string> parts);

        std::shared_ptr<counts> counts_;
        std::uint64_t id_;
        std::vector<std::string> parts_;
    };

    explicit prompt_turns(random_source random, prompt_turn_settings settings = {});

    /** Sets the number of live nodes, with this one. */
    void set_nodes(std::size_t nodes) { nodes_ = nodes; }

    /** \return the permission to send a call with this verdict, or null if it has to wait. Sound
     * calls never wait, and blocked ones get no turn.
     */
    std::unique_ptr<turn> take(const prompt_verdict& verdict, time_point now);

  private:
    struct trial_draw {
        time_point drawn_at{};
        bool allowed = false;
    };

    bool may_try(const std::vector<std::string>& parts, time_point now);

    random_source random_;
    prompt_turn_settings settings_;
    std::size_t nodes_ = 1;
    std::uint64_t next_id_ = 0;
    std::shared_ptr<turn::counts> counts_;
    std::map<std::vector<std::string>, trial_draw> draws_; // By doubtful parts.
};

} // namespace chervildyke
