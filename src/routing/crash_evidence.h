/** \file
 * Defines crash_evidence, which finds parts of prompts that crash the servers that answer them.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

#include "base/clock.h"
#include "fleet/backend_incarnation.h"

namespace chervildyke {

/** A part of a prompt that several calls share. Parts of different models are different, since what
 * crashes the engine of one may be harmless to another.
 */
struct prompt_part {
    std::string service;
    std::string model;
    std::string id;

    bool operator==(const prompt_part&) const = default;

    bool operator<(const prompt_part& other) const
    {
        return std::tie(service, model, id) < std::tie(other.service, other.model, other.id);
    }
};

/** What a node knows of one part. Times are ages, so that nodes can exchange them. */
struct part_report {
    prompt_part part;
    std::map<backend_incarnation, duration> crashes; // Age of the crash of each server.
    std::optional<duration> answered;                // Age of the newest answer with the part.
    std::optional<std::uint64_t> recorded_era; // The era in which the shared log had a record.

    bool operator==(const part_report&) const = default;
};

/** A part because of which a call is refused. */
struct blocked_part {
    prompt_part part;
    std::size_t crashes = 0;
    time_point until{}; // When the part may be tried again if no further server crashes.

    bool operator==(const blocked_part&) const = default;
};

struct crash_evidence_settings {
    /** Crashed servers, since the part was last answered, that block a part. */
    std::size_t crashes_to_block = 3;

    /** The same for a part that has been answered within retention: a sound part of many calls can
     * be in progress at several servers that crash for another reason.
     */
    std::size_t crashes_to_block_answered = 6;

    /** A blocked part may be tried again so long after the last crash. One more crash then blocks
     * it again, until the evidence expires.
     */
    duration block_time = 10min;

    /** Crashes and answers are forgotten after this time. */
    duration retention = 30min;

    /** Crashes kept for each part, the newest ones. */
    std::size_t max_crashes = 8;

    /** Parts with crashes that are kept, and parts whose last answer is known. */
    std::size_t max_parts = 64;
    std::size_t max_answered_parts = 4096;
};

/** Collects which parts the calls had that a server was starting to answer when it crashed. A part
 * that crashes servers is never answered, whereas a sound part that was there by chance is answered
 * elsewhere, which clears it. The evidence of all nodes is merged: a crash counts once, whoever has
 * seen it, and an answer at any node clears the part at all nodes.
 */
class crash_evidence {
  public:
    explicit crash_evidence(crash_evidence_settings settings = {});

    const crash_evidence_settings& settings() const { return settings_; }

    /** Called when a part becomes blocked at this node. May be empty. */
    std::function<void(const part_report&)> on_blocked;

    /** Records that a server crashed while it started to answer a call with these parts. */
    void note_crash(const backend_incarnation& server, const std::vector<prompt_part>& parts,
                    time_point now);

    /** Records that a server has written an answer to a call with these parts. */
    void note_answer(const std::vector<prompt_part>& parts, time_point now);

    /** Merges what another node reports. */
    void merge(const std::vector<part_report>& reports, time_point now);

    /** Notes that the shared log has a record of the part in an era. */
    void mark_recorded(const prompt_part& part, std::uint64_t era);

    /** Notes that the shared log was restored from an older copy: records of earlier eras may be
     * lost. Calls on_blocked for the parts without a record in the new era.
     */
    void begin_era(std::uint64_t era, time_point now);

    /** \return true if the shared log has the record that the report names. */
    bool is_recorded(const part_report& report) const { return report.recorded_era >= era_; }

    /** \return the first part that is blocked, or nothing if the call may be sent. */
    std::optional<blocked_part> find_blocked(const std::vector<prompt_part>& parts,
                                             time_point now) const;

    /** \return true if one more crash would block a part, so that a call with it is not retried. */
    bool is_suspect(const std::vector<prompt_part>& parts, time_point now) const;

    /** What peers should know: parts with crashes that no answer has cleared, and recent answers
     * that clear parts.
     * \param max_reports the most parts to report; successive calls report different ones in turn.
     */
    std::vector<part_report> next_reports(std::size_t max_reports, time_point now);

    /** \return what is known of the part, or nothing. */
    std::optional<part_report> report_of(const prompt_part& part, time_point now) const;

    /** \return the number of parts that are blocked. */
    std::size_t blocked_parts(time_point now) const;

  private:
    struct part_state {
        std::map<backend_incarnation, time_point> crashes;
        std::optional<time_point> answered_at;
        std::optional<std::uint64_t> recorded_era;
        bool reported_blocked = false;
    };
    using part_map = std::map<prompt_part, part_state>;

    std::size_t limit_of(const part_state& state, time_point now) const;
    std::size_t crashes_since_answer(const part_state& state, time_point now) const;
    std::optional<time_point> blocked_until(const part_state& state, time_point now) const;
    void add_crash(part_state& state, const backend_incarnation& server, time_point at);
    part_state* find_or_add(const prompt_part& part, time_point now);
    void expire(time_point now);
    bool make_room(time_point now);
    void apply_answer(part_state& state, const prompt_part& part) const;
    void check_blocked(const prompt_part& part, part_state& state, time_point now);
    part_report to_report(const prompt_part& part, const part_state& state, time_point now) const;

    crash_evidence_settings settings_;
    std::uint64_t era_ = 0; // Records of earlier eras of the shared log don't count.
    part_map parts_;        // Parts that a server crashed with.
    std::map<prompt_part, time_point> answered_;     // When calls with a part were last answered.
    std::map<time_point, prompt_part> answer_order_; // The same, oldest first.
    prompt_part last_reported_;
    time_point expired_at_{};
};

} // namespace chervildyke
