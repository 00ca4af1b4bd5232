/** \file
 * Defines published_configuration: routes, services, team keys and caller limits as published by
 * operators.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "fleet/engine_profile.h"

namespace chervildyke {

/** Which retries of a failed attempt are safe. */
enum class retry_rule {
    never,      // The call may run once at most.
    idempotent, // The call may run again in whole.
    resumable,  // The stream may resume at another replica after its last event.
};

/** A service and its share of a route's calls. */
struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

/** Maps the calls of a host and path prefix to services. */
struct call_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::vector<weighted_service> services;
    retry_rule retry = retry_rule::never;
    bool streaming = false;
    bool is_public = false; // Callable without a key.
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 0; // Zero is the highest priority.
    duration timeout{};
    duration latency_target{};   // For the answer, or for the first event of a stream.
    duration event_gap_target{}; // Between two events of a stream.

    bool operator==(const call_route&) const = default;
};

/** How a service's backend servers start slowly. */
struct cold_start_rule {
    double calls_per_s = 0;   // To one cold server, from all nodes; zero if there is no limit.
    duration start_time = 3s; // For which a server is cold after its start.

    bool operator==(const cold_start_rule&) const = default;
};

/** A service that backend servers provide. */
struct backend_service {
    std::string name;
    std::uint32_t max_connections = 0;    // To one backend server, over all callers.
    std::optional<engine_profile> engine; // Set if model engines provide the service.
    cold_start_rule cold;

    bool operator==(const backend_service&) const = default;
};

/** The API keys and the priority of a team. */
struct team_keys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // Overrides the route's priority.

    bool operator==(const team_keys&) const = default;
};

/** Limits on the requests and connections of callers. */
struct caller_limits {
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 4U << 20U;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;

    bool operator==(const caller_limits&) const = default;
};

/** An immutable configuration, made by its builder. */
class published_configuration {
  public:
    class builder;

    std::uint64_t version() const { return version_; }

    /** \return the route of the host whose prefix of the path is longest, or null. */
    const call_route* find_route(std::string_view host, std::string_view path) const;

    /** \return the service, or null. */
    const backend_service* find_service(const std::string& name) const;

    /** \return the team to which the key belongs, or null. */
    const team_keys* find_team(const std::string& key) const;

    /** \return true if the streaming routes of the service have different priorities, so that
     * calls of some of them are more urgent than others.
     */
    bool has_mixed_priorities(const std::string& service) const;

    /** True if teams are configured, so that routes which are not public require a key. */
    bool has_teams() const { return !teams_.empty(); }

    const std::vector<call_route>& routes() const { return routes_; }
    const std::map<std::string, backend_service>& services() const { return services_; }
    const caller_limits& limits() const { return limits_; }

  private:
    published_configuration() = default;

    std::uint64_t version_ = 0;
    std::vector<call_route> routes_;
    // By host: indexes of its routes, the longest prefix first.
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_of_host_;
    std::map<std::string, backend_service> services_;
    std::vector<team_keys> teams_;
    std::map<std::string, std::size_t> team_of_key_;
    caller_limits limits_;
};

using published_configuration_ptr = std::shared_ptr<const published_configuration>;

/** Builds a published_configuration; build() is called once. */
class published_configuration::builder {
  public:
    builder& version(std::uint64_t number);
    builder& route(call_route added);
    builder& service(backend_service added);
    builder& team(team_keys added);
    builder& limits(caller_limits given);
    published_configuration_ptr build();

  private:
    published_configuration built_;
};

} // namespace chervildyke
