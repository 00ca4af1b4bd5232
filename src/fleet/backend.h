/** \file
 * Defines backend, an entry of the published list of backend servers.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/backend_incarnation.h"

namespace chervildyke {

/** Phase of a VM within the replica that it was last commanded to join. A VM joins, becomes ready,
 * takes calls while open, finishes its calls while closing; broken means that it can't serve. */
enum class membership_phase { joining, ready, open, closing, broken };

/** Membership of a VM in one replica. */
struct replica_membership {
    std::string replica;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0; // Zero is the head, the member that takes the replica's calls.
    membership_phase phase = membership_phase::joining;

    bool operator==(const replica_membership&) const = default;
};

/** A backend server as described by the entry that it last published. */
struct backend {
    std::string id; // Usually changes when the server restarts.
    std::string service;
    std::string address; // ip:port
    std::string failure_domain;
    std::string fabric_domain; // Empty if the server is no model engine.
    bool leaving = false;
    std::uint32_t slots = 1;
    std::uint64_t started_ms = 0; // Unix time of its start; identifies the incarnation.
    std::string loaded_model; // On its accelerators; the model of the last replica that it joined.
    std::vector<std::string> staged_models; // Held in its host's memory.
    std::optional<replica_membership> membership;

    /** How much longer it was cold when it wrote the entry; zero if it was not, nothing if the
     * entry does not say.
     */
    std::optional<duration> cold_remaining;

    bool operator==(const backend&) const = default;
};

/** \return the id and start time of a server. */
inline backend_incarnation incarnation_of(const backend& server)
{
    return {server.id, server.started_ms};
}

} // namespace chervildyke
