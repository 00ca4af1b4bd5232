/** \file
 * Defines scripted_engine, a model engine with scripted answers on a real socket, and
 * entry_under_test, an entry that sends calls to it.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "base/http_client.h"
#include "base/http_server.h"
#include "entry/entry_node.h"
#include "external/json_message.h"

namespace chervildyke::testing {

namespace asio = boost::asio;

/** Answers /generate by a script and records the calls and cancellations that it receives. */
struct scripted_engine {
    using script = std::function<asio::awaitable<void>(http_exchange&, schema::engine_call)>;

    explicit scripted_engine(asio::io_context& context)
        : server(context.get_executor(),
                 [this](http_exchange& exchange) { return serve(exchange); })
    {
        server.listen("127.0.0.1", 0);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(server.port()); }

    asio::awaitable<void> serve(http_exchange& exchange)
    {
        http_reply reply;
        if (exchange.request().path() == "/cancel") {
            schema::engine_cancel cancel;
            from_json(exchange.request().body, cancel);
            cancelled.push_back(cancel.attempt_id());
        }
        else if (exchange.request().path() == "/report") {
            reply.body = to_json(report);
        }
        else {
            schema::engine_call call;
            from_json(exchange.request().body, call);
            calls.push_back(call);
            co_await answer(exchange, call);
            co_return;
        }
        co_await exchange.respond(reply);
    }

    script answer;
    schema::engine_report report;
    std::vector<schema::engine_call> calls;
    std::vector<std::string> cancelled;
    http_server server;
};

/** \return one chunk as a server-sent event. */
inline std::string chunk_event(const std::string& attempt, std::uint32_t sequence,
                               const std::string& text, bool last)
{
    schema::engine_chunk chunk;
    chunk.set_attempt_id(attempt);
    chunk.set_sequence(sequence);
    chunk.set_text(text);
    chunk.set_tokens(last ? 0 : 1);
    chunk.set_last(last);
    chunk.set_finish_reason(last ? "stop" : "");
    return "data: " + to_json(chunk) + "\n\n";
}

/** Streams the words t0 t1 ... from the first one that the call has not received.
 * \param words how many words the whole answer has.
 * \param break_after the number of chunks after which the connection is aborted, without a last
 * chunk; negative to stream to the end.
 */
inline asio::awaitable<void> stream_words(http_exchange& exchange, schema::engine_call call,
                                          std::uint32_t words, int break_after = -1)
{
    http_reply head;
    head.content_type = "text/event-stream";
    co_await exchange.start_stream(head);
    std::uint32_t word = call.prior_tokens() + call.resume_from();
    std::uint32_t sequence = call.resume_from();
    for (int sent = 0; word < words; ++word, ++sequence, ++sent) {
        if (sent == break_after) {
            exchange.abort();
            co_return;
        }
        const std::string event =
            chunk_event(call.attempt_id(), sequence, "t" + std::to_string(word) + " ", false);
        co_await exchange.write_chunk(event);
    }
    const std::string last = chunk_event(call.attempt_id(), sequence, "", true);
    co_await exchange.write_chunk(last);
    co_await exchange.end_stream();
}

/** Refuses a call as busy, marked as not run. */
inline asio::awaitable<void> refuse(http_exchange& exchange)
{
    schema::engine_call call;
    from_json(exchange.request().body, call);
    schema::refusal refusal;
    refusal.set_attempt_id(call.attempt_id());
    refusal.set_code("busy");
    refusal.set_not_run(true);
    http_reply reply;
    reply.status = 503;
    reply.body = to_json(refusal);
    co_await exchange.respond(reply);
}

/** \return the text of the first words that stream_words() sends. */
inline std::string words_up_to(std::uint32_t words)
{
    std::string text;
    for (std::uint32_t i = 0; i < words; ++i) {
        text += "t" + std::to_string(i) + " ";
    }
    return text;
}

/** \return a view with the team "desk" and one serving replica for each engine address. */
inline schema::routing_view view_of(const std::vector<std::string>& engines)
{
    schema::routing_view view;
    view.set_configuration_version(1);
    view.set_journal_offset(1);
    view.set_ready(true);
    schema::team_view& team = *view.add_teams();
    team.set_name("desk");
    team.mutable_parameters()->set_model("oak");
    std::uint64_t id = 10;
    for (const std::string& engine : engines) {
        schema::replica_view& replica = *view.add_replicas();
        replica.set_replica_id(id++);
        replica.set_team("desk");
        replica.set_model("oak");
        replica.set_serving(true);
        replica.set_batch_limit(32);
        schema::member_view& member = *replica.add_members();
        member.set_address(engine);
        member.set_failure_domain("gent-a");
    }
    return view;
}

/** An entry on a free port and a client of it. */
struct entry_under_test {
    explicit entry_under_test(asio::io_context& on, std::uint32_t max_body_bytes = 0)
        : context(on), client(on.get_executor())
    {
        schema::entry_settings settings;
        settings.mutable_node()->set_vm("entry-1");
        settings.mutable_node()->set_address("127.0.0.1");
        settings.mutable_node()->set_failure_domain("gent-a");
        settings.set_control_port(1);
        settings.set_max_body_bytes(max_body_bytes);
        settings.set_max_header_bytes(8192);
        settings.set_request_read_timeout_ms(300);
        settings.set_report_freshness_ms(60'000);
        node = std::make_unique<entry_node>(on.get_executor(), settings, seeded_random(5));
    }

    bool start(const schema::routing_view& view)
    {
        return node->start() &&
               node->offer_view(std::make_shared<const schema::routing_view>(view));
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(node->port()); }

    static http_request chat(bool stream, const std::string& content = "hello")
    {
        http_request request;
        request.method = "POST";
        request.target = "/v1/chat/completions";
        request.body = R"({"model":"desk","stream":)" + std::string(stream ? "true" : "false") +
                       R"(,"messages":[{"role":"user","content":")" + content + "\"}]}";
        return request;
    }

    /** Runs a task until it ends, for at most 30 s. */
    void run(const std::function<asio::awaitable<void>()>& task)
    {
        asio::co_spawn(context, task(), [this](const std::exception_ptr& thrown) {
            context.stop();
            if (thrown) {
                std::rethrow_exception(thrown);
            }
        });
        context.restart();
        context.run_for(30s);
    }

    /** \return the reply to one call; without a reply its status is 0 and its body the reason. */
    http_reply call(const http_request& request, http_call_options options = {})
    {
        http_reply answer;
        answer.status = 0;
        run([&]() -> asio::awaitable<void> {
            auto reply = co_await client.call(address(), request, options);
            if (reply) {
                answer = *reply;
            }
            else {
                answer.body = reply.failure().reason;
            }
        });
        return answer;
    }

    asio::io_context& context;
    http_client client;
    std::unique_ptr<entry_node> node;
};

} // namespace chervildyke::testing
