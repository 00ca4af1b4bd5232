/** \file
 * Defines backend_notices, what backend servers have told this node of whether they want its calls.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "fleet/backend_life.h"

namespace chervildyke {

/** What one answer says of its server. */
struct backend_notice {
    bool leaving = false;
    std::optional<duration> pause; // It wants nothing from this node for so long.

    bool operator==(const backend_notice&) const = default;
};

/** Where the calls for one backend server stand. */
struct backend_standing {
    bool leaving = false;
    std::optional<time_point> paused_until;

    bool operator==(const backend_standing&) const = default;
};

struct notice_settings {
    duration longest_pause = 60s;   // A longer one is cut off there, so that no slip of a server
                                    // keeps it out of use for good.
    std::size_t max_servers = 4096; // Remembered at once; those that spoke last.
};

/** Holds what servers said in their own answers. It binds this node whatever the fleet's list says,
 * also while the list can't be read: a server that leaves gets no more calls in this life of it,
 * and one that asked for a pause gets none until it is over.
 */
class backend_notices {
  public:
    explicit backend_notices(notice_settings settings = {}) : settings_(settings) {}

    /** Told of each change of belief, for the log. */
    std::function<void(const backend_life&, const backend_standing&)> on_change;

    /** Takes what an answer of the server said. An earlier life's words change nothing. */
    void note(const backend_life& server, const backend_notice& notice, time_point now);

    bool may_call(const backend_life& server, time_point now) const;

    /** \return what holds for the server now. */
    backend_standing standing(const backend_life& server, time_point now) const;

    std::size_t size() const { return known_.size(); }

  private:
    struct known_server {
        std::uint64_t started_ms = 0;
        backend_standing standing;
        time_point spoke_at{};
    };

    void forget_oldest();

    notice_settings settings_;
    std::map<std::string, known_server> known_; // By id.
};

} // namespace chervildyke
