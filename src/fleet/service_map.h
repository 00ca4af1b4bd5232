/** \file
 * Defines service_map, one published configuration: who may call what, and where it runs.
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

/** What may be done with a call whose first attempt failed. */
enum class repeat_rule {
    never,     // May run once at most.
    freely,    // Runs again without harm.
    resumable, // A stream that goes on elsewhere behind its last event.
};

struct weighted_service {
    std::string service;
    std::uint32_t weight = 1;

    bool operator==(const weighted_service&) const = default;
};

struct call_route {
    std::string name;
    std::string host;
    std::string path_prefix;
    std::vector<weighted_service> services;
    repeat_rule repeat = repeat_rule::never;
    bool streaming = false;
    bool without_key = false;
    std::uint32_t max_attempts = 1;
    std::uint32_t priority = 0; // Zero goes first.
    duration timeout{};
    duration first_answer_target{}; // An answer, or the first event, by then earns its full worth.
    duration event_gap_target{};

    bool operator==(const call_route&) const = default;
};

struct backend_service {
    std::string name;
    std::uint32_t max_connections = 0; // To one backend server, from all callers.
    std::optional<engine_profile> engine;

    bool operator==(const backend_service&) const = default;
};

struct team_keys {
    std::string name;
    std::vector<std::string> keys;
    std::optional<std::uint32_t> priority; // Goes before the route's.

    bool operator==(const team_keys&) const = default;
};

struct caller_limits {
    std::size_t max_header_bytes = 16U << 10U;
    std::size_t max_body_bytes = 4U << 20U;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;

    bool operator==(const caller_limits&) const = default;
};

/** An immutable configuration; make one with its builder. */
class service_map {
  public:
    class builder;

    std::uint64_t version() const { return version_; }

    /** \return the route of the host with the longest prefix of the path, or null. */
    const call_route* find_route(std::string_view host, std::string_view path) const;

    const backend_service* find_service(const std::string& name) const;

    /** \return the team that holds the key, or null. */
    const team_keys* team_of(const std::string& key) const;

    /** True when callers must show a key on routes that ask for one. */
    bool has_teams() const { return !teams_.empty(); }

    const std::vector<call_route>& routes() const { return routes_; }
    const std::map<std::string, backend_service>& services() const { return services_; }
    const caller_limits& limits() const { return limits_; }

  private:
    service_map() = default;

    std::uint64_t version_ = 0;
    std::vector<call_route> routes_;
    std::map<std::string, std::vector<std::size_t>, std::less<>> routes_of_host_; // Longest first.
    std::map<std::string, backend_service> services_;
    std::vector<team_keys> teams_;
    std::map<std::string, std::size_t> team_of_key_;
    caller_limits limits_;
};

using service_map_ptr = std::shared_ptr<const service_map>;

/** Collects the parts of a service_map. */
class service_map::builder {
  public:
    builder& version(std::uint64_t number);
    builder& route(call_route added);
    builder& service(backend_service added);
    builder& team(team_keys added);
    builder& limits(caller_limits given);
    service_map_ptr build();

  private:
    service_map made_;
};

} // namespace chervildyke
