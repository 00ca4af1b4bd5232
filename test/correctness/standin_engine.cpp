/** \file
 * Tests that the simulated engines and services check commands and calls as strictly as real
 * ones, and show the same faults. Less strict stand-ins would hide faults of the system.
 */
#include <doctest/doctest.h>

#include "base/http_client.h"
#include "external/http_external.h"
#include "external/json_message.h"
#include "standin/answer_token.h"
#include "standin/plain_service.h"
#include "standin/simulated_engines.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

schema::standin_engine_settings make_settings(bool check_fencing)
{
    schema::standin_engine_settings settings;
    settings.set_fault_listen("127.0.0.1:0");
    settings.set_weight_store("127.0.0.1:1");
    settings.set_check_fencing(check_fencing);
    settings.set_token_time_us(1000);
    for (const char* name : {"w1", "w2", "w3"}) {
        schema::standin_vm& vm = *settings.add_vms();
        vm.set_vm(name);
        vm.set_address("127.0.0.1:0");
    }
    return settings;
}

struct engine_fixture {
    explicit engine_fixture(bool check_fencing)
        : engines(context.get_executor(), make_settings(check_fencing))
    {
        REQUIRE(engines.listen());
        client = http_engine_client(http);
    }

    std::string address(const std::string& vm) const
    {
        return "127.0.0.1:" + std::to_string(engines.port(vm));
    }

    asio::awaitable<bool> send_join(std::string vm, std::uint64_t replica)
    {
        schema::engine_order command;
        command.set_kind(schema::order_join);
        command.set_order_id(vm + "-" + std::to_string(replica));
        command.set_replica_id(replica);
        command.set_fencing(replica);
        command.set_model("m");
        for (const char* name : {"w1", "w2"}) {
            schema::engine_peer& peer = *command.add_group();
            peer.set_vm(name);
            peer.set_address(address(name));
        }
        auto reply = co_await client.order(address(vm), command, 1s);
        co_return reply && reply->accepted();
    }

    /** \return the text of the answer, or the refusal's code, followed by "not_run" if it says so;
     * "broken" without a reply.
     */
    asio::awaitable<std::string> generate(schema::engine_call call)
    {
        http_request request;
        request.method = "POST";
        request.target = "/generate";
        request.body = to_json(call);
        auto reply = co_await http->call(address("w1"), request);
        if (!reply) {
            co_return "broken";
        }
        schema::refusal refusal;
        if (reply->status != 200 && from_json(reply->body, refusal)) {
            co_return refusal.code() + (refusal.not_run() ? " not_run" : "");
        }
        std::string text;
        for (std::size_t at = 0; (at = reply->body.find("data: ", at)) != std::string::npos;) {
            const std::size_t end = reply->body.find('\n', at);
            schema::engine_chunk chunk;
            from_json(reply->body.substr(at + 6, end - at - 6), chunk);
            text += chunk.text();
            at = end;
        }
        co_return text;
    }

    static schema::engine_call make_call(std::uint64_t replica, const std::string& attempt)
    {
        schema::engine_call made;
        made.set_attempt_id(attempt);
        made.set_replica_id(replica);
        made.set_fencing(replica);
        made.set_prompt("please [[oak n=6]]");
        return made;
    }

    void inject_fault(const std::string& vm, const std::string& name)
    {
        schema::fault_request request;
        request.set_vm(vm);
        request.set_fault(name);
        CHECK(engines.apply(request));
    }

    asio::io_context context;
    standin::simulated_engines engines;
    std::shared_ptr<http_client> http = std::make_shared<http_client>(context.get_executor());
    engine_client client;
};

std::string expected_answer(std::uint32_t begin, std::uint32_t end)
{
    std::string text;
    for (std::uint32_t index = begin; index < end; ++index) {
        text += standin::answer_token("oak n=6", index);
    }
    return text;
}

} // namespace

TEST_CASE("a replica serves only while all members are ready, and else refuses calls as not run")
{
    engine_fixture fixture(true);
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        CHECK(co_await fixture.send_join("w1", 7));
        auto call = engine_fixture::make_call(7, "a");
        std::string answer = co_await fixture.generate(call);
        CHECK(answer == "group_incomplete not_run");
        CHECK(co_await fixture.send_join("w2", 7));
        answer = co_await fixture.generate(call);
        CHECK(answer == expected_answer(0, 6));
        fixture.inject_fault("w2", "pause");
        call.set_attempt_id("b");
        answer = co_await fixture.generate(call);
        CHECK(answer == "group_incomplete not_run");
        fixture.inject_fault("w2", "resume");
        answer = co_await fixture.generate(call);
        CHECK(answer == expected_answer(0, 6));
        fixture.inject_fault("w2", "die");
        call.set_attempt_id("c");
        answer = co_await fixture.generate(call);
        CHECK(answer == "group_incomplete not_run");
    });
}

TEST_CASE("a call for another replica is refused; an attempt can be resumed and continued")
{
    engine_fixture fixture(true);
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        CHECK(co_await fixture.send_join("w1", 7));
        CHECK(co_await fixture.send_join("w2", 7));
        auto call = engine_fixture::make_call(6, "a");
        std::string answer = co_await fixture.generate(call);
        CHECK(answer == "other_replica not_run");
        call = engine_fixture::make_call(7, "a");
        call.set_resume_only(true);
        answer = co_await fixture.generate(call);
        CHECK(answer == "unknown_attempt");
        call.set_resume_only(false);
        answer = co_await fixture.generate(call);
        CHECK(answer == expected_answer(0, 6));
        call.set_resume_only(true);
        call.set_resume_from(4);
        answer = co_await fixture.generate(call);
        CHECK(answer == expected_answer(4, 6));
        call = engine_fixture::make_call(7, "continued");
        call.set_prior_tokens(2);
        answer = co_await fixture.generate(call);
        CHECK(answer == expected_answer(2, 6));
    });
}

TEST_CASE("a command with an old fencing number is refused only by engines that check fencing")
{
    for (const bool checks_fencing : {true, false}) {
        engine_fixture fixture(checks_fencing);
        test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
            CHECK(co_await fixture.send_join("w1", 9));
            const bool accepted = co_await fixture.send_join("w1", 8);
            CHECK(accepted == !checks_fencing);
            auto report = co_await fixture.client.report(fixture.address("w1"), 1s);
            CHECK(report->replica_id() == (checks_fencing ? 9 : 8));
        });
    }
}

TEST_CASE("a restarted engine belongs to no replica and has another incarnation")
{
    engine_fixture fixture(true);
    test::run_task(fixture.context, [&]() -> asio::awaitable<void> {
        CHECK(co_await fixture.send_join("w1", 7));
        auto before = co_await fixture.client.report(fixture.address("w1"), 1s);
        fixture.inject_fault("w1", "restart");
        auto after = co_await fixture.client.report(fixture.address("w1"), 1s);
        CHECK(before->replica_id() == 7);
        CHECK(after->replica_id() == 0);
        CHECK(before->incarnation() != after->incarnation());
    });
}

TEST_CASE("the service stand-in counts each run of an order, even if its reply was dropped")
{
    asio::io_context context;
    schema::standin_service_settings settings;
    settings.set_fault_listen("127.0.0.1:0");
    schema::standin_vm& vm = *settings.add_vms();
    vm.set_vm("s1");
    vm.set_address("127.0.0.1:0");
    standin::plain_service service(context.get_executor(), settings);
    REQUIRE(service.listen());
    http_client client(context.get_executor());
    test::run_task(context, [&]() -> asio::awaitable<void> {
        schema::fault_request drop_reply;
        drop_reply.set_vm("s1");
        drop_reply.set_fault("drop_reply");
        CHECK(service.apply(drop_reply));
        http_request request;
        request.method = "POST";
        request.target = "/operations/sample_order";
        request.headers = {{"Idempotency-Key", "k"}, {"X-Attempt-Id", "a"}};
        const std::string address = "127.0.0.1:" + std::to_string(service.port("s1"));
        auto lost = co_await client.call(address, request);
        CHECK(!lost);
        auto second = co_await client.call(address, request);
        CHECK(second->status == 200);
    });
    REQUIRE(service.ground_truth().runs_size() == 1);
    CHECK(service.ground_truth().runs(0).times() == 2);
}
