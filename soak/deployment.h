/** \file
 * Defines the configuration that the soak publishes and the entries of its backend servers.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke::soak {

/** Phase of a VM's membership in a replica. */
enum class membership_phase { none, joining, ready, open, closing, broken };

/** The entry that a backend server publishes in the store. */
struct server_entry {
    std::string id;
    std::string service;
    std::string address; // ip:port
    std::string failure_domain;
    std::string fabric_domain;    // Empty if the server runs no models.
    std::uint64_t started_ms = 0; // Unix time.
    std::uint32_t slots = 0;
    bool leaving = false;
    std::vector<std::string> staged_models; // Held in its host's memory.
    std::string replica;                    // Empty if it is in none.
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0; // Zero is the head.
    membership_phase phase = membership_phase::none;
};

struct deployed_model {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    double initial_share = 1;       // Share of the VMs before demand is known.
    duration load_time{};           // From the weight store.
    duration warm_load_time{};      // From the host's memory.
};

struct deployed_route {
    std::string name;
    std::string path_prefix;
    std::string service;
    bool streaming = false;
    bool idempotent = false;
    duration timeout{};
    duration target_latency{};
    std::uint32_t priority = 0;
};

struct deployed_team {
    std::string name;
    std::vector<std::string> keys;
};

/** The configuration of the whole deployment. */
struct deployment {
    std::uint64_t version = 1;
    std::string host = "soak.example";
    std::vector<deployed_route> routes;
    std::vector<deployed_model> models;
    std::vector<deployed_team> teams;
};

constexpr const char* model_service = "models";
constexpr const char* order_service = "orders";
constexpr std::uint32_t slots_per_replica = 8;      // Calls that run at once in a replica.
constexpr std::uint32_t slots_per_order_server = 6; // Calls that run at once on an order server.
constexpr std::uint32_t max_attempts_per_call = 3;  // Attempts of one call at backend servers.
constexpr double max_loads_per_s = 2;      // Loads that nodes may start from the weight store.
constexpr duration event_interval = 8ms;   // Time between two events of a stream.
constexpr duration open_delay = 50ms;      // Time from an open command until the head serves.
constexpr duration rejoin_time = 200ms;    // Time to join with the model that the VM ran last.
constexpr duration stall_timeout = 6s;     // Time until a replica with a lost member breaks.
constexpr duration key_staleness = 5s;     // Time for which a revoked key may still be accepted.
constexpr duration drain_period = 2s;      // Time for which a leaving server accepts calls.
constexpr duration stop_grace_period = 8s; // Time from SIGTERM until a node is killed.
constexpr duration fault_settle_time = 3s; // Time after a fault in which it may still have effects.

} // namespace chervildyke::soak
