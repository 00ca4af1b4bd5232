/** \file
 * Defines replica_board, which knows the calls that all nodes have at each replica and chooses one
 * for the next call.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"
#include "fleet/engine_profile.h"
#include "routing/backend_notices.h"
#include "routing/prediction_error.h"

namespace chervildyke {

/** A replica that takes calls. */
struct serving_replica {
    std::uint64_t epoch = 0; // Unique; names the replica between nodes.
    std::string name;
    std::string service;
    std::string model;
    std::string head_id;
    std::uint64_t head_started_ms = 0;
    std::string head_address;
    std::string failure_domain;

    bool operator==(const serving_replica&) const = default;
};

inline backend_life head_life(const serving_replica& replica)
{
    return {replica.head_id, replica.head_started_ms};
}

/** The calls that one node has at a replica. */
struct replica_use {
    std::uint32_t running = 0;       // Calls without an end.
    std::uint32_t prompt_tokens = 0; // Of calls without a first event.
    duration silent{};               // Since the last event or start; zero without calls.
    bool refuses = false;            // Its head turns calls away although it has room.

    bool operator==(const replica_use&) const = default;
};

struct replica_request {
    std::string service;
    std::string model;
    std::uint32_t prompt_tokens = 0;
    std::set<std::uint64_t> tried; // Epochs not to choose again.
};

struct replica_offer {
    serving_replica replica;
    duration first_event{}; // Predicted.
    duration event_gap{};   // Predicted.
    std::uint32_t running = 0;
};

/** What the board can say to a call now. */
struct board_answer {
    std::optional<replica_offer> offer;     // None: no replica has room.
    std::optional<time_point> paused_until; // Of the replicas that want no calls now, the soonest.
    std::uint32_t serving = 0;              // Replicas of the model,
    std::uint32_t full = 0;                 // of which these have no room,
    std::uint32_t stalled = 0;              // these stand still,
    std::uint32_t left_out = 0;             // and these failed calls lately, or this call before.
};

struct board_settings {
    duration peer_word_lifetime = 2s; // A silent peer's counts are forgotten; ten words of a node
                                      // of the same failure domain.
    duration refusal_pause = 250ms;   // A full batch frees a place sooner than that.
    duration longest_refusal_pause = 4s;
    duration told_refusal_pause = 500ms; // Where another node was turned away; its next words
                                         // renew it.
    double explained_fill = 0.5;     // Of the places taken, above which a refusal says no more than
                                     // that the counts are old.
    duration far_word_lifetime = 6s; // The same for other nodes in a large fleet: two words.
    duration stall_limit = 400ms; // Without an event from any call, a replica is taken as stalled;
                                  // four times the longest gap of a full batch.
    double far_fill_limit = 0.75; // Of the places at a replica of another failure domain, of whose
                                  // calls this node hears late.
    double far_penalty = 1.2;     // On the predicted first event there.
    std::uint32_t choices = 3;    // Replicas compared for a call; more would let nodes with
                                  // the same old counts pick the same one.
};

class replica_board {
  public:
    replica_board(random_source random, board_settings settings = {});

    void set_profile(const std::string& service, const engine_profile& profile);

    /** The replicas that take calls now, of all services. */
    void set_serving(std::vector<serving_replica> replicas);
    const std::map<std::uint64_t, serving_replica>& serving() const { return serving_; }

    /** What a replica's head has said of itself; empty: nothing. Replicas whose head leaves or
     * pauses take no calls.
     */
    std::function<backend_standing(const serving_replica&, time_point)> head_standing;

    /** Prefers replicas of a failure domain, whose calls this node knows best; empty: none. */
    void prefer_domain(std::string failure_domain) { home_ = std::move(failure_domain); }

    /** Forgets what nodes said that are not among those named. */
    void retain_peers(const std::set<std::string>& live);

    /** Replaces what a peer said before.
     * \param speaks_seldom for a node of another failure domain in a large fleet.
     */
    void note_peer(const std::string& peer, std::map<std::uint64_t, replica_use> uses,
                   time_point now, bool speaks_seldom = false);

    /** Chooses a replica with room, with the soonest first event of a few random ones.
     * \param fill_limit the part of a replica's places that may be taken before this call.
     */
    board_answer choose(const replica_request& request, double fill_limit, time_point now);

    /** Learns from the time between sending a call and its first event. */
    void note_first_event(const replica_offer& offer, duration observed);

    /** \return the prediction for a replica that has one place left. */
    duration first_event_of_full_batch(const replica_request& request) const;

    /** The head turned a call away: the replica is left out for a while, which doubles each time
     * while other calls can't be the reason, until an event comes from it.
     */
    void note_refusal(const replica_offer& offer, time_point now);

    /** Leaves a replica out until the time given: it broke off, stalled or refused. */
    void suspect(std::uint64_t epoch, time_point until);

    /** A call of this node at a replica; ends when it is destroyed. */
    class call {
      public:
        call(replica_board& board, std::uint64_t epoch, std::uint32_t prompt_tokens,
             time_point now);
        ~call();
        call(const call&) = delete;
        call& operator=(const call&) = delete;

        void note_event(time_point now);

      private:
        replica_board& board_;
        std::uint64_t epoch_;
        std::uint32_t unread_tokens_;
    };

    /** The uses of this node, for its peers. */
    std::map<std::uint64_t, replica_use> own_uses(time_point now) const;

    /** The uses of all nodes. A replica is silent for as long as the node that heard last. */
    std::map<std::uint64_t, replica_use> all_uses(time_point now) const;

    /** \return how long no node has heard from the replica while it had calls. */
    duration silence_of(std::uint64_t epoch, time_point now) const;

    std::uint32_t running_of_model(const std::string& service, const std::string& model,
                                   time_point now) const;
    std::uint32_t places_of_model(const std::string& service, const std::string& model) const;

  private:
    struct own_state {
        std::uint32_t running = 0;
        std::uint32_t prompt_tokens = 0;
        time_point last_event{};
    };
    struct refusal_state {
        std::uint32_t in_a_row = 0; // Those that other calls don't explain.
        time_point out_until{};
    };
    struct peer_state {
        std::map<std::uint64_t, replica_use> uses;
        time_point forget_at{};
    };
    /** What all peers said of a replica, kept up to date with each word: choices are made far more
     * often than words come.
     */
    struct peer_total {
        std::uint32_t running = 0;
        std::uint32_t prompt_tokens = 0;
        time_point last_event{}; // Heard by the peer that heard last.
    };

    replica_use use_of(std::uint64_t epoch, time_point now) const;
    void subtract(const peer_state& peer);
    void forget_silent_peers(time_point now);
    struct candidate {
        const serving_replica* replica = nullptr;
        duration first_event{};
        std::uint32_t running = 0;
    };
    std::optional<candidate> best_of_few(std::vector<candidate> open) const;

    random_source random_;
    board_settings settings_;
    std::string home_; // Preferred failure domain.
    std::map<std::string, engine_profile> profiles_;
    std::map<std::string, prediction_error> first_event_errors_; // By service and model.
    std::map<std::uint64_t, serving_replica> serving_;
    std::map<std::uint64_t, own_state> own_;
    std::map<std::uint64_t, refusal_state> refusals_;
    std::map<std::string, peer_state> peers_;
    std::map<std::uint64_t, peer_total> peer_totals_;
    time_point peers_checked_at_{};
    std::map<std::uint64_t, time_point> suspects_;
};

} // namespace chervildyke
