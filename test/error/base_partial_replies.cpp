/** \file
 * Tests that http_client takes no part of a reply for a whole one, wherever the server stops,
 * however it ends the connection and whatever interim replies came before.
 */
#include <algorithm>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "base/http_client.h"
#include "support/run_task.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using test::after_answer;
using test::run_task;
using test::scripted_server;
namespace asio = boost::asio;

namespace {

struct framed_reply {
    std::string head;
    std::string body;
    bool ends_with_connection; // It has no length, so its body ends where its connection is closed.
};

const std::vector<framed_reply> framed_replies = {
    {"HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nContent-Length: 12\r\n\r\n", "twelve bytes", false},
    {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: call1\r\n\r\n",
     "c\r\ntwelve bytes\r\n0\r\n\r\n", false},
    {"HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nConnection: close\r\n\r\n", "twelve bytes", true},
};

const std::string whole_reply =
    "HTTP/1.1 200 OK\r\nX-Attempt-Id: call1\r\nContent-Length: 5\r\n\r\nfirst";

const std::vector<std::string> interim_replies = {
    "", "HTTP/1.1 100 Continue\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: call1\r\nLink: </style.css>\r\n\r\n"};

struct client_fixture {
    http_result<http_reply> call(bool matches_request = false)
    {
        http_result<http_reply> reply =
            http_failure{http_error::not_sent, "the call has not ended"};
        http_call_options options;
        options.timeout = 2s;
        if (matches_request) {
            options.matches_request = [](const std::vector<http_header>& headers) {
                return std::any_of(headers.begin(), headers.end(), [](const http_header& header) {
                    return header.name == "X-Attempt-Id" && header.value == "call1";
                });
            };
        }
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/";
            reply = co_await client.call(server.address(), request, options);
        });
        return reply;
    }

    asio::io_context context;
    scripted_server server{context};
    http_client client{context.get_executor()};
};

/** Ends the connection after each part of the reply in turn.
 * \param interim precedes the reply.
 * \param kept the connection has delivered a whole reply before.
 */
void check_every_part(const framed_reply& reply, const std::string& interim, after_answer end,
                      bool kept)
{
    client_fixture fixture;
    const std::string bytes = interim + reply.head + reply.body;
    const std::size_t head_bytes = interim.size() + reply.head.size();
    for (std::size_t length = 0; length < bytes.size(); ++length) {
        CAPTURE(length);
        CAPTURE(kept);
        CAPTURE(bytes);
        if (kept) {
            fixture.server.answers.emplace_back(whole_reply);
            REQUIRE(fixture.call());
        }
        const int connections = fixture.server.connections;
        fixture.server.answers.emplace_back(bytes.substr(0, length), end);
        const auto received = fixture.call();
        CHECK(fixture.server.connections == connections + (kept ? 0 : 1));
        const bool is_whole =
            reply.ends_with_connection && end == after_answer::close && length >= head_bytes;
        CHECK(received.has_value() == is_whole);
        if (!received) {
            CHECK(received.failure().code != http_error::not_sent);
        }
    }
}

} // namespace

// Guards against a success that is framed as whole though its server stopped within it.
TEST_CASE("a reply of which any part is missing fails")
{
    for (const framed_reply& reply : framed_replies) {
        for (const after_answer end : {after_answer::close, after_answer::reset}) {
            check_every_part(reply, "", end, false);
            check_every_part(reply, "", end, true);
        }
    }
}

// Guards against taking an interim reply for the reply, which has status 1xx and no body.
TEST_CASE("a reply of which any part is missing fails after an interim reply")
{
    for (const framed_reply& reply : framed_replies) {
        for (const after_answer end : {after_answer::close, after_answer::reset}) {
            check_every_part(reply, interim_replies.back(), end, false);
            check_every_part(reply, interim_replies.back(), end, true);
        }
    }
}

// Guards against taking an interim reply for the reply, so that the next call reads the reply.
TEST_CASE("interim replies are skipped")
{
    for (const std::string& interim : interim_replies) {
        for (const bool matches_request : {false, true}) {
            CAPTURE(interim);
            CAPTURE(matches_request);
            client_fixture fixture;
            for (int i = 0; i < 2; ++i) {
                fixture.server.answers.emplace_back(interim + interim + whole_reply);
                const auto received = fixture.call(matches_request);
                REQUIRE(received);
                CHECK(received->status == 200);
                CHECK(received->body == "first");
            }
            CHECK(fixture.server.connections == 1);
        }
    }
}

// Guards against a head that is no reply, and whose request may have taken effect.
TEST_CASE("a reply with a status that is none fails as unanswered")
{
    for (const std::string status : {"000", "099", "101", "600", "999"}) {
        for (const std::string& interim : interim_replies) {
            CAPTURE(status);
            CAPTURE(interim);
            client_fixture fixture;
            fixture.server.answers.emplace_back(
                interim + "HTTP/1.1 " + status +
                " Odd\r\nX-Attempt-Id: call1\r\nContent-Length: 0\r\n\r\n");
            fixture.server.answers.emplace_back(whole_reply);
            const auto odd = fixture.call(true);
            REQUIRE_FALSE(odd);
            CHECK(odd.failure().code == http_error::unanswered);
            CHECK(fixture.call(true));
            CHECK(fixture.server.connections == 2);
        }
    }
}
