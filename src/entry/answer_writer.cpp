/** \file
 * Implements answer_writer.
 */
#include "entry/answer_writer.h"

namespace chervildyke {

namespace asio = boost::asio;

answer_writer::answer_writer(http_exchange& exchange, completion_format format, bool stream,
                             bool include_usage)
    : exchange_(exchange), format_(std::move(format)), stream_(stream),
      include_usage_(include_usage)
{
}

asio::awaitable<bool> answer_writer::start()
{
    started_ = true;
    http_reply head;
    head.content_type = "text/event-stream";
    head.headers.push_back({"Cache-Control", "no-cache"});
    co_return co_await exchange_.start_stream(std::move(head));
}

asio::awaitable<bool> answer_writer::write(std::vector<schema::engine_chunk> chunks)
{
    std::string events;
    for (const schema::engine_chunk& chunk : chunks) {
        if (stream_ && !chunk.text().empty()) {
            events += format_.part(chunk.text(), text_.empty());
        }
        text_ += chunk.text();
    }
    if (!stream_ || events.empty()) {
        co_return true;
    }
    if (!started_) {
        const bool begun = co_await start();
        if (!begun) {
            co_return false;
        }
    }
    co_return co_await exchange_.write_chunk(events);
}

asio::awaitable<void> answer_writer::finish(std::string finish_reason, token_usage usage)
{
    if (!stream_) {
        http_reply reply;
        reply.body = format_.whole(text_, finish_reason, usage);
        reply.headers.push_back({"X-Chervil-Outcome", to_text(call_outcome::complete)});
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    if (!started_) {
        co_await start();
    }
    const std::string events =
        format_.last_part(finish_reason, usage, include_usage_) + completion_format::end();
    co_await exchange_.write_chunk(events);
    co_await exchange_.end_stream();
}

asio::awaitable<void> answer_writer::fail(api_error error)
{
    if (!started_) {
        http_reply reply = to_reply(error);
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    const std::string events = format_.error_event(error) + completion_format::end();
    co_await exchange_.write_chunk(events);
    co_await exchange_.end_stream();
}

} // namespace chervildyke
