/** \file
 * Guards against controls that miss the loss of a VM or fabric domain, or that report one which did
 * not happen: because one watcher can't reach a VM, after a pause of the control, or by a straggler
 * check across models.
 */
#include <doctest/doctest.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "replicas/vm_watcher.h"
#include "support/fake_engines.h"

using namespace chervildyke;
using test::fake_engines;

namespace {

vm_role role_of(const std::string& pool)
{
    return pool == "chervil-pool" ? vm_role::engine : vm_role::other;
}

/** Controls that watch the same engines and pull reports from each other. */
struct watching_fleet {
    explicit watching_fleet(std::size_t controls) : clock(context), engines(1e9)
    {
        for (std::size_t i = 0; i < controls; ++i) {
            names.push_back("entry-" + std::to_string(i));
        }
        for (const std::string& name : names) {
            start(name);
        }
    }

    void start(const std::string& name)
    {
        tables[name] = std::make_unique<report_table>(name, watch_bounds{}, role_of);
        vm_watcher_hooks hooks;
        hooks.vm_list = engines.vm_list();
        hooks.engine = engines.client();
        hooks.engine.report = [this, name, client = engines.client()](std::string vm,
                                                                      duration timeout) {
            ++polls[name];
            const bool reachable = unreachable_pairs.count({name, vm}) == 0;
            return client.report(reachable ? vm : std::string("nowhere"), timeout);
        };
        hooks.alive_members = [this] { return names; };
        hooks.pull_reports =
            [this](std::string peer, schema::report_request request,
                   duration) -> boost::asio::awaitable<std::optional<schema::report_batch>> {
            co_await sleep_for(2ms);
            co_return watchers.at(peer)->serve_reports(request);
        };
        watchers[name] = std::make_unique<vm_watcher>(context.get_executor(), name, *tables[name],
                                                      std::move(hooks), vm_watcher_options{});
        boost::asio::co_spawn(context, watchers[name]->run(), boost::asio::detached);
    }

    const observed_vm& observed_by(const std::string& control, const std::string& vm)
    {
        return tables.at(control)->fleet().vms.at(vm);
    }

    boost::asio::io_context context;
    manual_clock clock;
    fake_engines engines;
    std::vector<std::string> names;

    /** Controls and the VMs that they can't reach. */
    std::set<std::pair<std::string, std::string>> unreachable_pairs;

    std::map<std::string, std::size_t> polls;
    std::map<std::string, std::unique_ptr<report_table>> tables;
    std::map<std::string, std::unique_ptr<vm_watcher>> watchers;
};

void add_domain(fake_engines& engines, const std::string& domain, int count)
{
    for (int i = 0; i < count; ++i) {
        engines.add(domain + "-" + std::to_string(i), domain);
    }
}

} // namespace

TEST_CASE("every control observes each VM, its loss within the detection bound, and its return")
{
    watching_fleet fleet(4);
    add_domain(fleet.engines, "fab-1", 6);
    fleet.clock.advance(5s);
    fleet.engines.crash("fab-1-2");
    fleet.clock.advance(1400ms);
    for (const std::string& name : fleet.names) {
        CHECK_FALSE(fleet.observed_by(name, "fab-1-2").lost_since);
    }
    fleet.clock.advance(900ms);
    for (const std::string& name : fleet.names) {
        CHECK(fleet.observed_by(name, "fab-1-2").lost_since);
        CHECK_FALSE(fleet.observed_by(name, "fab-1-3").lost_since);
        CHECK(fleet.tables.at(name)->fleet().unreachable_domains.empty());
    }
    fleet.engines.reboot("fab-1-2");
    fleet.clock.advance(2s);
    for (const std::string& name : fleet.names) {
        CHECK_FALSE(fleet.observed_by(name, "fab-1-2").lost_since);
        CHECK(fleet.observed_by(name, "fab-1-2").report->incarnation() == "fab-1-2-1");
    }
}

TEST_CASE(
    "a VM that one watcher can't reach is not lost, and each VM is polled once in an interval")
{
    watching_fleet fleet(6);
    add_domain(fleet.engines, "fab-1", 12);
    fleet.clock.advance(5s);
    fleet.polls.clear();
    fleet.clock.advance(10s);
    std::size_t poll_count = 0;
    for (const auto& [name, count] : fleet.polls) {
        poll_count += count;
    }
    CHECK(poll_count <= 12 * 20 * 12 / 10); // 12 VMs, 20 intervals, a fifth for overdue reports.
    for (const auto& [vm, engine] : fleet.engines.all()) {
        fleet.unreachable_pairs.insert({fleet.names[0], vm});
    }
    fleet.clock.advance(10s);
    for (const std::string& name : fleet.names) {
        for (const auto& item : fleet.tables.at(name)->fleet().vms) {
            CHECK_MESSAGE(!item.second.lost_since, name, " lost ", item.first);
        }
        CHECK_FALSE(fleet.tables.at(name)->fleet().isolated);
    }
}

TEST_CASE("a domain whose VMs all stop is unreachable before any of its VMs is lost on its own")
{
    watching_fleet fleet(3);
    add_domain(fleet.engines, "fab-1", 6);
    add_domain(fleet.engines, "fab-2", 6);
    fleet.clock.advance(5s);
    for (int i = 0; i < 6; ++i) {
        fleet.engines.crash("fab-1-" + std::to_string(i));
    }
    bool lost_before_unreachable = false;
    for (int i = 0; i < 30; ++i) {
        fleet.clock.advance(100ms);
        for (const std::string& name : fleet.names) {
            const observed_fleet& observed = fleet.tables.at(name)->fleet();
            for (const auto& [name_of_vm, vm] : observed.vms) {
                lost_before_unreachable = lost_before_unreachable ||
                                          (vm.lost_since && !observed.in_unreachable_domain(vm));
            }
        }
    }
    CHECK_FALSE(lost_before_unreachable);
    CHECK(fleet.tables.at("entry-1")->fleet().unreachable_domains.count("fab-1") == 1);
    CHECK(fleet.tables.at("entry-1")->fleet().unreachable_domains.count("fab-2") == 0);
}

TEST_CASE("a control that was paused does not count its own pause as silence of the VMs")
{
    boost::asio::io_context context;
    manual_clock clock(context);
    fake_engines engines(1e9);
    add_domain(engines, "fab-1", 3);
    report_table table("entry-0", watch_bounds{}, role_of);
    schema::vm_list_reply list;
    for (const auto& [name, engine] : engines.all()) {
        *list.add_vms() = engine.entry;
    }
    table.apply_list(list, monotonic_clock::now());
    table.refresh(monotonic_clock::now());
    for (const auto& [name, engine] : engines.all()) {
        table.add_report(name, engines.report_of(name), monotonic_clock::now());
    }
    clock.advance(20s);
    table.refresh(monotonic_clock::now());
    CHECK_FALSE(table.fleet().vms.at("fab-1-0").lost_since);
    CHECK_FALSE(table.fleet().vms.at("fab-1-0").answered_within(3s, monotonic_clock::now()));
    CHECK_FALSE(table.fleet().isolated);
}

TEST_CASE("a straggler is slower than the other VMs with the same model")
{
    watching_fleet fleet(2);
    add_domain(fleet.engines, "fab-1", 5);
    add_domain(fleet.engines, "fab-2", 5);
    for (const auto& [vm, engine] : fleet.engines.all()) {
        auto& mutable_engine = fleet.engines.at(vm);
        mutable_engine.replica_id = 7;
        mutable_engine.model = vm.substr(0, 5);
        mutable_engine.token_time_us = mutable_engine.model == "fab-2" ? 90'000 : 30'000;
    }
    fleet.engines.at("fab-1-4").token_time_us = 80'000;
    fleet.clock.advance(3s);
    CHECK(fleet.observed_by("entry-0", "fab-1-4").straggling_since);
    CHECK_FALSE(fleet.observed_by("entry-0", "fab-1-3").straggling_since);
    CHECK_FALSE(fleet.observed_by("entry-0", "fab-2-0").straggling_since);
}
