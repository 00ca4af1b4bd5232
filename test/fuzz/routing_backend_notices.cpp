/** \file
 * Fuzzes backend_notices against an oracle that replays all notices for each query.
 */
#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "routing/backend_notices.h"

using namespace chervildyke;

namespace {

struct sent_notice {
    backend_incarnation server;
    backend_notice notice;
    time_point at{};
};

/** Oracle: whether a call is allowed by the whole history of notices. */
bool allowed(const std::vector<sent_notice>& history, const backend_incarnation& server,
             time_point now, duration max_pause)
{
    return std::none_of(history.begin(), history.end(), [&](const sent_notice& sent) {
        if (sent.server != server) {
            return false;
        }
        const bool paused =
            sent.notice.pause && now < sent.at + std::min(*sent.notice.pause, max_pause);
        return sent.notice.leaving || paused;
    });
}

} // namespace

TEST_CASE("calls are refused exactly while a notice of the same incarnation forbids them")
{
    const bool current = rc::check([] {
        notice_settings settings;
        backend_notices notices(settings);
        std::vector<sent_notice> history;
        std::map<std::string, std::uint64_t> newest; // Newest incarnation that sent a notice.
        time_point now{100s};
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            sent_notice sent;
            sent.server.id = "i-" + std::to_string(*rc::gen::inRange(0, 3));
            sent.server.started_ms = *rc::gen::inRange<std::uint64_t>(0, 3);
            sent.notice.leaving = *rc::gen::inRange(0, 8) == 0;
            if (*rc::gen::inRange(0, 3) == 0) {
                sent.notice.pause = std::chrono::milliseconds(*rc::gen::inRange(1, 100'000));
            }
            sent.at = now;
            std::uint64_t& newest_start = newest[sent.server.id];
            newest_start =
                std::max(newest_start,
                         sent.notice == backend_notice() ? newest_start : sent.server.started_ms);
            notices.note(sent.server, sent.notice, now);
            history.push_back(sent);
            for (const auto& [id, started_ms] : newest) {
                const backend_incarnation server{id, started_ms};
                RC_ASSERT(notices.may_call(server, now) ==
                          allowed(history, server, now, settings.max_pause));
            }
        }
    });
    CHECK(current);
}
