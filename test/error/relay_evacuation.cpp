/** \file
 * Tests that servers of an evacuated failure domain get no calls while other servers fail, and that
 * an evacuation outlasts failures of the store.
 */
#include "base/task.h"
#include "platform/published_documents.h"
#include "relay/fleet_view.h"
#include "support/call_fixture.h"
#include "support/restorable_log.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

/** A node that follows a log in which the operator has evacuated domain a. */
struct view_fixture {
    view_fixture()
    {
        view = std::make_shared<fleet_view>(context.get_executor(),
                                            log.calls(std::make_shared<log_link>()),
                                            platform::make_fleet_codec(), seeded_random(1), 2s);
        view->on_configuration = [](const published_configuration_ptr&) {};
        view->is_leader = [] { return false; };
        view->on_change = [this] { ++changes; };
        write("config", R"({"version":1,"routes":[],"services":[]})");
        spawn_task(context.get_executor(), "configuration", view->follow_configuration());
        clock.advance(5s);
        write("evacuate/a", "{}");
        clock.advance(1s);
    }

    void write(const std::string& key, std::optional<std::string> value)
    {
        log.write("op", {0, key, std::move(value)});
    }

    /** \return true if the domain is evacuated all the time while the time advances. */
    bool stays_evacuated(duration span)
    {
        for (duration passed{}; passed < span && is_evacuated(); passed += 50ms) {
            clock.advance(50ms);
        }
        return is_evacuated();
    }

    bool is_evacuated() const { return view->evacuated().contains("a"); }

    asio::io_context context{1};
    manual_clock clock{context};
    restorable_log log;
    int changes = 0;
    std::shared_ptr<fleet_view> view;
};

/** A call_fixture with servers in the domains a and b. */
struct domain_fixture : call_fixture {
    explicit domain_fixture(retry_rule retry) : call_fixture(retry)
    {
        node.is_evacuated = [this](const std::string& domain) { return domain == evacuated; };
        add("i1", "a", first.server, "pool");
        add("i2", "b", second.server, "pool");
    }

    void add(const std::string& id, const std::string& domain, const http_server& server,
             const std::string& service = "desk")
    {
        backend listed;
        listed.id = id;
        listed.service = service;
        listed.failure_domain = domain;
        listed.address = "127.0.0.1:" + std::to_string(server.port());
        backends.apply(listed, monotonic_clock::now());
    }

    std::string evacuated;
};

} // namespace

TEST_CASE("an evacuation takes effect and ends with the operator's record")
{
    view_fixture fixture;
    CHECK(fixture.is_evacuated());
    CHECK(fixture.changes == 1);
    fixture.write("evacuate/a", std::nullopt);
    fixture.clock.advance(200ms);
    CHECK(!fixture.is_evacuated());
    CHECK(fixture.view->evacuation_ended_at("a"));
    CHECK(fixture.changes == 2);
}

TEST_CASE("an evacuation outlasts an outage of the store")
{
    view_fixture fixture;
    fixture.log.go_down();
    CHECK(fixture.stays_evacuated(20s));
    fixture.write("evacuate/a", std::nullopt);
    fixture.log.come_back();
    fixture.clock.advance(1s);
    CHECK(!fixture.is_evacuated());
}

// Guards against calls to the domain between the restore of a log that lacks its evacuation and the
// moment when the operator has written it again.
TEST_CASE("an evacuation stays in force until the operator writes it again to a restored log")
{
    view_fixture fixture;
    const time_point copied_at = monotonic_clock::now() - 2s;
    fixture.log.go_down();
    fixture.clock.advance(1s);
    fixture.log.restore(copied_at);
    CHECK(fixture.stays_evacuated(1900ms));
    fixture.write("evacuate/a", "{}");
    CHECK(fixture.stays_evacuated(20s));
    fixture.log.go_down();
    fixture.clock.advance(1s);
    fixture.log.restore(copied_at);
    fixture.clock.advance(10s);
    CHECK(!fixture.is_evacuated()); // It was not written again.
}

TEST_CASE("a call is refused with a time to come back if all its servers are evacuated")
{
    domain_fixture fixture(retry_rule::idempotent);
    plain_server server(fixture.context);
    fixture.add("i-1", "a", server.server);
    fixture.evacuated = "a";
    tcp::socket plain = fixture.begin_call();
    tcp::socket stream = fixture.begin_call("/a/x");
    fixture.run(300ms);
    for (tcp::socket* caller : {&plain, &stream}) {
        const received answer(*caller);
        CHECK(answer.status() == 503);
        CHECK(answer.text.find("Retry-After") != std::string::npos);
    }
    CHECK(server.calls + fixture.first.calls == 0);
}

TEST_CASE("a call in progress finishes, and no further attempt goes to an evacuated server")
{
    domain_fixture fixture(retry_rule::idempotent);
    plain_server slow(fixture.context);
    plain_server failing(fixture.context);
    plain_server evacuated(fixture.context);
    slow.delay = 400ms;
    failing.status = 500;
    fixture.add("i-1", "a", slow.server);
    tcp::socket in_progress = fixture.begin_call();
    fixture.run(100ms);
    fixture.evacuated = "a";
    fixture.add("i-2", "b", failing.server);
    fixture.add("i-3", "a", evacuated.server);
    tcp::socket failed = fixture.begin_call();
    fixture.run(900ms);
    CHECK(received(in_progress).status() == 200);
    CHECK(received(failed).status() == 500);
    CHECK(slow.calls == 1);
    CHECK(evacuated.calls == 0);
}

// Guards against a stream that resumes at a replica of an evacuated domain.
TEST_CASE("a stream whose server fails does not resume in an evacuated domain")
{
    domain_fixture fixture(retry_rule::resumable);
    fixture.evacuated = "b";
    fixture.call("k1"); // The first head breaks off; then the second one joins.
    CHECK(!fixture.is_complete);
    CHECK(fixture.first.calls == 1);
    CHECK(fixture.second.calls == 0);
}

// Guards against calls to a domain that was evacuated after the server had been chosen.
TEST_CASE("an attempt is checked again just before it is sent")
{
    domain_fixture fixture(retry_rule::idempotent);
    plain_server server(fixture.context);
    fixture.add("i-1", "a", server.server);
    int checks = 0;
    fixture.node.is_evacuated = [&checks](const std::string&) { return ++checks > 1; };
    tcp::socket caller = fixture.begin_call();
    fixture.run(300ms);
    CHECK(received(caller).status() == 503);
    CHECK(server.calls == 0);
}
