/** \file
 * Defines crash_blame, which judges prompts by the crashes and the answers of their parts.
 */
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <boost/dynamic_bitset.hpp>

#include "base/clock.h"
#include "fleet/backend_incarnation.h"

namespace chervildyke {

/** What is known of one part of prompts. */
struct part_history {
    std::map<backend_incarnation, time_point> crashes; // Since the part was last answered.
    bool answered = false;                             // Some server has answered it.
    std::optional<time_point> complete_from; // Earlier crashes may be missing; nothing if all are
                                             // known.

    bool operator==(const part_history&) const = default;
};

/** What may be done with a prompt, from the best to the worst. */
enum class prompt_standing {
    sound,     // It is sent.
    untested,  // A part has never been answered, and has not been in a crash.
    suspected, // A part that has never been answered was in a crash.
    doubtful,  // A part was in several crashes, which another part may have caused.
    blocked,   // It is not sent.
};

struct prompt_verdict {
    prompt_standing standing = prompt_standing::sound;
    std::vector<std::string> unproven; // The parts because of which it isn't sound.
    std::size_t crashes = 0;           // Of the part with most of them.
    time_point until{};                // Of a blocked prompt: when it may be tried.
    bool may_retry = true;             // One more crash would not block the prompt.

    bool operator==(const prompt_verdict&) const = default;
};

struct crash_blame_rules {
    /** Crashes that a prompt must explain to be blocked, and that make an unanswered part doubtful.
     */
    std::size_t crashes_to_block = 3;

    /** Crashes that only one part can explain, of those, to block the part in every prompt. */
    std::size_t sole_crashes_to_block = 2;

    /** Crashes without an answer that make a part doubtful that was answered before. */
    std::size_t crashes_to_doubt_answered = 6;

    /** Such a part is tried after a pause of this length, or of this multiple of the time from its
     * first crash to its last one, but not longer than block_time.
     */
    duration min_trial_pause = 2s;
    int trial_pause_factor = 10;

    /** A blocked prompt is doubtful so long after the last crash. */
    duration block_time = 10min;
};

/** Finds the parts that explain the crashes. A crash has as candidates the parts of all calls that
 * the server was starting to answer. Parts that were answered are sound as long as an unanswered
 * candidate explains the crash, and parts of single crashes as long as another part explains these
 * and further ones. What is left are the suspects of the crash. A prompt that has all suspects of
 * enough crashes is blocked. A prompt that has some of them is doubtful: its answer clears them,
 * and its crash tells them from the others.
 */
class crash_blame {
  public:
    crash_blame() = default;
    crash_blame(const std::map<std::string, part_history>& parts, crash_blame_rules rules);

    /** Parts without crashes count as sound. */
    prompt_verdict judge(const std::vector<std::string>& prompt, time_point now) const;

    /** \return true if a prompt with the part is doubtful or blocked because of it. */
    bool is_blamed(const std::string& id) const;

    /** \return the number of such parts. */
    std::size_t blamed_parts() const;

  private:
    using crash_set = boost::dynamic_bitset<>; // Of indexes in crashes_.

    struct crash {
        time_point at{};
        std::size_t suspects = 0; // Of the candidates, the parts that may have caused it.
        bool explained = false;   // A suspect has enough crashes to be blocked.
    };
    struct part {
        crash_set candidate_of;
        crash_set suspect_of;
        std::size_t crashes = 0;
        std::size_t sole_crashes = 0;        // Of which it is the only suspect.
        std::size_t unexplained_crashes = 0; // Of an answered part: no suspect explains them.
        time_point first{};
        time_point last{};
        bool answered = false;
    };

    void add_parts(const std::map<std::string, part_history>& histories);
    void add_possible_suspects(const std::map<std::string, part_history>& histories);
    void remove_weak_suspects();
    void count_suspects();
    static bool explains_more(const part& subject, const part& other);
    bool is_repeated(const part& subject) const;
    bool is_proven(const part& subject) const;
    bool is_doubtful(const part& subject) const;
    time_point next_trial_of(const part& subject) const;

    crash_blame_rules rules_;
    std::vector<crash> crashes_;
    std::unordered_map<std::string, part> parts_;
};

} // namespace chervildyke
