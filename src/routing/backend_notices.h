/** \file
 * Defines backend_notices, the drain and pause notices that backend servers have sent to this node.
 */
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"
#include "fleet/backend_incarnation.h"

namespace chervildyke {

/** The notice in one answer of a backend server. */
struct backend_notice {
    bool leaving = false;          // The server drains and stops.
    std::optional<duration> pause; // For how long this node must send it no calls.

    bool operator==(const backend_notice&) const = default;
};

/** Whether a backend server accepts calls, by its notices. */
struct backend_availability {
    bool leaving = false;
    std::optional<time_point> paused_until;

    bool operator==(const backend_availability&) const = default;
};

struct notice_settings {
    duration max_pause = 24h; // Longer pauses are cut to this, so that a server's mistake can't
                              // keep it out of use forever.
    std::size_t max_servers = 4096; // Of which notices are kept; those with the newest notices.
};

/** Holds the notices that servers sent in their answers. They apply whatever the published list of
 * servers contains, also while the list can't be read: a leaving server gets no more calls in its
 * current incarnation, and a paused one gets none until the pause is over.
 */
class backend_notices {
  public:
    explicit backend_notices(notice_settings settings = {}) : settings_(settings) {}

    /** Called with each change of a server's availability, for the log. */
    std::function<void(const backend_incarnation&, const backend_availability&)> on_change;

    /** Applies the notice of an answer. Notices of an earlier incarnation are ignored. */
    void note(const backend_incarnation& server, const backend_notice& notice, time_point now);

    /** \return true if the server neither leaves nor is paused. */
    bool may_call(const backend_incarnation& server, time_point now) const;

    /** \return the server's availability at the given time. */
    backend_availability availability(const backend_incarnation& server, time_point now) const;

    std::size_t size() const { return servers_.size(); }

  private:
    struct server_state {
        std::uint64_t started_ms = 0;
        backend_availability availability;
        time_point last_notice_at{};
    };

    void forget_oldest();

    notice_settings settings_;
    std::map<std::string, server_state> servers_; // By id.
};

} // namespace chervildyke
