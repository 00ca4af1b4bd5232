/** \file
 * Defines engine_profile, what is known beforehand of how fast a service's model engines are.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/clock.h"

namespace chervildyke {

struct model_profile {
    std::string name;
    std::uint32_t replica_size = 1; // VMs
    double share = 0;               // Of the service's VMs, before demand is known.
    double pace = 1;                // Factor on all times of a replica.
    duration load_time{};           // From the weight store.
    duration warm_time{};           // From the host's memory.

    bool operator==(const model_profile&) const = default;
};

/** Times hold for a replica of pace 1. */
struct engine_profile {
    std::uint32_t batch_slots = 1;
    std::uint32_t tokens_per_event = 1;
    double step_ms = 0;
    double step_ms_per_call = 0;
    double step_ms_per_1000_tokens = 0; // Of each call's context.
    double prompt_tokens_per_ms = 1;
    double prompt_ms_per_million_pairs = 0;
    double usual_prompt_tokens = 0;
    double usual_answer_tokens = 0;
    double loads_per_s = 1;          // That may start, over all VMs.
    std::uint32_t loads_at_once = 1; // More of them slow each other down.
    duration open_time{};            // From the order to open until calls are taken.
    std::vector<model_profile> models;

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
