/** \file
 * Defines promise_book, which compares what callers got with what backend servers ran.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::soak {

enum class call_kind {
    once,    // May run at most once.
    freely,  // May be repeated.
    resumed, // A stream that may go on elsewhere behind its last event.
};

/** A call as its caller sends it. Repeats by the caller are calls of their own. */
struct sent_call {
    std::string id;
    call_kind kind = call_kind::freely;
    std::string target;
    std::string team;
    std::string key;
    std::string body;
    std::uint64_t last_event = 0; // For streams: how many events the answer has.
    time_point sent_at{};
};

/** A call as it arrives at a backend server. */
struct seen_run {
    std::string id;
    std::string target;
    std::string team;
    std::string body;
    bool has_key = false; // The caller's key was passed on.
    bool began = false;   // False: the server refused it.
    std::uint64_t after_event = 0;
};

/** An answer as a backend server made it. */
struct made_answer {
    unsigned status = 0;
    std::string seal;
    std::string body;
};

/** An answer as a caller got it. */
struct got_answer {
    unsigned status = 0;
    std::string seal;
    std::string body;
    bool whole = false;
};

/** How a replica stood when a run began in it. */
struct replica_use {
    std::string replica;
    std::uint64_t epoch = 0;
    std::vector<std::string> members;
    std::size_t size = 0; // How many VMs the model needs.
};

/** Keeps what each side saw and lists the promises that do not hold. */
class promise_book {
  public:
    explicit promise_book(std::uint32_t max_attempts) : max_attempts_(max_attempts) {}

    void sent(const sent_call& call);
    void arrived(const seen_run& run, time_point now);
    void answered(const std::string& id, const made_answer& answer);
    void got(const std::string& id, const got_answer& answer);

    /** A caller's connection ended without an answer while nothing but planned work went on. */
    void cut_off_in_calm(const std::string& id, const std::string& reason);

    /** A caller closed its connection before the answer ended. */
    void left(const std::string& id, time_point at, bool in_calm);

    /** The key must not be honoured for calls sent from then on. */
    void key_void_from(const std::string& key, time_point from);

    /** True when the key has been revoked. */
    bool is_revoked(const std::string& key) const { return void_keys_.contains(key); }

    void member_ready(const std::string& replica, std::uint64_t epoch, const std::string& member);
    void run_began_in(const replica_use& use);

    /** A member of the replica was taken for another one while its head was open. */
    void member_taken(const std::string& member, const std::string& replica);

    /** A load from the weight store began. */
    void load_began(time_point now, double loads_per_s);

    void broken(const std::string& promise, const std::string& detail);

    /** Checks what can only be said once nothing runs any more. */
    void close();

    const std::vector<std::string>& findings() const { return findings_; }
    std::uint64_t calls() const { return calls_.size(); }

  private:
    struct known_call {
        sent_call sent;
        std::uint32_t arrivals = 0;
        std::uint32_t runs = 0;
        std::vector<made_answer> answers;
        std::optional<got_answer> got;
        std::optional<time_point> left_in_calm;
    };

    void check_success(const known_call& call, const got_answer& answer);
    void check_stream(const known_call& call, const got_answer& answer);
    void check_answer(const known_call& call, const got_answer& answer);

    std::uint32_t max_attempts_;
    std::map<std::string, known_call> calls_;
    std::map<std::string, time_point> void_keys_;
    std::set<std::pair<std::pair<std::string, std::uint64_t>, std::string>> ready_members_;
    std::deque<time_point> loads_;
    std::uint32_t denied_ = 0;
    std::uint32_t arrivals_after_leaving_ = 0;
    std::vector<std::string> findings_;
};

/** \return the bytes of one event of a call's stream. */
std::string event_bytes(const std::string& call_id, std::uint64_t event);

} // namespace chervildyke::soak
