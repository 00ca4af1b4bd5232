/** \file
 * Defines refused_requests, which reports the requests that a server refuses before it has read
 * them.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

#include "base/clock.h"
#include "base/http_server.h"

namespace chervildyke {

/** Passes each refusal on and logs a few of them each second. */
class refused_requests {
  public:
    void note(bad_request kind, const std::string& address);

    std::function<void(bad_request)> on_refused;

  private:
    time_point second_began_{}; // The lines of one second are counted.
    std::uint32_t lines_ = 0;
    std::uint64_t unlogged_ = 0; // Refusals since the last line.
};

} // namespace chervildyke
