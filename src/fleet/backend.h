/** \file
 * Defines backend, what the fleet's list says of one backend server.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/backend_life.h"

namespace chervildyke {

/** How far a VM is in the replica that it was last told to join. */
enum class membership_phase { joining, ready, open, closing, broken };

struct replica_membership {
    std::string replica;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0; // Zero: the head, which takes the calls.
    membership_phase phase = membership_phase::joining;

    bool operator==(const replica_membership&) const = default;
};

/** One backend server, as it last described itself. */
struct backend {
    std::string id; // New with almost every start.
    std::string service;
    std::string address; // ip:port
    std::string failure_domain;
    std::string fabric_domain; // Empty: not a model engine.
    bool leaving = false;
    std::uint32_t slots = 1;
    std::uint64_t started_ms = 0; // Unix time of its start; names one life of the id.
    std::string loaded_model;     // Of the replica that it joined last, on its accelerators.
    std::vector<std::string> staged_models; // In its host's memory.
    std::optional<replica_membership> membership;

    bool operator==(const backend&) const = default;
};

inline backend_life life_of(const backend& server)
{
    return {server.id, server.started_ms};
}

} // namespace chervildyke
