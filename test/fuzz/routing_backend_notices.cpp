/** \file
 * Fuzzes backend_notices against an oracle that replays all answers for each question.
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

struct said {
    backend_life server;
    backend_notice notice;
    time_point at{};
};

/** Whether the rules allow a call, from all that was ever said. */
bool allowed(const std::vector<said>& history, const backend_life& server, time_point now,
             duration longest_pause)
{
    return std::none_of(history.begin(), history.end(), [&](const said& words) {
        if (words.server != server) {
            return false;
        }
        const bool paused =
            words.notice.pause && now < words.at + std::min(*words.notice.pause, longest_pause);
        return words.notice.leaving || paused;
    });
}

} // namespace

TEST_CASE("no call goes where an answer of the same life forbids it, and others are not kept back")
{
    const bool held = rc::check([] {
        notice_settings settings;
        backend_notices notices(settings);
        std::vector<said> history;
        std::map<std::string, std::uint64_t> newest; // Life of which an answer has come.
        time_point now{100s};
        const auto steps = *rc::gen::inRange(1, 60);
        for (int i = 0; i < steps; ++i) {
            now += std::chrono::milliseconds(*rc::gen::inRange(0, 3000));
            said words;
            words.server.id = "i-" + std::to_string(*rc::gen::inRange(0, 3));
            words.server.started_ms = *rc::gen::inRange<std::uint64_t>(0, 3);
            words.notice.leaving = *rc::gen::inRange(0, 8) == 0;
            if (*rc::gen::inRange(0, 3) == 0) {
                words.notice.pause = std::chrono::milliseconds(*rc::gen::inRange(1, 100'000));
            }
            words.at = now;
            std::uint64_t& life = newest[words.server.id];
            life =
                std::max(life, words.notice == backend_notice() ? life : words.server.started_ms);
            notices.note(words.server, words.notice, now);
            history.push_back(words);
            for (const auto& [id, started_ms] : newest) {
                const backend_life server{id, started_ms};
                RC_ASSERT(notices.may_call(server, now) ==
                          allowed(history, server, now, settings.longest_pause));
            }
        }
    });
    CHECK(held);
}
