/** \file
 * Defines engine_profile, the configured performance of a service's model engines.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

/** Configured size, demand and load times of one model. */
struct model_profile {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    double initial_share = 0;       // Share of the service's VMs before demand is known.
    double time_factor = 1;         // Factor on all of a replica's latencies.
    duration cold_load_time{};      // Load from the weight store.
    duration warm_load_time{};      // Load from the host's memory.

    bool operator==(const model_profile&) const = default;
};

/** Performance of the engines of a service. Times hold for a replica whose time_factor is 1. */
struct engine_profile {
    std::uint32_t batch_slots = 1;
    std::uint32_t tokens_per_event = 1;
    double step_ms = 0; // Of one decode step without calls.
    double step_ms_per_call = 0;
    double step_ms_per_1000_tokens = 0; // For each 1000 tokens of a call's context.
    double prompt_tokens_per_ms = 1;
    double prompt_ms_per_million_pairs = 0; // For each million pairs of a prompt's tokens.
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    double max_load_starts_per_s = 1;       // Weight loads that may start per second, over all VMs.
    std::uint32_t max_concurrent_loads = 1; // More concurrent loads slow each other down.
    duration open_time{}; // From the command to open a replica until it takes calls.
    std::vector<model_profile> models;

    /** \return the profile of the model, or null. */
    const model_profile* find(const std::string& model) const
    {
        for (const model_profile& candidate : models) {
            if (candidate.name == model) {
                return &candidate;
            }
        }
        return nullptr;
    }

    bool operator==(const engine_profile&) const = default;
};

} // namespace chervildyke
