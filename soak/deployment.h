/** \file
 * Defines what the operator of the soak deploys: routes, models, teams and servers.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::soak {

/** How a VM stands in its replica. */
enum class member_state { none, joining, ready, open, closing, broken };

/** A backend server as the store lists it. */
struct server_entry {
    std::string id;
    std::string service;
    std::string address;
    std::string domain;
    std::string fabric_domain;
    std::uint64_t started_ms = 0;
    std::uint32_t slots = 0;
    bool leaving = false;
    std::vector<std::string> staged;
    std::string replica; // Empty: in none.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    member_state state = member_state::none;
};

struct deployed_model {
    std::string name;
    std::uint32_t size = 1;
    double share = 1;
    duration load_time{};
    duration warm_time{};
};

struct deployed_route {
    std::string name;
    std::string path_prefix;
    std::string service;
    bool streaming = false;
    bool repeatable = false;
    duration timeout{};
    duration target{};
    std::uint32_t priority = 0;
};

struct deployed_team {
    std::string name;
    std::vector<std::string> keys;
};

/** The newest configuration. */
struct deployment {
    std::uint64_t version = 1;
    std::string host = "soak.example";
    std::vector<deployed_route> routes;
    std::vector<deployed_model> models;
    std::vector<deployed_team> teams;
};

constexpr const char* model_service = "models";
constexpr const char* order_service = "orders";
constexpr std::uint32_t batch_slots = 8;    // Calls at once in a replica.
constexpr std::uint32_t order_slots = 6;    // Calls at once on an order server.
constexpr std::uint32_t attempts_limit = 3; // Servers to which one call may go.
constexpr double loads_per_s = 2;           // Loads that may begin in a second.
constexpr duration event_time = 8ms;        // Between two events of a stream.
constexpr duration open_time = 50ms;        // From an order to open to serving.
constexpr duration warm_rejoin = 200ms;     // A join of the model that the VM held last.
constexpr duration stall_time = 2s;         // Until a replica with a lost member is broken.
constexpr duration key_staleness = 5s;      // How long a revoked key may live.
constexpr duration drain_time = 2s;         // How long a leaving server still takes calls.
constexpr duration stop_grace = 8s;         // Between a request to stop and a kill.
constexpr duration settle_time = 3s;        // Without faults for so long: calm.

} // namespace chervildyke::soak
