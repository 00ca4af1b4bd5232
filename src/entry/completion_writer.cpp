/** \file
 * Implements completion_writer.
 */
#include "entry/completion_writer.h"

namespace chervildyke {

namespace asio = boost::asio;

completion_writer::completion_writer(http_exchange& exchange, completion_encoder encoder,
                                     bool stream, bool include_usage)
    : exchange_(exchange), encoder_(std::move(encoder)), stream_(stream),
      include_usage_(include_usage)
{
}

asio::awaitable<bool> completion_writer::send_head()
{
    head_sent_ = true;
    http_reply head;
    head.content_type = "text/event-stream";
    head.headers.push_back({"Cache-Control", "no-cache"});
    co_return co_await exchange_.start_stream(std::move(head));
}

asio::awaitable<bool> completion_writer::write(std::vector<schema::engine_chunk> chunks)
{
    std::string events;
    for (const schema::engine_chunk& chunk : chunks) {
        if (stream_ && !chunk.text().empty()) {
            events += encoder_.encode_chunk(chunk.text(), text_.empty());
        }
        text_ += chunk.text();
    }
    if (!stream_ || events.empty()) {
        co_return true;
    }
    if (!head_sent_) {
        const bool connected = co_await send_head();
        if (!connected) {
            co_return false;
        }
    }
    co_return co_await exchange_.write_chunk(events);
}

asio::awaitable<void> completion_writer::finish(std::string finish_reason, token_usage usage)
{
    if (!stream_) {
        http_reply reply;
        reply.body = encoder_.encode_body(text_, finish_reason, usage);
        reply.headers.push_back({"X-Chervil-Outcome", to_text(call_outcome::complete)});
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    if (!head_sent_) {
        co_await send_head();
    }
    const std::string events = encoder_.encode_final_chunk(finish_reason, usage, include_usage_) +
                               completion_encoder::done_event();
    co_await exchange_.write_chunk(events);
    co_await exchange_.end_stream();
}

asio::awaitable<void> completion_writer::fail(api_error error)
{
    if (!head_sent_) {
        http_reply reply = to_reply(error);
        co_await exchange_.respond(std::move(reply));
        co_return;
    }
    const std::string events = encoder_.encode_error(error) + completion_encoder::done_event();
    co_await exchange_.write_chunk(events);
    co_await exchange_.end_stream();
}

} // namespace chervildyke
