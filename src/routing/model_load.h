/** \file
 * Defines model_load, what a node has observed of the calls for one model, and
 * peer_waiting_calls, what other nodes report of the calls that wait there.
 */
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/clock.h"
#include "routing/overload_policy.h"

namespace chervildyke {

/** Waiting calls by rank. */
using rank_counts = std::map<call_rank, std::uint32_t>;

/** Waiting calls by model, named "service/model". */
using waiting_counts = std::map<std::string, rank_counts>;

/** Averages over the last seconds of one node's calls for a model. */
class model_load {
  public:
    void note_arrival(const call_rank& rank, time_point now);
    void note_admission(const call_rank& rank, time_point now);

    /** Adds the time for which a call has occupied a slot. */
    void note_held(duration held);

    /** \return the mean time for which calls occupy a slot; 1 s before any call has ended. */
    duration mean_held() const { return mean_held_; }

    /** \return the share of the admissions that went to calls of the rank and later ranks; 1 if no
     * call was admitted.
     */
    double share_from(const call_rank& rank, time_point now) const;

    /** \return true if a call of an earlier rank has arrived within the last seconds. */
    bool earlier_arrived(const call_rank& rank, time_point now) const;

  private:
    struct rate {
        double weight = 0;
        time_point at{};
    };

    std::map<call_rank, rate> admissions_;
    std::map<call_rank, time_point> arrivals_; // The last one.
    duration mean_held_ = 1s;
    std::uint64_t ended_ = 0;
};

/** The calls that wait at the other nodes. Only recent reports count. The nodes without one, which
 * report rarely or are silent, are assumed to be like the others if they reported in the last
 * seconds.
 */
class peer_waiting_calls {
  public:
    /** Replaces what the peer reported before. */
    void note(const std::string& peer, waiting_counts waiting, time_point now);

    /** \return the calls of earlier ranks that wait at other nodes. */
    double before(const std::string& model, const call_rank& rank, time_point now) const;

    /** \return the calls of the same rank that wait at other nodes. */
    double at(const std::string& model, const call_rank& rank, time_point now) const;

  private:
    struct report {
        waiting_counts waiting;
        time_point at{};
    };

    template <typename Predicate>
    double sum(const std::string& model, time_point now, Predicate counts) const;

    std::map<std::string, report> reports_;
};

} // namespace chervildyke
