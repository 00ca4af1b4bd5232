/** \file
 * Implements engine_attempt.
 */
#include "entry/engine_attempt.h"

#include <charconv>

#include <nlohmann/json.hpp>

#include "external/json_message.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration cancel_timeout = 2s;
constexpr duration finish_timeout = 50ms;
constexpr std::size_t max_refusal_bytes = 64U << 10U;

/** Reads one chunk. Chunks come by the thousand, so this goes past protobuf's reflection. */
bool read_chunk(const std::string& data, schema::engine_chunk& chunk)
{
    const auto document = nlohmann::json::parse(data, nullptr, false);
    if (!document.is_object()) {
        return false;
    }
    const auto number = [&](const char* name) {
        const auto found = document.find(name);
        return found != document.end() && found->is_number_unsigned() ? found->get<std::uint32_t>()
                                                                      : 0U;
    };
    const auto text = [&](const char* name) {
        const auto found = document.find(name);
        return found != document.end() && found->is_string() ? found->get<std::string>()
                                                             : std::string();
    };
    const auto last = document.find("last");
    chunk.set_attempt_id(text("attempt_id"));
    chunk.set_sequence(number("sequence"));
    chunk.set_text(text("text"));
    chunk.set_last(last != document.end() && last->is_boolean() && last->get<bool>());
    chunk.set_finish_reason(text("finish_reason"));
    chunk.set_tokens(number("tokens"));
    chunk.set_cached_tokens(number("cached_tokens"));
    return true;
}

std::optional<duration> read_retry_after(const std::string& text)
{
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

attempt_step ended(attempt_state state, std::string reason)
{
    attempt_step step;
    step.state = state;
    step.reason = std::move(reason);
    return step;
}

} // namespace

engine_attempt::engine_attempt(std::shared_ptr<http_client> http, std::string address,
                               schema::engine_call call)
    : http_(std::move(http)), address_(std::move(address)), call_(std::move(call)),
      next_sequence_(call_.resume_from())
{
}

asio::awaitable<attempt_step> engine_attempt::open(duration timeout, bool fresh_connection)
{
    http_request request = json_post("/generate", call_);
    http_call_options options;
    options.timeout = timeout;
    options.fresh_connection = fresh_connection;
    auto opened = co_await http_->open(address_, std::move(request), options);
    if (!opened) {
        const http_failure& why = opened.last_reason();
        const attempt_state state = why.code == http_error::not_sent    ? attempt_state::not_sent
                                    : why.code == http_error::timed_out ? attempt_state::stalled
                                                                        : attempt_state::broken;
        co_return ended(state, why.reason);
    }
    stream_ = std::move(*opened);
    if (stream_->status() != 200) {
        co_return co_await read_refusal(stream_->status(), timeout);
    }
    co_return attempt_step();
}

asio::awaitable<attempt_step> engine_attempt::read_refusal(unsigned status, duration timeout)
{
    std::string body;
    while (body.size() < max_refusal_bytes) {
        auto part = co_await stream_->read_some(timeout);
        if (!part || part->empty()) {
            break;
        }
        body += *part;
    }
    schema::refusal refusal;
    const bool ran_nothing = from_json(body, refusal) && refusal.not_run();
    attempt_step step =
        ended(ran_nothing ? attempt_state::refused : attempt_state::broken,
              "HTTP " + std::to_string(status) + " " + refusal.code() + " " + refusal.reason());
    step.retry_after = read_retry_after(stream_->header("retry-after"));
    co_return step;
}

bool engine_attempt::take_event(const std::string& data, attempt_step& step)
{
    schema::engine_chunk chunk;
    if (!read_chunk(data, chunk)) {
        step.state = attempt_state::broken;
        step.reason = "a chunk that can't be read";
        return false;
    }
    if (chunk.attempt_id() != call_.attempt_id() || chunk.sequence() < next_sequence_) {
        ++dropped_;
        return true;
    }
    if (chunk.sequence() > next_sequence_) {
        step.state = attempt_state::broken;
        step.reason = "chunk " + std::to_string(next_sequence_) + " is missing";
        return false;
    }
    ++next_sequence_;
    const bool last = chunk.last();
    step.chunks.push_back(std::move(chunk));
    if (last) {
        step.state = attempt_state::complete;
    }
    return !last;
}

asio::awaitable<attempt_step> engine_attempt::next(duration timeout)
{
    attempt_step step;
    while (step.chunks.empty()) {
        auto part = co_await stream_->read_some(timeout);
        if (!part) {
            const bool silent = part.last_reason().code == http_error::timed_out;
            co_return ended(silent ? attempt_state::stalled : attempt_state::broken,
                            part.last_reason().reason);
        }
        if (part->empty()) {
            co_return ended(attempt_state::broken, "the stream ended before its last chunk");
        }
        if (!parser_.feed(*part)) {
            co_return ended(attempt_state::broken, "an event that is too long");
        }
        while (const auto data = parser_.next()) {
            if (!take_event(*data, step)) {
                co_return step;
            }
        }
    }
    co_return step;
}

asio::awaitable<void> engine_attempt::finish()
{
    if (stream_) {
        // Whatever comes or fails, the attempt is over.
        [[maybe_unused]] const auto rest = co_await stream_->read_some(finish_timeout);
    }
}

asio::awaitable<void> cancel_attempt(std::shared_ptr<http_client> http, std::string address,
                                     std::string attempt_id)
{
    schema::engine_cancel cancel;
    cancel.set_attempt_id(std::move(attempt_id));
    http_request request = json_post("/cancel", cancel);
    http_call_options options;
    options.timeout = cancel_timeout;
    // A cancel that fails costs the engine work that nobody reads, nothing else.
    [[maybe_unused]] const auto answer =
        co_await http->call(std::move(address), std::move(request), options);
}

} // namespace chervildyke
