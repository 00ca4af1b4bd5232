/** \file
 * Defines backend_book, which chooses the backend server of a plain service for a call.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/random.h"

namespace chervildyke {

struct breaker_settings {
    std::uint32_t failures = 3;       // In a row, after which a backend server is left out.
    duration shortest_exclusion = 1s; // Doubles with each further failure.
    duration longest_exclusion = 30s;
    std::uint32_t domain_advantage =
        4; // Calls in flight more that the own failure domain may have.
};

/** A backend server that may be called. */
struct backend_candidate {
    std::string address;
    std::string failure_domain;

    bool operator==(const backend_candidate&) const = default;
};

/** How a call on a backend server ended, as far as its health is concerned. */
enum class backend_result { answered, failed };

/** Knows the calls in flight and the recent failures of each backend server. */
class backend_book {
  public:
    /** \param failure_domain of this entry; its backend servers are preferred. */
    backend_book(std::string failure_domain, random_source random, breaker_settings settings = {});

    /** Chooses by two random choices over calls in flight, in the own failure domain unless its
     * choice is much busier. A backend server that is excluded gets one trial call when its time
     * is over.
     * \param candidates the backend servers that may be called.
     * \param tried addresses not to choose again.
     * \return an address, or nothing when none may be called.
     */
    std::optional<std::string> choose(const std::vector<backend_candidate>& candidates,
                                      const std::set<std::string>& tried, time_point now);

    void note_start(const std::string& address);
    void note_end(const std::string& address, backend_result result, time_point now);

    std::uint32_t in_flight(const std::string& address) const;

  private:
    struct backend_state {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; // In a row.
        time_point excluded_until{};
    };

    bool may_call(const std::string& address, time_point now) const;
    std::optional<std::string> less_busy(const std::vector<std::string>& candidates);

    std::string failure_domain_;
    random_source random_;
    breaker_settings settings_;
    std::map<std::string, backend_state> backends_;
};

} // namespace chervildyke
