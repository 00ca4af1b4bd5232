/** \file
 * Guards against a late command that puts an engine into an old replica unnoticed. It comes about
 * when engines don't check fencing and a control sends commands while some of an earlier control,
 * or of its own from before a pause, are still in flight.
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

due_command join_command(const std::string& vm, replica_id id)
{
    due_command due;
    due.vm = vm;
    due.address = vm;
    due.kind = schema::order_join;
    due.replica = id;
    due.model = "oak-large";
    return due;
}

/** A command_sender with one engine. */
struct single_sender {
    explicit single_sender(bool checks_fencing) : clock(context), engines(1e9)
    {
        engines.add("fab-1-0", "fab-1");
        engines.at("fab-1-0").checks_fencing = checks_fencing;
        const auto role = [](const std::string&) { return vm_role::engine; };
        table = std::make_unique<report_table>("entry-0", watch_bounds{}, role);
        schema::vm_list_reply list;
        *list.add_vms() = engines.at("fab-1-0").entry;
        table->apply_list(list, monotonic_clock::now());
        record_current_report();
        command_sender_options options;
        options.engines_check_fencing = checks_fencing;
        options.command_quarantine = quarantine;
        sender = std::make_unique<command_sender>(context.get_executor(), "entry-0", *table,
                                                  engines.client(), options);
    }

    void record_current_report()
    {
        table->add_report("fab-1-0", engines.report_of("fab-1-0"), monotonic_clock::now());
    }

    /** Calls send_due() at intervals, as the reconciler does, with one due command. */
    void run(const due_command& due, duration span, const std::vector<std::string>& alive)
    {
        for (duration passed{0}; passed < span; passed += 100ms) {
            sender->send_due({due}, alive, monotonic_clock::now());
            clock.advance(100ms);
        }
    }

    test::fake_engine& engine() { return engines.at("fab-1-0"); }

    boost::asio::io_context context;
    manual_clock clock;
    fake_engines engines;
    std::unique_ptr<report_table> table;
    std::unique_ptr<command_sender> sender;
};

} // namespace

TEST_CASE("a newly responsible control waits for the quarantine when engines don't check fencing")
{
    single_sender control(false);
    control.run(join_command("fab-1-0", 7), 2900ms, {"entry-0"});
    CHECK(control.sender->sent_count() == 0);
    control.run(join_command("fab-1-0", 7), 400ms, {"entry-0"});
    CHECK(control.sender->sent_count() == 1);
    CHECK(control.engine().replica_id == 7);
}

TEST_CASE("a control that was paused counts as newly responsible, and others send nothing")
{
    single_sender control(false);
    control.run(join_command("fab-1-0", 7), 4s, {"entry-0"});
    REQUIRE(control.engine().replica_id == 7);
    const auto sent = control.sender->sent_count();
    control.clock.advance(20s); // No call of send_due().
    control.run(join_command("fab-1-0", 9), 2900ms, {"entry-0"});
    CHECK(control.sender->sent_count() == sent);
    CHECK(control.engine().replica_id == 7);
    control.run(join_command("fab-1-0", 9), 400ms, {"entry-0"});
    CHECK(control.engine().replica_id == 9);
    control.run(join_command("fab-1-0", 11), 5s, {"entry-9"});
    CHECK(control.engine().replica_id == 9);
}

TEST_CASE("a command with an unknown outcome delays commands for other replicas")
{
    single_sender control(false);
    control.run(join_command("fab-1-0", 7), 2950ms, {"entry-0"});
    control.engine().command_delay = 2s; // Beyond the sender's timeout; it arrives all the same.
    control.run(join_command("fab-1-0", 7), 400ms, {"entry-0"});
    control.engine().command_delay = 0s;
    control.run(join_command("fab-1-0", 9), 2s, {"entry-0"});
    CHECK(control.engine().replica_id != 9);
    control.run(join_command("fab-1-0", 9), 2s, {"entry-0"});
    CHECK(control.engine().replica_id == 9);
    control.clock.advance(10s);
    CHECK(control.engine().replica_id == 9);
}

TEST_CASE(
    "copies of a command change nothing, and an engine that lost its replica is commanded again")
{
    single_sender control(true);
    control.run(join_command("fab-1-0", 7), 5s, {"entry-0"});
    CHECK(control.sender->sent_count() >= 2);
    CHECK(control.engine().executed_commands == 1);
    control.engine().replica_id = 0;
    control.engine().fencing = 0;
    control.clock.advance(10ms);
    control.record_current_report();
    control.run(join_command("fab-1-0", 7), 3s, {"entry-0"});
    CHECK(control.engine().replica_id == 7);
}

TEST_CASE(
    "a replica stops serving when a late command makes an engine leave it, until that is corrected")
{
    replica_fleet_options options;
    options.reconciler.repair.engines_check_fencing = false;
    options.reconciler.repair.command_quarantine = quarantine;
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
    const replica formed = fleet.journal().replicas().begin()->second;
    const std::string commanded_vm = formed.members[1].vm;
    schema::engine_order late_join;
    late_join.set_order_id("late");
    late_join.set_kind(schema::order_join);
    late_join.set_replica_id(formed.id - 1);
    late_join.set_fencing(formed.id - 1);
    late_join.set_model("oak-large");
    fleet.engines.at(commanded_vm).command_delay = 5s; // The correcting command is slow too.
    fleet.engines.deliver(commanded_vm, late_join);
    CHECK(fleet.engines.at(commanded_vm).replica_id == formed.id - 1);
    fleet.advance(1200ms);
    for (std::size_t control = 0; control < 3; ++control) {
        CHECK(fleet.serving("oak", control) == 0);
    }
    fleet.advance(10s);
    CHECK(fleet.serving("oak") == 1);
    CHECK(fleet.engines.at(commanded_vm).replica_id == formed.id);
    for (const std::string& violation : fleet.invariant_violations()) {
        FAIL_CHECK(violation);
    }
}

TEST_CASE("a control that is behind the journal does not command an engine out of a newer replica")
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
    table.add_report("fab-1-0", engines.report_of("fab-1-0"), monotonic_clock::now());
    table.refresh(monotonic_clock::now());
    const fleet_state behind;
    CHECK(find_due_commands(behind, table.fleet(), {}, {}, monotonic_clock::now()).empty());
}
