/** \file
 * Fuzzes orders from claim to settlement. Guards against an order that runs twice, the outcome
 * not_run for an attempt that ran, and two confirmations for one key. They come about when entries
 * crash or pause, controls crash, the log loses replies, is unavailable or slow, and backend
 * servers lose replies. Compares the responses with what the backend server ran.
 */
#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "entry/order_client.h"
#include "support/order_fixture.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

constexpr std::size_t entry_count = 3;
constexpr std::size_t coordinator_count = 3;
constexpr duration call_time = 4s;

enum class backend_behavior { answers, loses_reply, refuses };

/** The responses that callers received and the runs at the backend server. */
struct order_observations {
    std::map<std::string, int> runs;                            // By key.
    std::map<std::string, std::string> key_of_executed_attempt; // By attempt id.
    std::map<std::string, std::set<std::string>> confirmed;     // Confirmations received, by key.
    std::vector<std::string> not_run_attempts;
    std::size_t answers = 0;
    std::size_t complete = 0;
};

/** One entry process. After a crash, another one replaces it. */
struct fuzzed_entry {
    bool alive = true;
    bool paused = false;
    std::unique_ptr<order_client> client;
    at_most_once_hooks at_most_once;
};

class order_simulation {
  public:
    order_simulation() : fixture(coordinator_count)
    {
        for (std::size_t i = 0; i < entry_count; ++i) {
            entries.push_back(make_entry(i));
        }
    }

    ~order_simulation()
    {
        for (const auto& entry : entries) {
            entry->alive = false;
            entry->paused = false;
        }
        fixture.clock.advance(90s, 20ms);
    }

    std::shared_ptr<fuzzed_entry> make_entry(std::size_t coordinator)
    {
        const auto result = std::make_shared<fuzzed_entry>();
        order_client_hooks hooks;
        hooks.claim = [this, coordinator, result = std::weak_ptr(result)](
                          schema::claim_request request,
                          duration) -> rpc_awaitable<schema::claim_reply> {
            const auto entry = result.lock();
            if (!entry || !entry->alive) {
                co_return rpc_failure{rpc_error::unreachable, "this entry is dead"};
            }
            schema::claim_reply reply =
                co_await fixture.coordinators[reachable_coordinator(coordinator)]->claim(request);
            co_await wait_while_paused(entry);
            co_return reply;
        };
        hooks.settle = [this, coordinator, result = std::weak_ptr(result)](
                           schema::settle_request request,
                           duration) -> rpc_awaitable<schema::settle_reply> {
            const auto entry = result.lock();
            if (!entry || !entry->alive) {
                co_return rpc_failure{rpc_error::unreachable, "this entry is dead"};
            }
            schema::settle_reply reply =
                co_await fixture.coordinators[reachable_coordinator(coordinator)]->settle(request);
            co_return reply;
        };
        order_client_settings settings;
        settings.incarnation = "entry";
        result->client = std::make_unique<order_client>(fixture.context.get_executor(), settings,
                                                        std::move(hooks));
        result->at_most_once = result->client->at_most_once();
        return result;
    }

    std::size_t reachable_coordinator(std::size_t first) const
    {
        while (fixture.unreachable.count("c" + std::to_string(first)) > 0) {
            first = (first + 1) % coordinator_count;
        }
        return first;
    }

    asio::awaitable<void> wait_while_paused(std::shared_ptr<fuzzed_entry> entry)
    {
        while (entry->paused) {
            co_await sleep_for(20ms);
        }
    }

    void start_call(std::size_t entry, const std::string& key, const std::string& body)
    {
        keys.insert(key);
        asio::co_spawn(fixture.context, make_call(entries[entry], key, body), asio::detached);
    }

    /** Handles one call that runs at most once as an entry does. */
    asio::awaitable<void> make_call(std::shared_ptr<fuzzed_entry> entry, std::string key,
                                    std::string body)
    {
        call_identity identity;
        identity.tenant = "tenant";
        identity.key = key;
        identity.attempt_id = "attempt-" + std::to_string(++attempts);
        identity.body_digest = body;
        identity.deadline = monotonic_clock::now() + call_time;
        const claim_decision decision = co_await entry->at_most_once.claim(identity);
        if (!entry->alive) {
            co_return;
        }
        if (decision.result == schema::claim_settled) {
            record_replay(identity, *decision.settlement);
            co_return;
        }
        if (decision.result != schema::claim_won) {
            const bool not_run = not_claimed_error(decision).outcome == call_outcome::not_run;
            record_response(identity, not_run ? call_outcome::not_run : call_outcome::unknown, "");
            co_return;
        }
        const std::string confirmation = "confirmed " + identity.attempt_id;
        const call_outcome outcome = run_at_backend(identity);
        co_await sleep_for(30ms);
        co_await wait_while_paused(entry);
        if (!entry->alive) {
            co_return;
        }
        co_await entry->at_most_once.settle(identity, outcome, 200, "text/plain",
                                            outcome == call_outcome::complete ? confirmation
                                                                              : no_confirmation);
        if (entry->alive) {
            record_response(identity, outcome, confirmation);
        }
    }

    call_outcome run_at_backend(const call_identity& identity)
    {
        if (behavior == backend_behavior::refuses) {
            return call_outcome::not_run;
        }
        ++observed.runs[identity.key];
        observed.key_of_executed_attempt[identity.attempt_id] = identity.key;
        return behavior == backend_behavior::answers ? call_outcome::complete
                                                     : call_outcome::unknown;
    }

    void record_replay(const call_identity& identity, const schema::order_settlement& settlement)
    {
        const bool complete = settlement.outcome() == schema::order_complete;
        record_response(identity, complete ? call_outcome::complete : call_outcome::unknown,
                        settlement.confirmation());
    }

    void record_response(const call_identity& identity, call_outcome outcome,
                         const std::string& confirmation)
    {
        ++observed.answers;
        if (outcome == call_outcome::complete) {
            ++observed.complete;
            observed.confirmed[identity.key].insert(confirmation);
        }
        else if (outcome == call_outcome::not_run) {
            observed.not_run_attempts.push_back(identity.attempt_id);
        }
    }

    order_fixture fixture;
    std::vector<std::shared_ptr<fuzzed_entry>> entries;
    order_observations observed;
    backend_behavior behavior = backend_behavior::answers;
    std::size_t attempts = 0;
    std::set<std::string> keys; // Of all calls so far.
    const std::string no_confirmation;
};

/** Other kinds make a call with the body "body". */
enum step_kind {
    crash_entry,
    toggle_pause_of_entry,
    lose_log_replies,
    set_log_outage,
    set_log_latency,
    cut_off_log,
    set_backend_behavior,
    crash_coordinator,
    make_call_with_other_body,
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

void run_step(order_simulation& simulation, const fuzz_step& step)
{
    const auto amount = static_cast<unsigned>(step.number);
    const std::string coordinator = "c" + std::to_string(step.target);
    switch (step.kind) {
    case crash_entry:
        simulation.entries[step.target]->alive = false;
        simulation.entries[step.target] = simulation.make_entry(step.target);
        break;
    case toggle_pause_of_entry:
        simulation.entries[step.target]->paused = !simulation.entries[step.target]->paused;
        break;
    case lose_log_replies:
        simulation.fixture.log.lose_replies(amount);
        break;
    case set_log_outage:
        simulation.fixture.log.set_outage(amount > 2);
        break;
    case set_log_latency:
        simulation.fixture.log.set_latency(amount * amount * 20ms);
        break;
    case cut_off_log:
        simulation.fixture.log.cut_off(coordinator, amount > 2);
        break;
    case set_backend_behavior:
        simulation.behavior =
            amount < 3 ? static_cast<backend_behavior>(amount) : backend_behavior::answers;
        break;
    case crash_coordinator:
        if (simulation.fixture.unreachable.empty()) {
            simulation.fixture.unreachable.insert(coordinator);
            simulation.fixture.coordinators[step.target]->stop();
        }
        break;
    default:
        simulation.start_call(step.target,
                              "k" + std::to_string(simulation.attempts / 8 + amount % 3),
                              step.kind == make_call_with_other_body ? "other" : "body");
        break;
    }
    simulation.fixture.clock.advance(std::chrono::milliseconds(7 << (step.number + step.kind % 3)),
                                     10ms);
}

void check_invariants(const order_observations& observed)
{
    for (const auto& [key, runs] : observed.runs) {
        RC_ASSERT(runs <= 1);
    }
    for (const std::string& attempt : observed.not_run_attempts) {
        RC_ASSERT(observed.key_of_executed_attempt.count(attempt) == 0);
    }
    for (const auto& [key, confirmations] : observed.confirmed) {
        RC_ASSERT(confirmations.size() <= 1);
    }
}

/** Ends all faults except crashes, then repeats the call of each key at each entry. */
void repeat_all_orders(order_simulation& simulation)
{
    simulation.fixture.log.set_outage(false);
    simulation.fixture.log.set_latency(duration::zero());
    simulation.fixture.log.lose_replies(0);
    for (std::size_t i = 0; i < coordinator_count; ++i) {
        simulation.fixture.log.cut_off("c" + std::to_string(i), false);
    }
    simulation.behavior = backend_behavior::answers;
    for (const auto& entry : simulation.entries) {
        entry->paused = false;
    }
    simulation.fixture.clock.advance(70s, 20ms);
    const std::set<std::string> keys = simulation.keys;
    for (std::size_t i = 0; i < entry_count; ++i) {
        for (const std::string& key : keys) {
            simulation.start_call(i, key, "body");
            simulation.fixture.clock.advance(100ms, 10ms);
        }
    }
    simulation.fixture.clock.advance(5s, 20ms);
}

} // namespace

TEST_CASE("under faults no order runs twice and no caller receives a wrong outcome")
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
        order_simulation simulation;
        for (const fuzz_step& step : script) {
            run_step(simulation, step);
        }
        repeat_all_orders(simulation);
        check_invariants(simulation.observed);
        answers += simulation.observed.answers;
        complete += simulation.observed.complete;
        runs += simulation.observed.runs.size();
    }));
    MESSAGE(answers << " answers, " << complete << " of them complete, over " << runs << " runs");
}
