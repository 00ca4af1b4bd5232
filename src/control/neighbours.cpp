/** \file
 * Implements neighbours.
 */
#include "control/neighbours.h"

#include <utility>

#include "base/hash.h"

namespace chervildyke {

neighbours::neighbours(std::string self, std::vector<std::string> seeds)
    : self_(std::move(self)), alive_(std::move(seeds))
{
    alive_.insert(alive_.begin(), self_);
}

std::optional<std::string> neighbours::most_advanced() const
{
    return alive_.size() > 1 ? std::optional(alive_[1]) : std::nullopt;
}

bool neighbours::is_first_for(const std::string& subject) const
{
    return rendezvous_order(subject, alive_, 1).front() == self_;
}

} // namespace chervildyke
