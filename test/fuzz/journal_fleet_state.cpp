/** \file
 * Fuzzes fleet_state against a simple oracle. With racing writers, duplicate records, unparsable
 * payloads, and readers that start from checkpoints at any offset, all readers reach one state.
 */
#include <cstdlib>

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

#include "journal/checkpoint.h"
#include "journal/fleet_state.h"
#include "support/journal_records.h"

using namespace chervildyke;

namespace {

constexpr std::size_t max_readers = 4;
constexpr std::size_t chunk_bytes = 200;

struct oracle_team {
    std::uint32_t replicas = 0;
    std::uint32_t vms = 0;
    std::uint64_t parameters_version = 0;
};

struct oracle_replica {
    std::string team;
    schema::replica_phase phase = schema::forming;
    std::set<std::string> held;

    bool live() const { return phase != schema::retiring; }
};

/** A naive implementation of the outcomes and the state that fleet_state must reach. */
struct oracle {
    std::uint64_t next = 1;
    std::uint64_t version = 0;
    std::map<std::string, oracle_team> teams;
    std::set<std::string> drained;
    std::map<std::uint64_t, oracle_replica> replicas;
    std::vector<schema::journal_record> appended;

    bool is_held(const std::string& vm) const
    {
        return std::any_of(replicas.begin(), replicas.end(),
                           [&](const auto& item) { return item.second.held.contains(vm); });
    }

    bool is_duplicate(const schema::journal_record& record) const
    {
        return std::any_of(appended.begin(), appended.end(),
                           [&](const auto& earlier) { return earlier.id() == record.id(); });
    }

    bool accepts_formation(const schema::replica_formation& asked) const
    {
        const auto team = teams.find(asked.team());
        if (team == teams.end() ||
            asked.configuration_version() < team->second.parameters_version ||
            asked.configuration_version() > version ||
            asked.vms_size() != static_cast<int>(team->second.vms)) {
            return false;
        }
        std::set<std::string> listed;
        for (const std::string& vm : asked.vms()) {
            if (!listed.insert(vm).second || is_held(vm) || drained.contains(vm)) {
                return false;
            }
        }
        std::uint32_t live = 0;
        std::uint32_t allowed = team->second.replicas;
        for (const auto& [id, item] : replicas) {
            const bool counts = item.live() && item.team == asked.team();
            live += counts ? 1 : 0;
            allowed += counts && id == asked.replaces() ? 1 : 0;
        }
        return live < allowed;
    }

    bool in_phase(std::uint64_t id, bool wanted_forming, bool wanted_serving,
                  bool wanted_retiring) const
    {
        const auto found = replicas.find(id);
        return found != replicas.end() &&
               ((wanted_forming && found->second.phase == schema::forming) ||
                (wanted_serving && found->second.phase == schema::serving) ||
                (wanted_retiring && found->second.phase == schema::retiring));
    }

    bool accepts(const schema::journal_record& record) const
    {
        if (is_duplicate(record) || record.format() > 1) {
            return false;
        }
        if (record.has_configuration()) {
            return record.configuration().base_version() == version &&
                   record.configuration().configuration().has_weights();
        }
        if (record.has_formation()) {
            return accepts_formation(record.formation());
        }
        if (record.has_serving()) {
            return in_phase(record.serving().replica_id(), true, false, false);
        }
        if (record.has_retirement()) {
            return in_phase(record.retirement().replica_id(), true, true, false);
        }
        return record.has_release() &&
               in_phase(record.release().replica_id(), false, false, true) &&
               replicas.at(record.release().replica_id()).held.contains(record.release().vm());
    }

    void configure(const schema::fleet_configuration& configuration)
    {
        const auto before = std::exchange(teams, {});
        const auto& parameters = configuration.templates(0).parameters();
        for (const schema::team& team : configuration.teams()) {
            oracle_team made{parameters.replicas(), parameters.vms_per_replica(), version};
            const auto previous = before.find(team.name());
            if (previous != before.end() && previous->second.replicas == made.replicas &&
                previous->second.vms == made.vms) {
                made.parameters_version = previous->second.parameters_version;
            }
            teams[team.name()] = made;
        }
        drained = {configuration.drained_vms().begin(), configuration.drained_vms().end()};
    }

    void append(const schema::journal_record& record)
    {
        const bool accepted = accepts(record);
        const std::uint64_t offset = next++;
        appended.push_back(record);
        if (!accepted) {
            return;
        }
        if (record.has_configuration()) {
            version = offset;
            configure(record.configuration().configuration());
        }
        else if (record.has_formation()) {
            const auto& vms = record.formation().vms();
            replicas[offset] = {
                record.formation().team(), schema::forming, {vms.begin(), vms.end()}};
        }
        else if (record.has_serving()) {
            replicas.at(record.serving().replica_id()).phase = schema::serving;
        }
        else if (record.has_retirement()) {
            replicas.at(record.retirement().replica_id()).phase = schema::retiring;
        }
        else {
            oracle_replica& retiring = replicas.at(record.release().replica_id());
            retiring.held.erase(record.release().vm());
            if (retiring.held.empty()) {
                replicas.erase(record.release().replica_id());
            }
        }
    }
};

/** The stream, and readers that started at different offsets. */
struct readers_under_test {
    std::vector<std::string> payloads; // The record at offset n has index n - 1.
    std::vector<std::shared_ptr<const fleet_state>> readers{std::make_shared<fleet_state>()};
    std::size_t checkpoints = 0;

    /** Appends a payload and applies it in every reader; asserts that their outcomes are equal.
     * \return the outcome.
     */
    record_outcome append(std::string payload)
    {
        payloads.push_back(std::move(payload));
        std::optional<record_outcome> agreed;
        for (auto& reader : readers) {
            apply_result result = reader->apply_payload(payloads.back(), payloads.size());
            RC_ASSERT((!agreed || *agreed == result.outcome));
            agreed = result.outcome;
            reader = result.state;
            RC_ASSERT(reader->offset() == payloads.size());
        }
        return *agreed;
    }
};

void check_state(const fleet_state& state, const oracle& model)
{
    RC_ASSERT(state.configuration_version() == model.version);
    RC_ASSERT(state.replicas().size() == model.replicas.size());
    std::set<std::string> seen;
    for (const auto& [id, item] : state.replicas()) {
        const oracle_replica& expected = model.replicas.at(id);
        RC_ASSERT(item.phase == expected.phase);
        for (const replica_vm& member : item.members) {
            RC_ASSERT(member.released != expected.held.contains(member.vm));
            RC_ASSERT((member.released || seen.insert(member.vm).second));
            RC_ASSERT((member.released || state.holder_of(member.vm) == id));
        }
    }
}

using journal_command = rc::state::Command<oracle, readers_under_test>;

/** A command that appends one record built for the oracle's current state. */
struct append_command : journal_command {
    virtual schema::journal_record record(const oracle& model) const = 0;

    static std::string id(const oracle& model) { return "r" + std::to_string(model.next); }

    /** \return the id of one of the replicas, or 0 when there is none. */
    static std::uint64_t pick_replica(const oracle& model, std::size_t pick)
    {
        if (model.replicas.empty()) {
            return 0;
        }
        const auto steps = static_cast<std::ptrdiff_t>(pick % model.replicas.size());
        return std::next(model.replicas.begin(), steps)->first;
    }

    void apply(oracle& model) const override { model.append(record(model)); }

    void run(const oracle& model, readers_under_test& sut) const override
    {
        const schema::journal_record made = record(model);
        const record_outcome outcome = sut.append(made.SerializeAsString());
        RC_ASSERT(outcome.accepted() == model.accepts(made));
        RC_ASSERT((outcome.status == record_status::duplicate) == model.is_duplicate(made));
        const oracle after = nextState(model);
        for (const auto& reader : sut.readers) {
            check_state(*reader, after);
        }
    }
};

struct publish : append_command {
    bool both = *rc::gen::arbitrary<bool>();
    bool stale = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    bool invalid = *rc::gen::weightedElement<bool>({{6, false}, {1, true}});
    std::uint32_t replicas = *rc::gen::inRange<std::uint32_t>(0, 4);
    std::uint32_t vms = *rc::gen::inRange<std::uint32_t>(1, 3);
    int drained = *rc::gen::inRange(0, 8);

    schema::journal_record record(const oracle& model) const override
    {
        auto configuration = both ? small_configuration({"t", "u"}, replicas, vms)
                                  : small_configuration({"t"}, replicas, vms);
        if (drained > 4) {
            configuration.add_drained_vms("vm-" + std::to_string(drained));
        }
        if (invalid) {
            configuration.clear_weights();
        }
        const std::uint64_t base = stale && model.version > 0 ? model.version - 1 : model.version;
        return configuration_record(id(model), base, configuration);
    }
    void show(std::ostream& out) const override { out << "publish " << replicas << "x" << vms; }
};

struct form_replica : append_command {
    bool first_team = *rc::gen::arbitrary<bool>();
    std::vector<int> vms = *rc::gen::container<std::vector<int>>(
        *rc::gen::inRange<std::size_t>(1, 3), rc::gen::inRange(0, 8));
    bool old_version = *rc::gen::weightedElement<bool>({{4, false}, {1, true}});
    bool newer_format = *rc::gen::weightedElement<bool>({{9, false}, {1, true}});
    std::size_t replaces = *rc::gen::inRange<std::size_t>(0, 12);

    schema::journal_record record(const oracle& model) const override
    {
        std::vector<std::string> names;
        for (const int vm : vms) {
            names.push_back("vm-" + std::to_string(vm));
        }
        const std::uint64_t version =
            old_version && model.version > 0 ? model.version - 1 : model.version;
        auto made = formation_record(id(model), first_team ? "t" : "u", version, names);
        if (replaces > 6) {
            made.mutable_formation()->set_replaces(pick_replica(model, replaces));
        }
        made.set_format(newer_format ? 2 : 1);
        return made;
    }
    void show(std::ostream& out) const override { out << "form of " << vms.size(); }
};

struct move_replica : append_command {
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 8);
    bool serve = *rc::gen::arbitrary<bool>();

    schema::journal_record record(const oracle& model) const override
    {
        const std::uint64_t replica = pick_replica(model, pick);
        return serve ? serving_record(id(model), replica) : retirement_record(id(model), replica);
    }
    void show(std::ostream& out) const override { out << (serve ? "serve " : "retire ") << pick; }
};

struct release_vm : append_command {
    std::size_t pick = *rc::gen::inRange<std::size_t>(0, 8);
    std::size_t vm = *rc::gen::inRange<std::size_t>(0, 4);

    schema::journal_record record(const oracle& model) const override
    {
        const std::uint64_t replica = pick_replica(model, pick);
        std::string name = "vm-" + std::to_string(vm);
        const auto found = model.replicas.find(replica);
        if (found != model.replicas.end() && vm > 0) {
            name = *std::next(found->second.held.begin(),
                              static_cast<std::ptrdiff_t>(vm % found->second.held.size()));
        }
        return release_record(id(model), replica, name);
    }
    void show(std::ostream& out) const override { out << "release " << pick << " " << vm; }
};

/** Appends a copy of an earlier record. */
struct copy_record : append_command {
    std::size_t back = *rc::gen::inRange<std::size_t>(1, 60);

    void checkPreconditions(const oracle& model) const override { RC_PRE(!model.appended.empty()); }
    schema::journal_record record(const oracle& model) const override
    {
        const std::size_t size = model.appended.size();
        return model.appended[size - std::min(back, size)];
    }
    void show(std::ostream& out) const override { out << "copy " << back; }
};

struct append_garbage : journal_command {
    std::string bytes = "\xff" + *rc::gen::string<std::string>();

    void apply(oracle& model) const override { ++model.next; }
    void run(const oracle& model, readers_under_test& sut) const override
    {
        RC_ASSERT(!sut.append(bytes).accepted());
        check_state(*sut.readers.front(), model);
    }
    void show(std::ostream& out) const override { out << "garbage"; }
};

/** Appends one chunk of an incomplete checkpoint, which must change nothing. */
struct append_chunk : journal_command {
    std::uint64_t covers = *rc::gen::inRange<std::uint64_t>(0, 50);

    void apply(oracle& model) const override { ++model.next; }
    void run(const oracle& model, readers_under_test& sut) const override
    {
        schema::journal_record record;
        record.set_id("r1");
        record.set_format(1);
        record.mutable_checkpoint()->set_covers_offset(covers);
        RC_ASSERT(sut.append(record.SerializeAsString()).status == record_status::neutral);
        check_state(*sut.readers.front(), model);
    }
    void show(std::ostream& out) const override { out << "chunk " << covers; }
};

/** Starts a new reader from the chunks of a checkpoint that any reader wrote; the chunks arrive in
 * reverse order and twice.
 */
struct checkpoint_and_start : journal_command {
    std::size_t writer = *rc::gen::inRange<std::size_t>(0, max_readers);

    std::vector<schema::journal_record> records(const fleet_state& state, std::size_t number) const
    {
        std::vector<schema::journal_record> made;
        const std::string id = "c" + std::to_string(number);
        for (auto& chunk : split_snapshot(state.to_snapshot(), id, chunk_bytes)) {
            made.emplace_back();
            made.back().set_id(id + "/" + std::to_string(chunk.index()));
            *made.back().mutable_checkpoint() = std::move(chunk);
        }
        return made;
    }
    void run(const oracle& model, readers_under_test& sut) const override
    {
        const auto source = sut.readers[writer % sut.readers.size()];
        const auto made = records(*source, ++sut.checkpoints);
        checkpoint_assembler assembler;
        std::optional<schema::state_snapshot> joined;
        const auto before = sut.readers.front();
        for (std::size_t left = made.size(); left > 0; --left) {
            joined = assembler.add(made[left - 1].checkpoint());
            (void)assembler.add(made[left - 1].checkpoint());
        }
        RC_ASSERT(joined.has_value());
        auto started = fleet_state::from_snapshot(*joined);
        RC_ASSERT(started.has_value());
        RC_ASSERT(**started == *before);
        check_state(**started, model);
        if (sut.readers.size() == max_readers) {
            sut.readers.erase(sut.readers.begin() + 1);
        }
        sut.readers.push_back(*started);
    }
    void show(std::ostream& out) const override { out << "checkpoint by " << writer; }
};

} // namespace

TEST_CASE("readers that start at any offset reach the same outcomes as the oracle")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=300 max_size=120", 0);
    CHECK(rc::check([] {
        oracle model;
        readers_under_test sut;
        rc::state::check(
            model, sut,
            rc::state::gen::execOneOfWithArgs<publish, form_replica, form_replica, form_replica,
                                              move_replica, move_replica, release_vm, release_vm,
                                              copy_record, append_garbage, append_chunk,
                                              checkpoint_and_start>());
        for (const auto& reader : sut.readers) {
            RC_ASSERT(*reader == *sut.readers.front());
        }
    }));
}
