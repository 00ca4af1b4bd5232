/** \file
 * Defines choose_carrier, which selects the node that sends requests for one that is cut off.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"

namespace chervildyke {

/** Another node, as its last datagram described it. */
struct carrier_candidate {
    std::string name;
    std::string address; // ip:port for detours.
    bool same_domain = false;
    bool can_carry = false;    // It is neither leaving nor cut off from the service.
    std::size_t in_flight = 0; // Detours of this node by way of it.

    bool operator==(const carrier_candidate&) const = default;
};

/** \return the less loaded of two random nodes that can carry, of this node's failure domain if
 * there are any; nothing if no node can.
 */
std::optional<carrier_candidate> choose_carrier(const std::vector<carrier_candidate>& candidates,
                                                const random_source& random);

} // namespace chervildyke
