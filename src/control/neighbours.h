/** \file
 * Defines neighbours, what a control knows of the other controls.
 */
#pragma once

#include <map>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "control_api.pb.h"

namespace chervildyke {

class neighbours {
public:
    neighbours(std::string self, std::vector<std::string> seeds);
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> leave();
    std::vector<std::string> alive() const;
    std::string address_of(const std::string& member) const;

private:
    std::string self_;
    std::vector<std::string> seeds_;
};

} // namespace chervildyke
