/** \file
 * Tests that an answer to another call, which arrives on a call's connection before the call's own
 * answer or instead of it, is dropped and not taken for the call's own.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "base/http_client.h"
#include "support/run_task.h"

using namespace chervildyke;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

std::string answer(const std::string& id, const std::string& body)
{
    const std::string header = id.empty() ? "" : "X-Attempt-Id: " + id + "\r\n";
    return "HTTP/1.1 200 OK\r\n" + header + "Content-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/** Answers one request with the given bytes. */
asio::awaitable<void> serve_once(tcp::acceptor& acceptor, std::string bytes)
{
    tcp::socket peer = co_await acceptor.async_accept(asio::use_awaitable);
    std::string request;
    co_await asio::async_read_until(peer, asio::dynamic_buffer(request), "\r\n\r\n",
                                    asio::use_awaitable);
    co_await asio::async_write(peer, asio::buffer(bytes), asio::use_awaitable);
    co_await asio::async_read_until(peer, asio::dynamic_buffer(request), "never",
                                    asio::as_tuple(asio::use_awaitable));
}

std::string call_with_answers(const std::string& bytes)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const std::string address = "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
    http_client client(context.get_executor());
    std::string got;
    asio::co_spawn(context, serve_once(acceptor, bytes), asio::detached);
    test::run_task(context, [&]() -> asio::awaitable<void> {
        http_request request;
        http_call_options options;
        options.timeout = 500ms;
        options.matches_request = [](const std::vector<http_header>& headers) {
            return find_header(headers, "X-Attempt-Id") == "mine";
        };
        auto reply = co_await client.call(address, request, options);
        got = reply ? reply->body : "none";
    });
    return got;
}

} // namespace

TEST_CASE("an answer to another call is dropped and the call's own answer is returned")
{
    CHECK(call_with_answers(answer("other", "theirs") + answer("mine", "mine")) == "mine");
}

TEST_CASE("an answer that names no call is dropped too")
{
    CHECK(call_with_answers(answer("", "whose") + answer("mine", "mine")) == "mine");
}

TEST_CASE("a call that only gets an answer to another call has no answer")
{
    CHECK(call_with_answers(answer("other", "theirs")) == "none");
}
