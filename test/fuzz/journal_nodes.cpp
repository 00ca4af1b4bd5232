/** \file
 * Fuzzes journal nodes on a log with injected faults. After all faults end, every node has the
 * state that a replay of all appended records reaches, and no proposal returned a different
 * outcome.
 */
#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "base/log.h"
#include "support/journal_group.h"
#include "support/journal_records.h"

using namespace chervildyke;

namespace {

constexpr std::size_t node_count = 3;
constexpr duration retention = 60s;
constexpr duration coarse_step = 50ms;

using pending_outcome = std::shared_ptr<std::optional<journal_result<proposal_outcome>>>;

struct proposed {
    std::string id;
    pending_outcome outcome;
};

struct fleet_model {};

/** The nodes, the records proposed through them, and each node's highest offset so far. */
struct fleet_under_test {
    journal_group group{retention};
    std::vector<std::size_t> running;
    std::vector<proposed> proposals;
    std::vector<log_offset> highest;

    fleet_under_test()
    {
        for (std::size_t i = 0; i < node_count; ++i) {
            running.push_back(group.start());
            highest.push_back(0);
        }
        group.advance(1s, coarse_step);
    }

    void advance(duration span)
    {
        group.advance(span, coarse_step);
        for (std::size_t i = 0; i < node_count; ++i) {
            const log_offset now = group.node(running[i]).highest_offset();
            RC_ASSERT(now >= highest[i]);
            highest[i] = now;
        }
    }

    /** \return whether a running node other than the given one has read every record. A record that
     * no node read before the log trimmed it can't be recovered, so this test excludes that case.
     */
    bool all_read(std::optional<std::size_t> except = std::nullopt)
    {
        const log_offset last = group.log().next_offset("journal") - 1;
        for (std::size_t i = 0; i < node_count; ++i) {
            if (i != except && group.node(running[i]).highest_offset() == last) {
                return true;
            }
        }
        return false;
    }

    /** Ends all faults and waits until the nodes have caught up. */
    void end_faults()
    {
        group.log().set_outage(false);
        group.log().set_latency(0s);
        group.log().lose_replies(0);
        group.log().overload(0);
        for (const std::size_t index : running) {
            group.log().cut_off("n" + std::to_string(index), false);
            group.isolate(index, false);
        }
        advance(40s);
        const log_offset last = group.log().next_offset("journal") - 1;
        for (std::size_t i = 0; i < node_count; ++i) {
            if (group.node(running[i]).highest_offset() < last) {
                advance(1s); // A checkpoint was appended in the last step.
            }
        }
    }
};

using fleet_command = rc::state::Command<fleet_model, fleet_under_test>;

struct propose_change : fleet_command {
    std::size_t node = *rc::gen::inRange<std::size_t>(0, node_count);
    int kind = *rc::gen::inRange(0, 5);
    int vm = *rc::gen::inRange(0, 6);

    schema::journal_record record(const fleet_state& state) const
    {
        const std::string name = "vm-" + std::to_string(vm);
        const std::uint64_t version = state.configuration_version();
        const replica_id replica = state.replicas().empty() ? 0 : state.replicas().begin()->first;
        switch (kind) {
        case 0:
            return configuration_record("", version, small_configuration({"t"}, 4, 1));
        case 1:
            return serving_record("", replica);
        case 2:
            return retirement_record("", replica);
        case 3:
            return release_record(
                "", replica,
                replica == 0 ? name : state.replicas().begin()->second.members.front().vm);
        default:
            return formation_record("", "t", version, {name});
        }
    }
    void run(const fleet_model&, fleet_under_test& sut) const override
    {
        const std::size_t index = sut.running[node];
        auto made = record(*sut.group.node(index).state());
        made.set_id("p" + std::to_string(sut.proposals.size()));
        sut.proposals.push_back({made.id(), sut.group.propose(index, made, 6s)});
        sut.advance(100ms);
    }
    void show(std::ostream& out) const override
    {
        out << "propose " << kind << " by " << node << " of vm " << vm;
    }
};

struct inject_log_fault : fleet_command {
    int kind = *rc::gen::inRange(0, 5);
    unsigned count = *rc::gen::inRange(1U, 4U);

    void run(const fleet_model&, fleet_under_test& sut) const override
    {
        memory_log& log = sut.group.log();
        switch (kind) {
        case 0:
            log.set_outage(sut.all_read());
            break;
        case 1:
            log.set_outage(false);
            break;
        case 2:
            log.lose_replies(count);
            break;
        case 3:
            log.overload(count);
            break;
        default:
            log.set_latency(count * 400ms);
        }
    }
    void show(std::ostream& out) const override { out << "log fault " << kind << " " << count; }
};

/** Disconnects a node from the log or from its members, or reconnects it. */
struct disconnect_node : fleet_command {
    std::size_t node = *rc::gen::inRange<std::size_t>(0, node_count);
    bool from_log = *rc::gen::arbitrary<bool>();
    bool cut = *rc::gen::arbitrary<bool>();

    void run(const fleet_model&, fleet_under_test& sut) const override
    {
        const std::size_t index = sut.running[node];
        if (from_log) {
            sut.group.log().cut_off("n" + std::to_string(index), cut && sut.all_read());
        }
        else {
            sut.group.isolate(index, cut);
        }
    }
    void show(std::ostream& out) const override { out << "cut " << node << from_log << cut; }
};

/** Replaces a node by a new one, unless it is the only node that has read every record. */
struct restart_node : fleet_command {
    std::size_t node = *rc::gen::inRange<std::size_t>(0, node_count);

    void run(const fleet_model&, fleet_under_test& sut) const override
    {
        for (const std::size_t index : sut.running) {
            if (!sut.group.node(index).ready() || !sut.all_read(node)) {
                return;
            }
        }
        sut.group.stop(sut.running[node]);
        sut.running[node] = sut.group.start();
        sut.highest[node] = 0;
        sut.advance(100ms);
    }
    void show(std::ostream& out) const override { out << "restart " << node; }
};

struct pass_time : fleet_command {
    duration span = *rc::gen::element<duration>(300ms, 3s, 20s, 90s);

    void run(const fleet_model&, fleet_under_test& sut) const override { sut.advance(span); }
    void show(std::ostream& out) const override
    {
        out << "wait " << std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    }
};

/** Replays all appended records and compares the nodes and the proposals with the result. */
void check_outcome(fleet_under_test& sut)
{
    fleet_state_builder replay{fleet_state()};
    std::map<std::string, proposal_outcome> outcomes;
    for (const log_record& raw : sut.group.log().history("journal")) {
        schema::journal_record record;
        RC_ASSERT(record.ParseFromString(raw.payload));
        const record_outcome outcome = replay.apply(record, raw.offset);
        outcomes.emplace(record.id(), proposal_outcome{raw.offset, outcome});
    }
    for (const std::size_t index : sut.running) {
        RC_ASSERT(sut.group.node(index).ready());
        const fleet_state& reached = *sut.group.node(index).state();
        RC_ASSERT((reached == replay.current()));
    }
    for (const proposed& item : sut.proposals) {
        RC_ASSERT(item.outcome->has_value());
        const auto& result = **item.outcome;
        const auto replayed = outcomes.find(item.id);
        if (result) {
            RC_ASSERT(replayed != outcomes.end());
            RC_ASSERT(*result == replayed->second);
        }
        else if (result.failure().code != journal_error::unknown_outcome) {
            RC_ASSERT(replayed == outcomes.end());
        }
    }
}

} // namespace

TEST_CASE("after all faults end, nodes have the state of a full replay and proposals returned its "
          "outcomes")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=120", 0);
    start_log("error", "");
    std::size_t proposals = 0;
    std::size_t answered = 0;
    CHECK(rc::check([&] {
        fleet_under_test sut;
        rc::state::check(
            fleet_model(), sut,
            rc::state::gen::execOneOfWithArgs<propose_change, propose_change, propose_change,
                                              inject_log_fault, disconnect_node, restart_node,
                                              pass_time>());
        sut.end_faults();
        check_outcome(sut);
        for (const proposed& item : sut.proposals) {
            ++proposals;
            answered += (*item.outcome)->has_value() ? 1 : 0;
        }
    }));
    MESSAGE(proposals << " proposals, " << answered << " with an outcome");
    CHECK(answered * 4 > proposals);
}
