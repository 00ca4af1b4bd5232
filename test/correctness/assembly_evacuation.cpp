/** \file
 * Tests that replicas form and models load only outside evacuated failure domains, and that an
 * evacuated domain keeps its replicas.
 */
#include <algorithm>

#include <doctest/doctest.h>

#include "support/assembly_fixture.h"

using namespace chervildyke;

namespace {

/** Two domains, each with replicas and spares; calls have begun. */
struct evacuation_fixture : test::assembly_fixture {
    evacuation_fixture()
    {
        add_domain("a", 10);
        add_domain("b", 10);
        steps(4);
        before_first_call = false;
    }

    /** Lets a replica of the domain lose a member. */
    void lose_member(const std::string& domain)
    {
        for (const auto& [name, replica] : ledger.replicas()) {
            if (replica.members(0).id().starts_with(domain)) {
                backends.remove(replica.members(1).id(), now);
                return;
            }
        }
    }

    /** \return the commands of the next plans to the VMs of the domain. */
    std::vector<command_kind> commands_to(const std::string& domain, int plans)
    {
        std::vector<command_kind> kinds;
        for (int i = 0; i < plans; ++i) {
            for (const planned_command& planned : step().commands) {
                if (planned.vm.starts_with(domain)) {
                    kinds.push_back(planned.command.kind);
                }
            }
        }
        return kinds;
    }

    std::size_t serving_count() const { return serving("large").size() + serving("small").size(); }
};

bool only_end_replicas(const std::vector<command_kind>& kinds)
{
    return std::all_of(kinds.begin(), kinds.end(), [](command_kind kind) {
        return kind == command_kind::close_now || kind == command_kind::close_when_idle ||
               kind == command_kind::leave;
    });
}

} // namespace

// Guards against repairs and loads for a domain that is about to lose its VMs.
TEST_CASE("an evacuated domain keeps its replicas, forms none and starts no load")
{
    evacuation_fixture fixture;
    const std::size_t before = fixture.serving_count();
    fixture.evacuated = {"a"};
    CHECK(fixture.commands_to("a", 10).empty());
    CHECK(fixture.serving_count() == before);
    fixture.lose_member("a");
    const auto sent = fixture.commands_to("a", 10);
    CHECK(!sent.empty());
    CHECK(only_end_replicas(sent));
    CHECK(fixture.serving_count() == before - 1);
    fixture.evacuated.clear();
    fixture.steps(10);
    CHECK(fixture.serving_count() == before);
}

TEST_CASE("a replica that was forming when its domain was evacuated opens after its return")
{
    test::assembly_fixture fixture;
    fixture.add_domain("a", 10);
    fixture.step(); // Records the replicas.
    fixture.step(); // Sends the joins.
    fixture.evacuated = {"a"};
    const std::size_t formed = fixture.ledger.replicas().size();
    fixture.steps(5);
    CHECK(fixture.serving("large").empty());
    CHECK(fixture.ledger.replicas().size() == formed);
    fixture.evacuated.clear();
    fixture.steps(3);
    CHECK(fixture.serving("large").size() + fixture.serving("small").size() == formed);
}

// Guards against a model that forms nowhere else because its evacuated replicas reach the target.
TEST_CASE("each model gets replicas outside of the evacuated domains as far as VMs allow")
{
    evacuation_fixture fixture;
    fixture.add_domain("c", 8);
    fixture.evacuated = {"a", "b"};
    fixture.steps(40);
    for (const char* model : {"large", "small"}) {
        const auto names = fixture.serving(model);
        CAPTURE(std::string(model));
        CHECK(std::any_of(names.begin(), names.end(), [&](const std::string& name) {
            return fixture.replica(name).members(0).id().starts_with("c");
        }));
    }
}

// Guards against more concurrent loads than the weight store serves at full speed.
TEST_CASE("loads that run in an evacuated domain count towards the limit of concurrent loads")
{
    test::assembly_fixture fixture;
    fixture.add_domain("a", 10);
    fixture.add_domain("b", 10);
    fixture.before_first_call = false;
    engine_command load;
    load.kind = command_kind::stage;
    load.model = "large";
    for (int i = 0; i < 5; ++i) {
        fixture.history.note_sent("a" + std::to_string(i), load, fixture.now);
    }
    fixture.evacuated = {"a"};
    CHECK(fixture.plan().commands.size() == 2);
}
