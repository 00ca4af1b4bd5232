/** \file
 * Defines backend_balancer, which balances the calls of a plain service over its backend servers.
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

/** When a backend server that fails is ejected, and for how long. */
struct backend_balancer_settings {
    std::uint32_t consecutive_failures = 3; // After which a backend server is ejected.
    duration base_ejection_time = 1s;       // Doubled with each further failure.
    duration max_ejection_time = 30s;
    // Additional calls in flight accepted to stay in the own failure domain.
    std::uint32_t domain_advantage = 4;
};

/** A backend server to choose from. */
struct backend_candidate {
    std::string address;
    std::string failure_domain;

    bool operator==(const backend_candidate&) const = default;
};

/** Result of a call as it affects the health of the backend server. */
enum class backend_result {
    answered,
    failed,
    cancelled, // Before the server could be expected to answer: its health is not affected.
};

/** Counts the calls in flight and the consecutive failures of each backend server. */
class backend_balancer {
  public:
    /** \param failure_domain the failure domain of this node; its backend servers are preferred. */
    backend_balancer(std::string failure_domain, random_source random,
                     backend_balancer_settings settings = {});

    /** Chooses the less loaded of two random servers, in the own failure domain unless those of
     * others have far fewer calls. After its ejection time a server gets one trial call.
     * \param candidates the backend servers that may be called.
     * \param tried addresses that the call has tried already.
     * \return an address, or nothing if no server may be called.
     */
    std::optional<std::string> choose(const std::vector<backend_candidate>& candidates,
                                      const std::set<std::string>& tried, time_point now);

    /** Records that a call on the server starts. */
    void note_start(const std::string& address);
    /** Records how a call on the server ended. */
    void note_end(const std::string& address, backend_result result, time_point now);

    /** Ends the ejection of a server and forgets its failures: the links of this node have failed,
     * not the server.
     */
    void forget_failures(const std::string& address);

    std::uint32_t in_flight(const std::string& address) const;

  private:
    struct backend_state {
        std::uint32_t in_flight = 0;
        std::uint32_t failures = 0; // Consecutive.
        time_point ejected_until{};
    };

    bool may_call(const std::string& address, time_point now) const;
    std::optional<std::string> less_loaded_of_two(const std::vector<std::string>& candidates);

    std::string failure_domain_;
    random_source random_;
    backend_balancer_settings settings_;
    std::map<std::string, backend_state> backends_;
};

} // namespace chervildyke
