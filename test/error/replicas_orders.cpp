/** \file
 * Tests orders to engines that don't check fencing, and holders that pause, start or change.
 */
#include <doctest/doctest.h>

#include "support/replica_fleet.h"

using namespace chervildyke;
using test::fake_engines;
using test::make_configuration;
using test::replica_fleet;
using test::replica_fleet_options;

namespace {

constexpr std::uint64_t gigabyte = 1'000'000'000;
constexpr duration quarantine = 3s;

due_order join_of(const std::string& vm, replica_id id)
{
    due_order due;
    due.vm = vm;
    due.address = vm;
    due.kind = schema::order_join;
    due.replica = id;
    due.model = "oak-large";
    return due;
}

/** One order sender over one engine that obeys any order. */
struct one_holder {
    explicit one_holder(bool checks_fencing) : clock(context), engines(1e9)
    {
        engines.add("fab-1-0", "fab-1");
        engines.at("fab-1-0").checks_fencing = checks_fencing;
        const auto role = [](const std::string&) { return vm_role::engine; };
        table = std::make_unique<report_table>("entry-0", watch_bounds{}, role);
        schema::vm_list_reply list;
        *list.add_vms() = engines.at("fab-1-0").entry;
        table->apply_list(list, monotonic_clock::now());
        hear();
        engine_order_options options;
        options.engines_check_fencing = checks_fencing;
        options.order_quarantine = quarantine;
        orders = std::make_unique<engine_orders>(context.get_executor(), "entry-0", *table,
                                                 engines.client(), options);
    }

    void hear()
    {
        table->note_answer("fab-1-0", engines.report_of("fab-1-0"), monotonic_clock::now());
    }

    /** Ticks as the keeper does, with one order due. */
    void run(const due_order& due, duration span, const std::vector<std::string>& alive)
    {
        for (duration passed{0}; passed < span; passed += 100ms) {
            orders->carry_out({due}, alive, monotonic_clock::now());
            clock.advance(100ms);
        }
    }

    test::fake_engine& engine() { return engines.at("fab-1-0"); }

    boost::asio::io_context context;
    manual_clock clock;
    fake_engines engines;
    std::unique_ptr<report_table> table;
    std::unique_ptr<engine_orders> orders;
};

} // namespace

TEST_CASE("a new holder waits for the quarantine when engines don't check fencing")
{
    one_holder holder(false);
    holder.run(join_of("fab-1-0", 7), 2900ms, {"entry-0"});
    CHECK(holder.orders->sent() == 0);
    holder.run(join_of("fab-1-0", 7), 400ms, {"entry-0"});
    CHECK(holder.orders->sent() == 1);
    CHECK(holder.engine().replica_id == 7);
}

TEST_CASE("a holder that was paused counts as new, and one that is not the holder is silent")
{
    one_holder holder(false);
    holder.run(join_of("fab-1-0", 7), 4s, {"entry-0"});
    REQUIRE(holder.engine().replica_id == 7);
    const auto sent = holder.orders->sent();
    holder.clock.advance(20s); // The holder does not tick.
    holder.run(join_of("fab-1-0", 9), 2900ms, {"entry-0"});
    CHECK(holder.orders->sent() == sent);
    CHECK(holder.engine().replica_id == 7);
    holder.run(join_of("fab-1-0", 9), 400ms, {"entry-0"});
    CHECK(holder.engine().replica_id == 9);
    holder.run(join_of("fab-1-0", 11), 5s, {"entry-9"});
    CHECK(holder.engine().replica_id == 9);
}

TEST_CASE("an order whose fate is unclear keeps orders for other replicas back")
{
    one_holder holder(false);
    holder.run(join_of("fab-1-0", 7), 2950ms, {"entry-0"});
    holder.engine().order_delay = 2s; // Beyond the sender's timeout; it arrives all the same.
    holder.run(join_of("fab-1-0", 7), 400ms, {"entry-0"});
    holder.engine().order_delay = 0s;
    holder.run(join_of("fab-1-0", 9), 2s, {"entry-0"});
    CHECK(holder.engine().replica_id != 9);
    holder.run(join_of("fab-1-0", 9), 2s, {"entry-0"});
    CHECK(holder.engine().replica_id == 9);
    holder.clock.advance(10s);
    CHECK(holder.engine().replica_id == 9);
}

TEST_CASE("copies of an order change nothing, and a dissenting engine gets an order anew")
{
    one_holder holder(true);
    holder.run(join_of("fab-1-0", 7), 5s, {"entry-0"});
    CHECK(holder.orders->sent() >= 2);
    CHECK(holder.engine().orders_obeyed == 1);
    holder.engine().replica_id = 0;
    holder.engine().fencing = 0;
    holder.clock.advance(10ms);
    holder.hear();
    holder.run(join_of("fab-1-0", 7), 3s, {"entry-0"});
    CHECK(holder.engine().replica_id == 7);
}

TEST_CASE("a late old order makes its engine dissent, which is seen before a call is served again")
{
    replica_fleet_options options;
    options.keeper.repair.engines_check_fencing = false;
    options.keeper.repair.order_quarantine = quarantine;
    replica_fleet fleet(options);
    for (int i = 0; i < 3; ++i) {
        fleet.engines.add("fab-1-" + std::to_string(i), "fab-1");
        fleet.engines.at("fab-1-" + std::to_string(i)).checks_fencing = false;
    }
    fleet.start();
    fleet.advance(3s);
    fleet.publish(make_configuration({{"oak", 1, 2, 1}}, gigabyte, gigabyte));
    fleet.advance(30s);
    REQUIRE(fleet.serving("oak") == 1);
    const replica held = fleet.journal().replicas().begin()->second;
    const std::string victim = held.members[1].vm;
    schema::engine_order late;
    late.set_order_id("late");
    late.set_kind(schema::order_join);
    late.set_replica_id(held.id - 1);
    late.set_fencing(held.id - 1);
    late.set_model("oak-large");
    fleet.engines.at(victim).order_delay = 5s; // The order that mends it takes its time.
    fleet.engines.deliver(victim, late);
    CHECK(fleet.engines.at(victim).replica_id == held.id - 1);
    fleet.advance(1200ms);
    for (std::size_t control = 0; control < 3; ++control) {
        CHECK(fleet.serving("oak", control) == 0);
    }
    fleet.advance(10s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(fleet.engines.at(victim).replica_id == held.id);
    for (const std::string& complaint : fleet.broken_invariants()) {
        FAIL_CHECK(complaint);
    }
}

TEST_CASE("a control that is behind the journal does not order an engine out of a newer replica")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    fake_engines engines(1e9);
    engines.add("fab-1-0", "fab-1");
    report_table table("entry-0", watch_bounds{},
                       [](const std::string&) { return vm_role::engine; });
    schema::vm_list_reply list;
    *list.add_vms() = engines.at("fab-1-0").entry;
    table.apply_list(list, monotonic_clock::now());
    engines.at("fab-1-0").replica_id = 50;
    engines.at("fab-1-0").fencing = 50;
    table.note_answer("fab-1-0", engines.report_of("fab-1-0"), monotonic_clock::now());
    table.refresh(monotonic_clock::now());
    const fleet_state behind;
    CHECK(find_due_orders(behind, table.knowledge(), {}, {}, monotonic_clock::now()).empty());
}
