/** \file
 * Defines crash_evidence, which collects with which parts of prompts servers crash.
 */
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/backend_incarnation.h"
#include "routing/crash_blame.h"

namespace chervildyke {

/** An answer with a part, as nodes tell each other of it. */
struct part_answer {
    duration age{};
    std::uint64_t stamp = 0; // When it was received, by the clock of the node that received it, in
                             // ns since the Unix epoch; zero if an older node reports it.

    bool operator==(const part_answer&) const = default;
};

/** What a node knows of one part. Times are ages, so that nodes can exchange them. */
struct part_report {
    std::string part;
    std::map<backend_incarnation, duration> crashes; // Age of the crash of each server.
    std::optional<part_answer> answered;             // The newest answer with the part.
    std::optional<std::uint64_t> recorded_era; // The era in which the shared log had a record.

    bool operator==(const part_report&) const = default;
};

struct crash_evidence_settings {
    crash_blame_rules rules;

    /** Crashes and answers are forgotten after this time. */
    duration retention = 30min;

    /** Crashes kept for each part, the newest ones. */
    std::size_t max_crashes = 32;

    /** Parts with crashes that are kept. A head of 16 KB has up to about 1,400 parts, and all of
     * one prompt must fit in, since they are judged by the crashes that they share.
     */
    std::size_t max_parts = 2048;

    /** Parts whose last answer is known. */
    std::size_t max_answered_parts = 16'384;
};

/** Collects which parts the calls had that a server was starting to answer when it crashed, and
 * which parts were answered. Evidence belongs to the part, whatever model or service the call
 * names. The evidence of all nodes is merged: a crash counts once, whoever has seen it, and an
 * answer at any node counts at all nodes.
 */
class crash_evidence {
  public:
    explicit crash_evidence(crash_evidence_settings settings = {});

    const crash_evidence_settings& settings() const { return settings_; }

    /** Called when a part begins to be blamed at this node. May be empty. */
    std::function<void(const part_report&)> on_blamed;

    /** Called when a part is no longer blamed because it was answered. May be empty. */
    std::function<void(const std::string&)> on_cleared;

    /** Records that a server crashed while it started to answer a call with these parts. */
    void note_crash(const backend_incarnation& server, const std::vector<std::string>& parts,
                    time_point now);

    /** Records that a server has written an answer to a call with these parts. */
    void note_answer(const std::vector<std::string>& parts, time_point now);

    /** Merges what another node reports. */
    void merge(const std::vector<part_report>& reports, time_point now);

    /** Notes that the shared log has a record of the part in an era. */
    void mark_recorded(const std::string& part, std::uint64_t era);

    /** Notes that the record of the part was removed. */
    void forget_record(const std::string& part);

    /** Notes that the shared log was restored from an older copy: records of earlier eras may be
     * lost. Calls on_blamed for the parts without a record in the new era.
     */
    void begin_era(std::uint64_t era, time_point now);

    /** \return true if the shared log has the record that the report names. */
    bool is_recorded(const part_report& report) const { return report.recorded_era >= era_; }

    /** \return what may be done with a prompt that has these parts. */
    prompt_verdict judge(const std::vector<std::string>& parts, time_point now) const;

    /** \return true if prompts with the part are doubtful or blocked because of it. */
    bool is_blamed(const std::string& part) const { return blame_.is_blamed(part); }

    /** \return the number of such parts. */
    std::size_t blamed_parts() const { return blame_.blamed_parts(); }

    /** What peers should know: parts with crashes, and the newest answers with them. Three quarters
     * of the reports are kept for parts that were never answered, which may cause crashes.
     * \param max_reports the most parts to report; successive calls report different ones in turn.
     * \param max_crashes no further part is added from this number of crashes on.
     */
    std::vector<part_report> next_reports(std::size_t max_reports, std::size_t max_crashes,
                                          time_point now);

    /** \return what is known of the blamed parts of which the shared log has no record, all at the
     * same time.
     */
    std::vector<part_report> unrecorded_reports(time_point now) const;

    /** \return what is known of the part, or nothing. */
    std::optional<part_report> report_of(const std::string& part, time_point now) const;

  private:
    struct answer {
        time_point at{};
        std::uint64_t stamp = 0;
    };
    struct part_state {
        std::map<backend_incarnation, time_point> crashes;
        std::optional<answer> answered;
        std::optional<std::uint64_t> recorded_era;
        bool reported_blamed = false;
    };

    /** How much the evidence of a part matters: whether it is blamed, its crashes that no answer
     * has cleared, whether it was never answered, and the newest crash.
     */
    using part_weight = std::tuple<bool, std::size_t, bool, time_point>;

    bool add_crash(part_state& state, const backend_incarnation& server, time_point at);
    static bool add_answer(part_state& state, const answer& reported);
    static std::size_t crashes_since_answer(const part_state& state);
    part_state* find_or_add(const std::string& part, const part_weight& weight);
    bool make_room(const part_weight& added);
    part_weight weight_of(const std::string& part, const part_state& state) const;
    part_weight weight_of(const part_report& report, time_point now) const;
    void expire(time_point now);
    void refresh(time_point now);
    void report_blamed(time_point now);
    part_report to_report(const std::string& part, const part_state& state, time_point now) const;

    crash_evidence_settings settings_;
    std::uint64_t era_ = 0;     // Records of earlier eras of the shared log don't count.
    std::int64_t clock_offset_; // From time_point to the Unix epoch, in ns.
    std::map<std::string, part_state> parts_;                   // Parts that a server crashed with.
    std::unordered_map<std::string, answer> answered_;          // When parts were last answered.
    std::set<std::pair<time_point, std::string>> answer_order_; // The same, oldest first.
    crash_blame blame_;
    std::array<std::string, 2> last_reported_; // Of the parts that were never answered; of others.
    time_point expired_at_{};
};

} // namespace chervildyke
