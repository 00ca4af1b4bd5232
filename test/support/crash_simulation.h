/** \file
 * Defines crash_simulation, in which the nodes of a fleet send sound prompts and prompts that crash
 * servers, and exchange their evidence. It has no sockets and no clock: time advances in steps.
 */
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "routing/crash_evidence.h"
#include "routing/prompt_turns.h"

namespace chervildyke::test {

struct crash_scenario {
    std::size_t nodes = 3;
    std::size_t burst = 6;          // Crashing prompts that come within 100 ms.
    std::size_t bad_parts = 1;      // They come in turn, each behind the sound parts.
    std::size_t sound_parts = 1;    // Shared by all prompts.
    double crash_probability = 1;   // Of a server that answers a prompt with a bad part.
    bool answered_before = true;    // Sound prompts were answered before the burst.
    bool varied_first_part = false; // Each crashing prompt has a first part of its own.
    bool bounded = true;            // Calls with unproven parts wait for their turn.
    std::uint64_t seed = 1;
};

struct crash_outcome {
    std::size_t crashes = 0;
    std::size_t late_arrivals = 0; // Crashing prompts sent later than 3 s after the fifth crash.
    std::size_t sound_calls = 0;   // From the burst on.
    std::size_t sound_refused = 0;
    std::size_t sound_waited = 0;        // Sent after more than one step.
    std::optional<duration> known_after; // From the first crash until each node blocks the prompts.
};

class crash_simulation {
  public:
    explicit crash_simulation(const crash_scenario& scenario);

    /** Plays sound prompts, the burst, and crashing prompts twice a second for a minute. */
    crash_outcome run();

  private:
    struct call {
        std::size_t node = 0;
        std::vector<std::string> parts;
        bool bad = false;
        int sends = 0;
        time_point arrived_at{};
        std::optional<time_point> sent_at; // Of the attempt in progress.
        std::optional<time_point> crashed_at;
        std::uint32_t server = 0;
        std::unique_ptr<prompt_turns::turn> turn;
    };
    struct node {
        crash_evidence evidence;
        std::unique_ptr<prompt_turns> turns;
    };
    struct datagram {
        std::size_t to = 0;
        std::shared_ptr<const std::vector<part_report>> reports;
    };

    void arrive(std::size_t at, bool bad);
    bool advance(call& subject);
    bool advance_attempt(call& subject);
    bool try_to_send(call& subject);
    void deliver();
    void exchange();
    bool all_know() const;
    std::vector<std::string> sound_prompt() const;
    std::vector<std::string> bad_prompt(std::size_t number) const;

    crash_scenario scenario_;
    random_source random_;
    std::deque<node> nodes_;
    std::deque<call> calls_;
    std::vector<datagram> datagrams_;
    time_point now_;
    time_point burst_at_;
    std::optional<time_point> first_crash_;
    std::optional<time_point> fifth_crash_;
    std::uint32_t servers_ = 0;
    std::size_t bad_calls_ = 0;
    crash_outcome outcome_;
};

} // namespace chervildyke::test
