/** \file
 * Defines neighbours, what a control knows of the other controls.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "platform/log_client.h"

namespace chervildyke {

/** Names the controls that seem alive, and where they are. Members are named by IP number. */
class neighbours {
  public:
    /** \param self this VM's IP number.
     * \param seeds the IP numbers of other controls.
     */
    neighbours(std::string self, std::vector<std::string> seeds);

    /** The members that seem alive, this one first. */
    const std::vector<std::string>& alive() const { return alive_; }

    /** Another member that is likely to have applied the most. */
    std::optional<std::string> most_advanced() const;

    /** The highest offset that another member told of lately. */
    std::optional<log_offset> highest_offset() const { return std::nullopt; }

    /** True when this member is the first alive for a subject. */
    bool is_first_for(const std::string& subject) const;

  private:
    std::string self_;
    std::vector<std::string> alive_;
};

} // namespace chervildyke
