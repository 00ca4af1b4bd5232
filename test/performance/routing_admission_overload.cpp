/** \file
 * Measures goodput and refusals when the offered load exceeds the capacity, under the manual clock.
 */
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <deque>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/random.h"
#include "routing/admission.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

constexpr std::uint32_t slots = 20;
constexpr duration hold = 200ms; // 20 slots of 200 ms: 100 calls a second.
constexpr double capacity_per_s = 100;
constexpr duration deadline = 1s;
constexpr duration run_time = 20s;
constexpr duration warm_up = 3s;

struct tally {
    int good = 0; // Answered by the deadline.
    int late = 0;
    int refused = 0;
    int refused_late = 0;         // More than 50 ms after arrival.
    std::vector<duration> steady; // Answer times of the tenant that stays within its share.

    duration p95() const
    {
        std::vector<duration> sorted = steady;
        std::sort(sorted.begin(), sorted.end());
        return sorted.empty() ? duration() : sorted[sorted.size() * 95 / 100];
    }
};

/** A team's replicas: slots with an unbounded queue of their own. */
class engine_pool {
  public:
    asio::awaitable<void> run(asio::any_io_executor executor)
    {
        while (busy_ >= slots) {
            timer turn(executor);
            turn.expires_after(1h);
            waiting_.push_back(&turn);
            co_await turn.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        ++busy_;
        co_await sleep_for(hold);
        --busy_;
        if (!waiting_.empty()) {
            waiting_.front()->cancel();
            waiting_.pop_front();
        }
    }

  private:
    std::uint32_t busy_ = 0;
    std::deque<timer*> waiting_;
};

class overload_run {
  public:
    overload_run(asio::io_context& context, bool with_admission, double load)
        : context_(context), with_admission_(with_admission), load_(load),
          admission_(context.get_executor(), [](const std::string&) { return slots; }),
          random_(seeded_random(3))
    {
    }

    tally run(manual_clock& clock)
    {
        started_at_ = monotonic_clock::now();
        asio::co_spawn(context_, offer("flood", capacity_per_s * load_ * 0.9), asio::detached);
        asio::co_spawn(context_, offer("steady", capacity_per_s * 0.1), asio::detached);
        clock.advance(run_time + 2s);
        stopped_ = true;
        clock.advance(4 * run_time * static_cast<int>(load_) + 5s, 5ms);
        return found_;
    }

  private:
    asio::awaitable<void> offer(std::string tenant, double per_s)
    {
        while (!stopped_) {
            const double gap = -std::log(1.0 - random_fraction(random_)) / per_s;
            co_await sleep_for(
                std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap)));
            if (monotonic_clock::now() - started_at_ < run_time) {
                asio::co_spawn(context_, call(tenant), asio::detached);
            }
        }
    }

    asio::awaitable<void> call(std::string tenant)
    {
        const time_point arrived_at = monotonic_clock::now();
        const bool counts = arrived_at - started_at_ > warm_up;
        admission_request request;
        request.team = "desk";
        request.tenant = tenant;
        request.deadline = arrived_at + deadline;
        admission_decision decision;
        if (with_admission_) {
            decision = co_await admission_.admit(request);
            if (!decision.ticket) {
                found_.refused += counts ? 1 : 0;
                found_.refused_late += counts && monotonic_clock::now() - arrived_at > 50ms ? 1 : 0;
                co_return;
            }
        }
        co_await engines_.run(context_.get_executor());
        const duration took = monotonic_clock::now() - arrived_at;
        found_.good += counts && took <= deadline ? 1 : 0;
        found_.late += counts && took > deadline ? 1 : 0;
        if (counts && tenant == "steady") {
            found_.steady.push_back(took);
        }
    }

    asio::io_context& context_;
    bool with_admission_;
    double load_;
    admission admission_;
    engine_pool engines_;
    random_source random_;
    time_point started_at_{};
    bool stopped_ = false;
    tally found_;
};

tally run_overload(bool with_admission, double load)
{
    asio::io_context context;
    manual_clock clock(context);
    overload_run one(context, with_admission, load);
    return one.run(clock);
}

} // namespace

TEST_CASE("goodput stays at 95% of its peak up to ten times the capacity")
{
    std::printf("%-9s %5s %6s %6s %8s %13s %14s\n", "admission", "load", "good", "late", "refused",
                "refused >50ms", "steady p95 ms");
    std::vector<tally> with;
    for (const bool admitted : {false, true}) {
        for (const double load : {1.0, 2.0, 4.0, 10.0}) {
            const tally one = run_overload(admitted, load);
            std::printf("%-9s %4.0fx %6d %6d %8d %13d %14.0f\n", admitted ? "yes" : "no", load,
                        one.good, one.late, one.refused, one.refused_late,
                        std::chrono::duration<double, std::milli>(one.p95()).count());
            if (admitted) {
                with.push_back(one);
            }
        }
    }
    int peak = 0;
    for (const tally& one : with) {
        peak = std::max(peak, one.good);
    }
    for (const tally& one : with) {
        const int offered = one.good + one.late + one.refused;
        CHECK(one.good * 100 >= std::min(peak, offered) * 95);
        CHECK(one.refused_late * 100 <= one.refused);
        CHECK(one.p95() <= 2 * with.front().p95());
    }
}
