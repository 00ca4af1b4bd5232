/** \file
 * Defines call_fixture, in which a node forwards plain calls over sockets to two servers.
 */
#pragma once

#include "support/relay_fixture.h"

namespace chervildyke::test {

using tcp = asio::ip::tcp;

/** A plain server that waits and then answers with a status, or closes the connection. */
struct plain_server {
    explicit plain_server(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        REQUIRE(server.listen("127.0.0.1", 0));
    }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        ++calls;
        http_reply reply;
        reply.status = status;
        reply.body = "done";
        reply.headers = added;
        reply.headers.push_back(
            {"X-Attempt-Id", std::string(exchange.request().header("X-Attempt-Id"))});
        if (status == 200) {
            reply.headers.push_back({"X-Response-Seal", "seal"});
        }
        co_await sleep_for(delay);
        if (closes) {
            exchange.abort();
            co_return;
        }
        co_await exchange.respond(reply);
    }

    unsigned status = 200;
    std::vector<http_header> added;
    duration delay{};
    bool closes = false; // Without an answer.
    int calls = 0;
    http_server server;
};

/** A node whose plain route may send a call to two servers. */
struct call_fixture : relay_fixture {
    explicit call_fixture(retry_rule retry) : relay_fixture(retry)
    {
        configure([](call_route& route) { route.max_attempts = 2; });
    }

    /** Replaces the configuration by one with changed routes; routes without services are left out.
     */
    void configure(const std::function<void(call_route&)>& change)
    {
        published_configuration::builder builder;
        for (call_route route : configuration->routes()) {
            change(route);
            if (!route.services.empty()) {
                builder.route(route);
            }
        }
        for (const auto& [name, service] : configuration->services()) {
            builder.service(service);
        }
        team_keys team;
        team.name = "counter";
        team.keys = {"k1"};
        configuration = builder.version(configuration->version() + 1).team(team).build();
    }

    void list(const std::string& id, const plain_server& server)
    {
        backend listed;
        listed.id = id;
        listed.service = "desk";
        listed.address = "127.0.0.1:" + std::to_string(server.server.port());
        listed.started_ms = 1;
        backends.apply(listed, monotonic_clock::now());
    }

    /** Sends a call without waiting for its answer. */
    tcp::socket begin_call(const std::string& path = "/p/x", const std::string& time_left = "4500",
                           std::uint16_t port = 0)
    {
        tcp::socket socket(callers);
        socket.connect({asio::ip::make_address("127.0.0.1"), port == 0 ? front.port() : port});
        const std::string request = "POST " + path +
                                    " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: call1\r\n"
                                    "Authorization: Token k1\r\nX-Model: m\r\n"
                                    "X-Token-Usage: 100,20\r\nX-Deadline-Ms: " +
                                    time_left + "\r\nContent-Length: 0\r\n\r\n";
        asio::write(socket, asio::buffer(request));
        return socket;
    }

    void run(duration span)
    {
        context.restart();
        context.run_for(span);
    }

    asio::io_context callers;
};

/** What a caller has received. */
struct received {
    explicit received(tcp::socket& socket)
    {
        boost::system::error_code error;
        socket.non_blocking(true);
        asio::read(socket, asio::dynamic_buffer(text), error);
        is_closed = error != asio::error::would_block;
    }

    /** \return the status of the only answer; zero if there is none, or more than one. */
    unsigned status() const
    {
        const std::string begin = "HTTP/1.1 ";
        if (!text.starts_with(begin) || text.find(begin, 1) != std::string::npos) {
            return 0;
        }
        return static_cast<unsigned>(std::stoul(text.substr(begin.size(), 3)));
    }

    std::string text;
    bool is_closed = false;
};

} // namespace chervildyke::test
