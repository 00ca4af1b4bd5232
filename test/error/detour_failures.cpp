/** \file
 * Tests over sockets what becomes of a request that another node sends to a server when the
 * carrier, the server or the way to them fails.
 */
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "detour/detour_carrier.h"
#include "support/run_task.h"

using namespace chervildyke;
using test::run_task;
namespace asio = boost::asio;

namespace {

const backend_incarnation server_1{"i-1", 7};

/** What the server does with each request. */
enum class server_fault { none, closes_unanswered, breaks_off, answers_other_call, silent };

/** An origin that is cut off, a carrier and one server. */
struct detour_fixture {
    detour_fixture()
    {
        REQUIRE(server.listen("127.0.0.1", 0));
        REQUIRE(carrier_port.listen("127.0.0.1", 0));
        const std::string local = "127.0.0.1:";
        target = {"call1", "pool", server_1, local + std::to_string(server.port())};
        hooks.find_server =
            [this](const backend_incarnation& wanted) -> std::optional<server_target> {
            return wanted == server_1 && is_listed ? std::optional(target) : std::nullopt;
        };
        hooks.refusal = [this](const std::string&) {
            ++asked;
            return refusal;
        };
        hooks.server_refusal = [this](const server_target&) { return server_refusal; };
        hooks.on_sent = [this](const server_target&) { ++sent; };
        hooks.on_answer = [this](const server_target&, unsigned,
                                 const std::vector<http_header>& headers) {
            leaving_seen = !find_header(headers, "Server-Leaving").empty();
        };
        hooks.call_id = [](const http_request& request) {
            return std::string(request.header("X-Attempt-Id"));
        };
        hooks.is_answer_to = [](const std::string& id, const std::vector<http_header>& headers) {
            return find_header(headers, "X-Attempt-Id") == id;
        };
        carrier_links = make_links("carrier", {});
        carrier.emplace(*carrier_links, metrics, hooks);
        carrier_candidate candidate{"carrier", local + std::to_string(carrier_port.port()), true,
                                    true, 0};
        origin_links = make_links("origin", {candidate});
        cut_off_origin();
    }

    std::shared_ptr<server_links> make_links(const std::string& name,
                                             std::vector<carrier_candidate> nodes)
    {
        server_link_hooks link_hooks;
        link_hooks.servers = [](const std::string&) {
            // Nothing listens on the lowest ports of the loopback network.
            return std::vector<server_target>{{"", "pool", {"i-8", 1}, "127.0.0.1:1"},
                                              {"", "pool", {"i-9", 1}, "127.0.0.1:2"}};
        };
        link_hooks.nodes = [nodes](const std::string&) { return nodes; };
        return std::make_shared<server_links>(
            context.get_executor(), name, std::make_shared<http_client>(context.get_executor()),
            std::make_shared<metrics_registry>(), seeded_random(1), link_hooks);
    }

    void cut_off_origin()
    {
        origin_links->note_failure("pool", "i-8");
        origin_links->note_failure("pool", "i-9");
        run_task(context, []() -> asio::awaitable<void> { co_await sleep_for(50ms); });
        REQUIRE(origin_links->is_cut_off("pool"));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++runs;
        received = exchange.request().headers;
        body = exchange.request().body;
        http_reply head;
        head.status = status;
        head.content_type = "text/event-stream";
        head.headers = {
            {"X-Attempt-Id", fault == server_fault::answers_other_call ? "other" : "call1"},
            {"X-Response-Seal", "seal"},
            {"Server-Leaving", "1"},
            {"Detour-Result", "not-sent"}};
        if (fault == server_fault::closes_unanswered) {
            exchange.abort();
            co_return;
        }
        if (fault == server_fault::silent) {
            co_await exchange.wait_for_peer_close();
            closed_by_peer = true;
            co_return;
        }
        co_await exchange.start_stream(head);
        co_await exchange.write_chunk("id: 1\ndata: a\n\n");
        if (fault == server_fault::breaks_off) {
            exchange.abort();
            co_return;
        }
        co_await exchange.write_chunk("id: 2\ndata: b\n\n");
        co_await exchange.end_stream();
    }

    /** Sends one request by way of the carrier and reads its answer. */
    void send(duration timeout = 1s, std::shared_ptr<http_cancel> cancel = nullptr)
    {
        failure.reset();
        answer.clear();
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/x?y=1";
            request.headers = {{"X-Attempt-Id", "call1"}, {"X-Deadline-Ms", "900"}};
            request.body = "body";
            http_call_options options;
            options.timeout = timeout;
            options.cancel = cancel;
            options.matches_request = [](const std::vector<http_header>& headers) {
                return find_header(headers, "X-Attempt-Id") == "call1";
            };
            auto opened = co_await origin_links->open(target, request, options);
            if (!opened) {
                failure = opened.failure().code;
                reason = opened.failure().reason;
                co_return;
            }
            answer_status = (*opened)->status();
            answer_headers = (*opened)->headers();
            while (true) {
                auto part = co_await (*opened)->read_some(timeout);
                if (!part) {
                    failure = part.failure().code;
                    co_return;
                }
                if (part->empty()) {
                    co_return;
                }
                answer += *part;
            }
        });
    }

    asio::io_context context;
    server_fault fault = server_fault::none;
    unsigned status = 200;
    bool is_listed = true;
    std::string refusal;
    std::string server_refusal;
    int runs = 0;
    int asked = 0; // Whether the carrier may send a request.
    int sent = 0;
    bool leaving_seen = false;
    bool closed_by_peer = false;
    std::vector<http_header> received;
    std::string body;
    http_server server{context.get_executor(),
                       [this](http_exchange& exchange) { return serve(exchange); }};
    server_target target;
    detour_carrier_hooks hooks;
    metrics_registry metrics;
    std::shared_ptr<server_links> carrier_links;
    std::optional<detour_carrier> carrier;
    http_server carrier_port{context.get_executor(),
                             [this](http_exchange& exchange) { return carrier->serve(exchange); }};
    std::shared_ptr<server_links> origin_links;

    std::optional<http_error> failure; // Of the last request.
    std::string reason;
    std::string answer;
    unsigned answer_status = 0;
    std::vector<http_header> answer_headers;
};

} // namespace

TEST_CASE("a carried request and its answer are unchanged but for the fields between the nodes")
{
    detour_fixture fixture;
    fixture.send();
    CHECK_FALSE(fixture.failure);
    CHECK(fixture.answer_status == 200);
    CHECK(fixture.answer == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(fixture.body == "body");
    CHECK(fixture.runs == 1);
    CHECK(find_header(fixture.answer_headers, "X-Response-Seal") == "seal");
    CHECK(find_header(fixture.answer_headers, "Detour-Result").empty());
    CHECK(find_header(fixture.received, "X-Deadline-Ms") == "900");
    for (const http_header& header : fixture.received) {
        CHECK_FALSE(header.name.starts_with("Detour-"));
    }
}

// Guards against calls by the carrier to a server that has told it, by way of this answer, to stop.
TEST_CASE("the carrier learns what the answers that it passes on state of their server")
{
    detour_fixture fixture;
    fixture.send();
    CHECK(fixture.leaving_seen);
    CHECK(find_header(fixture.answer_headers, "Server-Leaving") == "1");
}

// Guards against a request that is taken for not run although it may have been.
TEST_CASE("only a request that the carrier has not sent counts as not sent")
{
    detour_fixture fixture;
    SUBCASE("the server closes the connection without an answer")
    {
        fixture.fault = server_fault::closes_unanswered;
        fixture.send();
        CHECK(fixture.failure == http_error::unanswered);
        CHECK(fixture.runs == 1);
    }
    SUBCASE("the server answers another call")
    {
        fixture.fault = server_fault::answers_other_call;
        fixture.send(200ms);
        CHECK(fixture.failure);
        CHECK(fixture.failure != http_error::not_sent);
    }
    SUBCASE("the server is silent")
    {
        fixture.fault = server_fault::silent;
        fixture.send(200ms);
        CHECK(fixture.failure == http_error::timed_out);
        CHECK(fixture.runs == 1);
    }
    SUBCASE("the answer breaks off")
    {
        fixture.fault = server_fault::breaks_off;
        fixture.send();
        CHECK(fixture.failure == http_error::broken);
        CHECK(fixture.answer == "id: 1\ndata: a\n\n");
    }
    SUBCASE("the carrier refuses")
    {
        fixture.server_refusal = "the server leaves";
        fixture.send();
        CHECK(fixture.failure == http_error::not_sent);
        CHECK(fixture.reason == "by way of carrier: the server leaves");
        CHECK(fixture.runs == 0);
        CHECK(fixture.sent == 0);
    }
    SUBCASE("the carrier does not list the server")
    {
        fixture.is_listed = false;
        fixture.send();
        CHECK(fixture.failure == http_error::not_sent);
        CHECK(fixture.runs == 0);
    }
}

// Guards against a server's answer that poses as the carrier's word that the request was not sent.
TEST_CASE("a server can't state the result of a detour")
{
    detour_fixture fixture; // Its server sends Detour-Result: not-sent.
    fixture.status = 503;
    fixture.send();
    CHECK_FALSE(fixture.failure);
    CHECK(fixture.answer_status == 503);
    CHECK(fixture.runs == 1);
}

// Guards against work that goes on at a server after the caller has left.
TEST_CASE("the request at the server ends when the origin closes it")
{
    detour_fixture fixture;
    fixture.fault = server_fault::silent;
    const auto cancel = std::make_shared<http_cancel>();
    asio::co_spawn(
        fixture.context,
        [cancel]() -> asio::awaitable<void> {
            co_await sleep_for(100ms);
            cancel->cancel();
        },
        asio::detached);
    fixture.send(5s, cancel);
    run_task(fixture.context, []() -> asio::awaitable<void> { co_await sleep_for(400ms); });
    CHECK(fixture.runs == 1);
    CHECK(fixture.closed_by_peer);
}

// Guards against losing the only carrier because of one server that wants a pause from it.
TEST_CASE("a carrier that may not call one server is asked again for others")
{
    detour_fixture fixture;
    fixture.server_refusal = "the server has asked this node for a pause";
    fixture.send();
    CHECK(fixture.failure == http_error::not_sent);
    CHECK(fixture.runs == 0);
    fixture.server_refusal.clear();
    CHECK(fixture.asked == 1); // Not again for the same request.
    fixture.send();
    CHECK_FALSE(fixture.failure);
    CHECK(fixture.asked == 2);
    CHECK(fixture.runs == 1);
}

// Guards against losing a carrier for a while whenever a caller leaves.
TEST_CASE("a carrier whose request was cancelled is asked again at once")
{
    detour_fixture fixture;
    fixture.fault = server_fault::silent;
    const auto cancel = std::make_shared<http_cancel>();
    asio::co_spawn(
        fixture.context,
        [cancel]() -> asio::awaitable<void> {
            co_await sleep_for(50ms);
            cancel->cancel();
        },
        asio::detached);
    fixture.send(5s, cancel);
    CHECK(fixture.asked == 1);
    fixture.fault = server_fault::none;
    fixture.send();
    CHECK_FALSE(fixture.failure);
    CHECK(fixture.asked == 2);
}

// Guards against two cut off nodes that send a request to each other.
TEST_CASE("a carrier that is cut off, too, sends nothing on and is not asked again at once")
{
    detour_fixture fixture;
    fixture.refusal = "this node is cut off from the service, too";
    fixture.send();
    CHECK(fixture.failure == http_error::not_sent);
    CHECK(fixture.asked == 1);
    fixture.send();
    CHECK(fixture.asked == 1);
}
