/** \file
 * Tests how the platform's documents, records, headers and commands are decoded and encoded, and
 * that malformed documents and records are rejected.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/http_server.h"
#include "platform/call_headers.h"
#include "platform/engine_calls.h"
#include "platform/published_documents.h"
#include "platform/store_client.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"desk.example","path-prefix":"/a/","kind":"streaming","timeout-ms":8000,
  "target-latency-ms":400,"priority":1,"backends":[{"service":"pool","weight":90},
  {"service":"other","weight":10}],"max-attempts":2,"public":false,"sticky":true,"resumable":true,
  "target-gap-ms":300},
 {"name":"r2","host":"desk.example","path-prefix":"/b/","kind":"non_idempotent","timeout-ms":600,
  "target-latency-ms":100,"service":"orders","max-attempts":1,"public":true}],
 "services":[{"name":"pool","health-path":"/health","max-connections":368,"engine":{"slots":17,
  "stride":5,"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,
  "loads-per-s":5.0,"loads_at_once":7,"usual":{"prompt":979,"answer":154},"models":[
  {"name":"m0","size":4,"share":0.5,"pace":1.0,"load-time-s":16.0,"warmup-s":1.6}]}},
  {"name":"orders","health-path":"/health","max-connections":110}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
  "idle-timeout-ms":15000},
 "tenants":[{"name":"counter","api-keys":["k1","k2"],"priority":2}]})";

std::string backend_entry(const std::string& state)
{
    return R"({"service":"pool","address":"10.0.0.9:80","zone":"a","version":"v1","slots":17,"state":")" +
           state + R"(","sequence":4,"born":12,"domain":"a-d0","staged":["m0"],
  "group":{"name":"r1","epoch":3,"rank":0,"state":"open"}})";
}

/** \return the outcome of a command that a VM answers with the HTTP status. */
command_outcome outcome_of_status(unsigned status)
{
    asio::io_context context{1};
    http_server server(context.get_executor(),
                       [status](http_exchange& exchange) -> asio::awaitable<void> {
                           http_reply reply;
                           reply.status = status;
                           co_await exchange.respond(std::move(reply));
                       });
    REQUIRE(server.listen("127.0.0.1", 0));
    const auto http = std::make_shared<http_client>(context.get_executor());
    const engine_calls calls = platform::make_engine_calls(http);
    backend vm;
    vm.id = "i-1";
    vm.address = "127.0.0.1:" + std::to_string(server.port());
    engine_command command;
    command.kind = command_kind::leave;
    command_outcome outcome = command_outcome::no_contact;
    test::run_task(context,
                   [&]() -> asio::awaitable<void> { outcome = co_await calls.send(vm, command); });
    return outcome;
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services and teams")
{
    const auto decoded_configuration = platform::read_configuration(configuration);
    REQUIRE(decoded_configuration);
    CHECK((*decoded_configuration)->version() == 7);
    const call_route* stream = (*decoded_configuration)->find_route("desk.example", "/a/x");
    REQUIRE(stream != nullptr);
    CHECK(stream->retry == retry_rule::resumable);
    CHECK(stream->latency_target == 400ms);
    CHECK(stream->services.size() == 2);
    const call_route* order = (*decoded_configuration)->find_route("desk.example", "/b/x");
    CHECK(order->retry == retry_rule::never);
    CHECK(order->is_public);
    CHECK((*decoded_configuration)->find_service("pool")->engine->models.front().replica_size == 4);
    CHECK((*decoded_configuration)->find_team("k2")->name == "counter");
}

TEST_CASE("a malformed configuration is rejected with a reason")
{
    CHECK_FALSE(platform::read_configuration("{"));
    const auto unknown_kind = platform::read_configuration(
        R"({"version":1,"services":[],"routes":[{"name":"r","host":"h","path-prefix":"/","kind":"odd"}]})");
    REQUIRE_FALSE(unknown_kind);
    CHECK(unknown_kind.failure().reason ==
          "route r: expected kind 'idempotent', 'non_idempotent' or 'streaming', found 'odd'");
}

TEST_CASE("a backend server's entry is decoded, and a malformed one is rejected")
{
    const auto server = platform::read_backend("i-1", backend_entry("draining"));
    REQUIRE(server);
    CHECK(server->leaving);
    CHECK(server->membership->phase == membership_phase::open);
    CHECK_FALSE(platform::read_backend("i-1", backend_entry("asleep")));
    CHECK_FALSE(platform::read_backend("i-1", R"({"service":3})"));
    CHECK_FALSE(platform::read_backend("i-1", "\xff\xfe"));
}

TEST_CASE("encoded records decode to the same records")
{
    keyed_record present;
    present.offset = 40;
    present.key = "r1";
    present.value = std::string("a\0b", 3);
    keyed_record deleted;
    deleted.offset = 41;
    deleted.key = "r2";
    const std::string offsets = std::string(7, '\0') + '\x32' + std::string(8, '\0');
    const auto read =
        platform::decode_records(offsets + platform::encode_records({present, deleted}), 40);
    REQUIRE(read);
    CHECK(read->records.records == std::vector<keyed_record>{present, deleted});
    CHECK(read->records.next_offset == 42);
    CHECK(read->topic_end == 0x32);
}

TEST_CASE("a response to log-read that is truncated within a record is rejected")
{
    keyed_record record;
    record.key = "r1";
    record.value = "value";
    const std::string bytes = std::string(16, '\0') + platform::encode_records({record});
    for (std::size_t length = 17; length < bytes.size(); ++length) {
        CHECK_FALSE(platform::decode_records(bytes.substr(0, length), 0));
    }
    CHECK_FALSE(platform::decode_records("short", 0));
}

TEST_CASE("a page of the newest records is decoded: base64 values, has-more and end-offset")
{
    const auto page = platform::decode_latest_page(
        R"({"items":[{"key":"config","value":"aGk=","offset":4}],"has-more":true,"end-offset":6})");
    REQUIRE(page);
    CHECK(page->records.front().value == "hi");
    CHECK(page->has_more);
    CHECK(page->end_offset == 6);
    CHECK_FALSE(platform::decode_latest_page(R"({"items":[]})"));
}

TEST_CASE("an attempt carries the team and never the caller's API key or team header")
{
    http_request request;
    request.method = "POST";
    request.target = "/a/x?y=1";
    request.headers = {{"Host", "desk.example"},        {"X-Attempt-Id", "i1"},
                       {"Authorization", "Token k1"},   {"x-tenant", "forged"},
                       {"X-Deadline-Ms", "8000"},       {"X-Model", "m0"},
                       {"X-Token-Usage", "1460,80"},    {"Connection", "keep-alive"},
                       {"X-Target-Instance", "forged"}, {"X-Other", "kept"}};
    const call_parameters call = platform::read_call(request);
    CHECK(call.key == "k1");
    CHECK(call.prompt_tokens == 1460);
    CHECK(call.time_left == 8000ms);
    attempt_parameters added;
    added.backend_id = "i-9";
    added.team = "counter";
    added.time_left = 7990ms;
    const http_request sent = platform::write_attempt(request, added);
    CHECK(sent.header("Authorization").empty());
    CHECK(sent.header("X-Tenant") == "counter");
    CHECK(sent.header("X-Target-Instance") == "i-9");
    CHECK(sent.header("X-Deadline-Ms") == "7990");
    CHECK(sent.header("X-Attempt-Id") == "i1");
    CHECK(sent.header("X-Other") == "kept");
    CHECK(sent.header("Last-Event-Id").empty());
    CHECK(sent.target == request.target);
}

TEST_CASE("only a 421 or X-Not-Executed marks a call as not run")
{
    CHECK(platform::read_metadata(503, {{"X-Not-Executed", "1"}}).not_run);
    CHECK(platform::read_metadata(421, {}).not_run);
    CHECK_FALSE(platform::read_metadata(503, {}).not_run);
    CHECK_FALSE(platform::read_metadata(500, {{"X-Response-Seal", "s"}}).not_run);
}

TEST_CASE("a command answered by another VM at the address has another outcome than a refusal")
{
    CHECK(outcome_of_status(421) == command_outcome::other_vm);
    CHECK(outcome_of_status(409) == command_outcome::refused);
    CHECK(outcome_of_status(412) == command_outcome::refused);
    CHECK(outcome_of_status(200) == command_outcome::begun);
    CHECK(outcome_of_status(202) == command_outcome::begun);
}

// Guards against using the members of an open head that failed to answer a command: its 503 was
// taken for the proof that it is in no replica.
TEST_CASE("a command that fails for want of room or by a fault has no known outcome")
{
    for (const unsigned failed : {400U, 404U, 429U, 500U, 502U, 503U, 504U}) {
        CAPTURE(failed);
        CHECK(outcome_of_status(failed) == command_outcome::unclear);
    }
}

TEST_CASE("the state that a VM tells of itself is read, and a malformed one is rejected")
{
    const auto state = platform::read_engine_state(
        R"({"stage":"unified","busy":false,"sequence":4,"born":12,"num-running":0,
            "group":{"name":"r1","epoch":3,"rank":1,"state":"ready"}})");
    REQUIRE(state);
    CHECK(*state == engine_state{12, 4, replica_membership{"r1", 3, 1, membership_phase::ready}});
    const auto free = platform::read_engine_state(R"({"born":12})");
    REQUIRE(free);
    CHECK(*free == engine_state{12, std::nullopt, std::nullopt});
    for (const std::string malformed :
         {"", "[]", "{}", R"({"born":-1})", R"({"born":12,"sequence":"4"})",
          R"({"born":12,"group":{"name":"r1","epoch":3,"state":"asleep"}})"}) {
        CAPTURE(malformed);
        CHECK_FALSE(platform::read_engine_state(malformed));
    }
}

TEST_CASE("a command is encoded with only the fields that its kind needs")
{
    engine_command command;
    command.kind = command_kind::join;
    command.replica = "r1";
    command.epoch = 12;
    command.model = "m0";
    command.members = {"a", "b"};
    CHECK(platform::encode_command(command) ==
          R"({"epoch":12,"group":"r1","members":["a","b"],"model":"m0","operation":"join"})");
    command.only_after = 4;
    CHECK(platform::encode_command(command) ==
          R"({"epoch":12,"group":"r1","members":["a","b"],"model":"m0","operation":"join",)"
          R"("precondition":4})");
    command.only_after.reset();
    command.kind = command_kind::close_now;
    CHECK(platform::encode_command(command) ==
          R"({"close-mode":"aborted","epoch":12,"group":"r1","operation":"close"})");
    command.kind = command_kind::stage;
    CHECK(platform::encode_command(command) == R"({"model":"m0","operation":"stage"})");
}

TEST_CASE("the limit of cold servers and the time for which one stays cold are decoded")
{
    const auto service_with = [](const std::string& fields) {
        std::string text = configuration;
        const std::string name = R"({"name":"orders")";
        text.insert(text.find(name) + name.size(), "," + fields);
        const auto read = platform::read_configuration(text);
        REQUIRE(read);
        return (*read)->find_service("orders")->cold;
    };
    CHECK(service_with(R"("cold-per-s":14,"cold-start-s":2.5)") == cold_start_rule{14, 2500ms});
    CHECK(service_with(R"("cold-per-s":14)") == cold_start_rule{14, 3s});
    CHECK(service_with(R"("cold-start-s":2)").calls_per_s == 0);
    const auto remaining = [](const std::string& value) {
        std::string text = backend_entry("ready");
        text.insert(1, R"("cold-remaining-ms":)" + value + ",");
        const auto read = platform::read_backend("i-1", text);
        REQUIRE(read);
        return read->cold_remaining;
    };
    CHECK(remaining("1800") == 1800ms);
    CHECK(remaining("0") == 0ms);
    CHECK_FALSE(platform::read_backend("i-1", backend_entry("ready"))->cold_remaining);
    // Guards against a list entry or a configuration that is lost because of one invalid number.
    for (const std::string invalid : {"-1", "null", "\"3000\"", "[]"}) {
        CHECK_FALSE(remaining(invalid));
        CHECK(service_with("\"cold-per-s\":" + invalid).calls_per_s == 0);
    }
    CHECK(remaining("1e300") == 10min);
}
