/** \file
 * Defines split_address, which splits an address into its IP address and port.
 */
#pragma once

#include <cstdint>
#include <string>

namespace chervildyke {

/** Splits an address of the form ip:port.
 * \return false if the address has another form; ip and port may have changed then.
 */
bool split_address(const std::string& address, std::string& ip, std::uint16_t& port);

} // namespace chervildyke
