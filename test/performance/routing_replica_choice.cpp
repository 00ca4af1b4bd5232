/** \file
 * Simulates replicas and compares choose_replica() with random and least-loaded choice over the
 * same lagged reports.
 */
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

#include "routing/replica_router.h"

using namespace chervildyke;

namespace {

constexpr std::size_t replica_count = 12;
constexpr std::size_t entry_count = 4;
constexpr double slots = 16; // Batch size of a replica.
constexpr std::size_t cache_blocks =
    240; // Capacity of an engine's prefix cache: 30 of the 120 prefixes.
constexpr std::uint64_t prefix_count = 120;
constexpr std::size_t blocks_of_prefix = 8;
constexpr duration report_lag = 1s;
constexpr duration service_time =
    400ms; // Of an answer, alone on a replica that is not slowed down.
constexpr duration prefill_time = 160ms; // Of a prompt without cached blocks.
constexpr duration run_time = 60s;
constexpr std::size_t straggler = 3;

enum class chooser { prefix_aware, random, least_loaded };

struct scenario {
    const char* name;
    double straggler_factor;
    bool burst;
};

/** One engine: a batch of limited size with a queue, and an LRU cache of prefix blocks. */
struct engine_model {
    double factor = 1.0;
    int running = 0;
    std::deque<std::function<void()>> waiting;
    std::deque<std::uint64_t> cached;

    /** \return how many leading blocks were cached. */
    std::size_t use(const std::vector<std::uint64_t>& blocks)
    {
        std::size_t hits = 0;
        while (hits < blocks.size() &&
               std::find(cached.begin(), cached.end(), blocks[hits]) != cached.end()) {
            ++hits;
        }
        for (const std::uint64_t block : blocks) {
            std::erase(cached, block);
            cached.push_back(block);
        }
        while (cached.size() > cache_blocks) {
            cached.pop_front();
        }
        return hits;
    }
};

struct results {
    double hit_rate = 0;
    double p95_ms = 0;
    double p50_ms = 0;
    int calls = 0;
};

/** Runs simulated events in order of time. */
class event_loop {
  public:
    void at(time_point when, std::function<void()> run)
    {
        events_.push({when, ++count_, std::move(run)});
    }
    void run_until(time_point end)
    {
        while (!events_.empty() && events_.top().when <= end) {
            const event next = events_.top();
            events_.pop();
            now = next.when;
            next.run();
        }
    }
    time_point now{1h};

  private:
    struct event {
        time_point when;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event& other) const
        {
            return std::tie(other.when, other.number) < std::tie(when, number);
        }
    };
    std::priority_queue<event> events_;
    std::uint64_t count_ = 0;
};

class experiment {
  public:
    experiment(chooser by, scenario in) : by_(by), scenario_(in), random_(seeded_random(11))
    {
        engines_[straggler].factor = in.straggler_factor;
        for (std::size_t i = 0; i < entry_count; ++i) {
            routers_.push_back(
                std::make_unique<replica_router>("gent-a", 1h, seeded_random(100U + i)));
            own_.emplace_back(replica_count, 0);
        }
    }

    results run()
    {
        const time_point end = loop_.now + run_time;
        report();
        arrive(end);
        loop_.run_until(end + 60s);
        std::sort(first_tokens_.begin(), first_tokens_.end());
        results found;
        found.calls = static_cast<int>(first_tokens_.size());
        found.p95_ms = first_tokens_[first_tokens_.size() * 95 / 100];
        found.p50_ms = first_tokens_[first_tokens_.size() / 2];
        found.hit_rate = static_cast<double>(hits_) / static_cast<double>(blocks_);
        return found;
    }

  private:
    void report()
    {
        schema::routing_view view;
        for (std::size_t i = 0; i < replica_count; ++i) {
            const engine_model& engine = engines_[i];
            schema::replica_view& replica = *view.add_replicas();
            replica.set_replica_id(i + 1);
            replica.set_team("desk");
            replica.set_serving(true);
            replica.set_batch_limit(64);
            replica.set_running(static_cast<std::uint32_t>(engine.running));
            replica.set_queued(static_cast<std::uint32_t>(engine.waiting.size()));
            replica.add_members()->set_failure_domain("gent-a");
            for (const std::uint64_t block : engine.cached) {
                if (random_below(random_, 10) < 7) { // Some cache events are lost.
                    replica.add_cached_prefixes(block);
                }
            }
        }
        const auto sent = std::make_shared<const schema::routing_view>(std::move(view));
        loop_.at(loop_.now + report_lag, [this, sent] {
            for (const auto& router : routers_) {
                router->use_view(sent, loop_.now);
            }
            for (std::size_t i = 0; i < replica_count; ++i) {
                reported_[i] = static_cast<int>(sent->replicas(static_cast<int>(i)).running() +
                                                sent->replicas(static_cast<int>(i)).queued());
            }
        });
        loop_.at(loop_.now + 500ms, [this] { report(); });
    }

    void arrive(time_point end)
    {
        if (loop_.now > end) {
            return;
        }
        const bool in_burst =
            scenario_.burst && loop_.now - time_point(1h) > 30s && loop_.now - time_point(1h) < 35s;
        // 12 engines of 16 slots and about 0.5 s each carry about 380 calls a second.
        const double rate = in_burst ? 420 : 250;
        const double gap_s = -std::log(1.0 - random_fraction(random_)) / rate;
        if (loop_.now - time_point(1h) > 2s) {
            start_call(random_below(random_, entry_count));
        }
        loop_.at(loop_.now +
                     std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap_s)),
                 [this, end] { arrive(end); });
    }

    std::vector<std::uint64_t> prompt()
    {
        // A few prefixes are frequent, many are rare.
        const double skewed = std::pow(random_fraction(random_), 2.0);
        const auto which = static_cast<std::uint64_t>(skewed * prefix_count);
        std::vector<std::uint64_t> blocks;
        for (std::uint64_t i = 0; i < blocks_of_prefix; ++i) {
            blocks.push_back(1 + which * blocks_of_prefix + i);
        }
        return blocks;
    }

    std::size_t choose(std::size_t entry, const std::vector<std::uint64_t>& blocks)
    {
        if (by_ == chooser::prefix_aware) {
            routing_request question;
            question.team = "desk";
            question.prefixes = blocks;
            const auto chosen = routers_[entry]->choose(question, loop_.now);
            return chosen ? chosen->replica - 1 : random_below(random_, replica_count);
        }
        const std::size_t any = random_below(random_, replica_count);
        if (by_ == chooser::random) {
            return any;
        }
        std::size_t best = any;
        for (std::size_t i = 0; i < replica_count; ++i) {
            const std::size_t candidate = (any + i) % replica_count;
            if (reported_[candidate] + own_[entry][candidate] <
                reported_[best] + own_[entry][best]) {
                best = candidate;
            }
        }
        return best;
    }

    void start_call(std::size_t entry)
    {
        const std::vector<std::uint64_t> blocks = prompt();
        const std::size_t chosen = choose(entry, blocks);
        const std::uint64_t id = chosen + 1;
        routers_[entry]->sent(id, blocks);
        ++own_[entry][chosen];
        engine_model& engine = engines_[chosen];
        const time_point arrived = loop_.now;
        const auto begin = [this, entry, chosen, id, blocks, arrived] {
            run_call(entry, chosen, id, blocks, arrived);
        };
        if (engine.running < slots) {
            begin();
        }
        else {
            engine.waiting.emplace_back(begin);
        }
    }

    void run_call(std::size_t entry, std::size_t chosen, std::uint64_t id,
                  const std::vector<std::uint64_t>& blocks, time_point arrived)
    {
        engine_model& engine = engines_[chosen];
        ++engine.running;
        const std::size_t found = engine.use(blocks);
        hits_ += found;
        blocks_ += blocks.size();
        const double missing =
            1.0 - static_cast<double>(found) / static_cast<double>(blocks.size());
        const auto scaled = [&](duration time, double by) {
            return duration(
                static_cast<std::int64_t>(static_cast<double>(time.count()) * by * engine.factor));
        };
        const duration prefill = scaled(prefill_time, missing) + scaled(20ms, 1.0);
        const duration answer = scaled(service_time, 0.5 + random_fraction(random_));
        loop_.at(loop_.now + prefill, [this, entry, id, arrived, answer] {
            const duration took = loop_.now - arrived;
            first_tokens_.push_back(std::chrono::duration<double, std::milli>(took).count());
            routers_[entry]->first_token(id, took, loop_.now);
            routers_[entry]->token(id, answer / 20);
        });
        loop_.at(loop_.now + prefill + answer, [this, entry, chosen, id] {
            routers_[entry]->ended(id);
            --own_[entry][chosen];
            engine_model& freed = engines_[chosen];
            --freed.running;
            if (!freed.waiting.empty()) {
                const auto next = freed.waiting.front();
                freed.waiting.pop_front();
                next();
            }
        });
    }

    chooser by_;
    scenario scenario_;
    random_source random_;
    event_loop loop_;
    std::array<engine_model, replica_count> engines_;
    std::vector<std::unique_ptr<replica_router>> routers_;
    std::vector<std::vector<int>> own_; // Calls of each entry at each replica.
    std::array<int, replica_count> reported_{};
    std::vector<double> first_tokens_;
    std::uint64_t hits_ = 0;
    std::uint64_t blocks_ = 0;
};

} // namespace

TEST_CASE(
    "choose_replica() beats random and least-loaded choice in hit rate and p95 of the first token")
{
    const std::array<scenario, 4> scenarios{
        scenario{"plain", 1.0, false}, scenario{"straggler", 3.0, false},
        scenario{"burst", 1.0, true}, scenario{"both", 3.0, true}};
    std::printf("%-10s %-13s %7s %9s %9s %9s\n", "scene", "choice", "calls", "hit rate", "p50 ms",
                "p95 ms");
    for (const scenario& in : scenarios) {
        std::map<chooser, results> found;
        for (const auto& [by, name] :
             {std::pair{chooser::prefix_aware, "ours"}, std::pair{chooser::random, "random"},
              std::pair{chooser::least_loaded, "least-loaded"}}) {
            const results one = experiment(by, in).run();
            found[by] = one;
            std::printf("%-10s %-13s %7d %9.3f %9.1f %9.1f\n", in.name, name, one.calls,
                        one.hit_rate, one.p50_ms, one.p95_ms);
        }
        CAPTURE(in.name);
        CHECK(found[chooser::prefix_aware].hit_rate > found[chooser::random].hit_rate);
        CHECK(found[chooser::prefix_aware].hit_rate > found[chooser::least_loaded].hit_rate);
        CHECK(found[chooser::prefix_aware].p95_ms < found[chooser::random].p95_ms);
        CHECK(found[chooser::prefix_aware].p95_ms < found[chooser::least_loaded].p95_ms);
    }
}
