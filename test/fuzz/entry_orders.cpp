/** \file
 * Fuzzes whole orders: entries that die and pause, controls that die, a log that loses replies,
 * goes down and slows. Judged by what the backend server ran.
 */
#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "entry/order_call.h"
#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

constexpr std::size_t entry_count = 3;
constexpr std::size_t desk_count = 3;
constexpr duration call_time = 4s;

enum class backend_mood { answers, loses_reply, refuses };

/** What callers were told and what ran. */
struct order_truth {
    std::map<std::string, int> runs;                        // By key.
    std::map<std::string, std::string> run_of_attempt;      // By attempt: its key.
    std::map<std::string, std::set<std::string>> confirmed; // By key: confirmations told.
    std::vector<std::string> not_run_attempts;
    std::size_t answers = 0;
    std::size_t complete = 0;
};

/** One entry process; a dead one never comes back, its successor is another. */
struct fuzzed_entry {
    bool alive = true;
    bool paused = false;
    std::unique_ptr<order_calls> calls;
    call_guard guard;
};

class order_world {
  public:
    order_world() : bench(desk_count)
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            entries.push_back(make_entry(i));
        }
    }

    ~order_world()
    {
        for (const auto& entry : entries) {
            entry->alive = false;
            entry->paused = false;
        }
        bench.clock.advance(90s, 20ms);
    }

    std::shared_ptr<fuzzed_entry> make_entry(std::size_t desk)
    {
        const auto made = std::make_shared<fuzzed_entry>();
        order_call_hooks hooks;
        hooks.claim = [this, desk,
                       made = std::weak_ptr(made)](schema::claim_request request,
                                                   duration) -> rpc_awaitable<schema::claim_reply> {
            const auto entry = made.lock();
            if (!entry || !entry->alive) {
                co_return rpc_failure{rpc_error::unreachable, "this entry is dead"};
            }
            schema::claim_reply reply =
                co_await bench.coordinators[live_desk(desk)]->claim(request);
            co_await wait_while_paused(entry);
            co_return reply;
        };
        hooks.settle = [this, desk, made = std::weak_ptr(made)](
                           schema::settle_request request,
                           duration) -> rpc_awaitable<schema::settle_reply> {
            const auto entry = made.lock();
            if (!entry || !entry->alive) {
                co_return rpc_failure{rpc_error::unreachable, "this entry is dead"};
            }
            schema::settle_reply reply =
                co_await bench.coordinators[live_desk(desk)]->settle(request);
            co_return reply;
        };
        order_call_settings settings;
        settings.incarnation = "entry";
        made->calls =
            std::make_unique<order_calls>(bench.context.get_executor(), settings, std::move(hooks));
        made->guard = made->calls->guard();
        return made;
    }

    std::size_t live_desk(std::size_t first) const
    {
        while (bench.unreachable.count("c" + std::to_string(first)) > 0) {
            first = (first + 1) % desk_count;
        }
        return first;
    }

    asio::awaitable<void> wait_while_paused(std::shared_ptr<fuzzed_entry> entry)
    {
        while (entry->paused) {
            co_await sleep_for(20ms);
        }
    }

    void order(std::size_t entry, const std::string& key, const std::string& body)
    {
        keys.insert(key);
        asio::co_spawn(bench.context, place_order(entries[entry], key, body), asio::detached);
    }

    /** What an entry does with one call that runs at most once. */
    asio::awaitable<void> place_order(std::shared_ptr<fuzzed_entry> entry, std::string key,
                                      std::string body)
    {
        call_identity identity;
        identity.tenant = "tenant";
        identity.key = key;
        identity.attempt_id = "attempt-" + std::to_string(++attempts);
        identity.body_digest = body;
        identity.deadline = monotonic_clock::now() + call_time;
        const claim_decision decision = co_await entry->guard.claim(identity);
        if (!entry->alive) {
            co_return;
        }
        if (decision.result == schema::claim_settled) {
            tell_settled(identity, *decision.settlement);
            co_return;
        }
        if (decision.result != schema::claim_won) {
            const bool not_run = not_claimed(decision).outcome == call_outcome::not_run;
            tell(identity, not_run ? call_outcome::not_run : call_outcome::unknown, "");
            co_return;
        }
        const std::string confirmation = "confirmed " + identity.attempt_id;
        const call_outcome outcome = run_at_backend(identity);
        co_await sleep_for(30ms);
        co_await wait_while_paused(entry);
        if (!entry->alive) {
            co_return;
        }
        co_await entry->guard.settle(identity, outcome, 200, "text/plain",
                                     outcome == call_outcome::complete ? confirmation : kept_empty);
        if (entry->alive) {
            tell(identity, outcome, confirmation);
        }
    }

    call_outcome run_at_backend(const call_identity& identity)
    {
        if (mood == backend_mood::refuses) {
            return call_outcome::not_run;
        }
        ++truth.runs[identity.key];
        truth.run_of_attempt[identity.attempt_id] = identity.key;
        return mood == backend_mood::answers ? call_outcome::complete : call_outcome::unknown;
    }

    void tell_settled(const call_identity& identity, const schema::order_settlement& settlement)
    {
        const bool complete = settlement.outcome() == schema::order_complete;
        tell(identity, complete ? call_outcome::complete : call_outcome::unknown,
             settlement.confirmation());
    }

    void tell(const call_identity& identity, call_outcome outcome, const std::string& confirmation)
    {
        ++truth.answers;
        if (outcome == call_outcome::complete) {
            ++truth.complete;
            truth.confirmed[identity.key].insert(confirmation);
        }
        else if (outcome == call_outcome::not_run) {
            truth.not_run_attempts.push_back(identity.attempt_id);
        }
    }

    order_fixture bench;
    std::vector<std::shared_ptr<fuzzed_entry>> entries;
    order_truth truth;
    backend_mood mood = backend_mood::answers;
    std::size_t attempts = 0;
    std::set<std::string> keys; // Asked for so far.
    const std::string kept_empty;
};

struct fuzz_step {
    int kind = 0;
    std::size_t target = 0;
    int number = 0;
};

std::ostream& operator<<(std::ostream& out, const fuzz_step& step)
{
    return out << "{" << step.kind << "," << step.target << "," << step.number << "}";
}

void take_step(order_world& world, const fuzz_step& step)
{
    const auto amount = static_cast<unsigned>(step.number);
    const std::string desk = "c" + std::to_string(step.target);
    switch (step.kind) {
    case 0:
        world.entries[step.target]->alive = false;
        world.entries[step.target] = world.make_entry(step.target);
        break;
    case 1:
        world.entries[step.target]->paused = !world.entries[step.target]->paused;
        break;
    case 2:
        world.bench.log.lose_replies(amount);
        break;
    case 3:
        world.bench.log.set_outage(amount > 2);
        break;
    case 4:
        world.bench.log.set_latency(amount * amount * 20ms);
        break;
    case 5:
        world.bench.log.cut_off(desk, amount > 2);
        break;
    case 6:
        world.mood = amount < 3 ? static_cast<backend_mood>(amount) : backend_mood::answers;
        break;
    case 7:
        if (world.bench.unreachable.empty()) {
            world.bench.unreachable.insert(desk);
            world.bench.coordinators[step.target]->stop();
        }
        break;
    default:
        world.order(step.target, "k" + std::to_string(world.attempts / 8 + amount % 3),
                    step.kind == 8 ? "other" : "body");
        break;
    }
    world.bench.clock.advance(std::chrono::milliseconds(7 << (step.number + step.kind % 3)), 10ms);
}

void judge(const order_truth& truth)
{
    for (const auto& [key, runs] : truth.runs) {
        RC_ASSERT(runs <= 1);
    }
    for (const std::string& attempt : truth.not_run_attempts) {
        RC_ASSERT(truth.run_of_attempt.count(attempt) == 0);
    }
    for (const auto& [key, confirmations] : truth.confirmed) {
        RC_ASSERT(confirmations.size() <= 1);
    }
}

/** Heals all, then asks for each key again at each entry. */
void ask_again(order_world& world)
{
    world.bench.log.set_outage(false);
    world.bench.log.set_latency(duration::zero());
    world.bench.log.lose_replies(0);
    for (std::size_t i = 0; i < desk_count; ++i) {
        world.bench.log.cut_off("c" + std::to_string(i), false);
    }
    world.mood = backend_mood::answers;
    for (const auto& entry : world.entries) {
        entry->paused = false;
    }
    world.bench.clock.advance(70s, 20ms);
    const std::set<std::string> keys = world.keys;
    for (std::size_t i = 0; i < entry_count; ++i) {
        for (const std::string& key : keys) {
            world.order(i, key, "body");
            world.bench.clock.advance(100ms, 10ms);
        }
    }
    world.bench.clock.advance(5s, 20ms);
}

} // namespace

TEST_CASE("through all faults no order runs twice and no answer is false")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=60 max_size=200", 0);
    std::size_t answers = 0;
    std::size_t complete = 0;
    std::size_t runs = 0;
    CHECK(rc::check([&] {
        const auto script = *rc::gen::container<std::vector<fuzz_step>>(rc::gen::build<fuzz_step>(
            rc::gen::set(&fuzz_step::kind, rc::gen::inRange(0, 40)),
            rc::gen::set(&fuzz_step::target, rc::gen::inRange<std::size_t>(0, 3)),
            rc::gen::set(&fuzz_step::number, rc::gen::inRange(0, 6))));
        order_world world;
        for (const fuzz_step& step : script) {
            take_step(world, step);
        }
        ask_again(world);
        judge(world.truth);
        answers += world.truth.answers;
        complete += world.truth.complete;
        runs += world.truth.runs.size();
    }));
    MESSAGE(answers << " answers, " << complete << " of them complete, over " << runs << " runs");
}
