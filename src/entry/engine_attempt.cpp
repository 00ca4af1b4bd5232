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

/** Parses one chunk, without the reflection of protobuf for speed: thousands of chunks arrive. */
bool parse_chunk(const std::string& data, schema::engine_chunk& chunk)
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

std::optional<duration> parse_retry_after(const std::string& text)
{
    std::int64_t seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

attempt_progress failed_progress(engine_attempt_state state, std::string reason)
{
    attempt_progress progress;
    progress.state = state;
    progress.reason = std::move(reason);
    return progress;
}

} // namespace

engine_attempt::engine_attempt(std::shared_ptr<http_client> http, std::string address,
                               schema::engine_call call)
    : http_(std::move(http)), address_(std::move(address)), call_(std::move(call)),
      next_sequence_(call_.resume_from())
{
}

asio::awaitable<attempt_progress> engine_attempt::open(duration timeout, bool fresh_connection)
{
    http_request request = json_post("/generate", call_);
    http_call_options options;
    options.timeout = timeout;
    options.fresh_connection = fresh_connection;
    auto stream = co_await http_->open(address_, std::move(request), options);
    if (!stream) {
        const http_failure& error = stream.failure();
        const engine_attempt_state state =
            error.code == http_error::not_sent    ? engine_attempt_state::not_sent
            : error.code == http_error::timed_out ? engine_attempt_state::stalled
                                                  : engine_attempt_state::broken;
        co_return failed_progress(state, error.reason);
    }
    stream_ = std::move(*stream);
    if (stream_->status() != 200) {
        co_return co_await read_refusal(stream_->status(), timeout);
    }
    co_return attempt_progress();
}

asio::awaitable<attempt_progress> engine_attempt::read_refusal(unsigned status, duration timeout)
{
    const time_point deadline = monotonic_clock::now() + timeout;
    std::string body;
    while (body.size() < max_refusal_bytes && monotonic_clock::now() < deadline) {
        auto part = co_await stream_->read_some(deadline - monotonic_clock::now());
        if (!part || part->empty()) {
            break;
        }
        body += *part;
    }
    schema::refusal refusal;
    const bool is_read = from_json(body, refusal);
    const bool is_own = refusal.attempt_id().empty() ? !stream_->is_on_reused_connection()
                                                     : refusal.attempt_id() == call_.attempt_id();
    const bool not_run = is_read && is_own && refusal.not_run();
    attempt_progress progress = failed_progress(
        not_run ? engine_attempt_state::refused : engine_attempt_state::broken,
        "HTTP " + std::to_string(status) + " " + refusal.code() + " " + refusal.reason());
    progress.retry_after = parse_retry_after(stream_->header("retry-after"));
    co_return progress;
}

bool engine_attempt::process_event(const std::string& data, attempt_progress& progress)
{
    schema::engine_chunk chunk;
    if (!parse_chunk(data, chunk)) {
        progress.state = engine_attempt_state::broken;
        progress.reason = "a chunk is not a JSON object";
        return false;
    }
    if (chunk.attempt_id() != call_.attempt_id() || chunk.sequence() < next_sequence_) {
        ++dropped_chunks_;
        return true;
    }
    if (chunk.sequence() > next_sequence_) {
        progress.state = engine_attempt_state::broken;
        progress.reason = "expected chunk " + std::to_string(next_sequence_) + ", received chunk " +
                          std::to_string(chunk.sequence());
        return false;
    }
    ++next_sequence_;
    const bool last = chunk.last();
    progress.chunks.push_back(std::move(chunk));
    if (last) {
        progress.state = engine_attempt_state::complete;
    }
    return !last;
}

asio::awaitable<attempt_progress> engine_attempt::next_chunks(duration timeout)
{
    const time_point deadline = monotonic_clock::now() + timeout;
    attempt_progress progress;
    while (progress.chunks.empty()) {
        const duration left = deadline - monotonic_clock::now();
        if (left <= duration::zero()) { // Comments and chunks of other attempts may never end.
            co_return failed_progress(engine_attempt_state::stalled,
                                      "no chunk of the call arrived in time");
        }
        auto part = co_await stream_->read_some(left);
        if (!part) {
            const bool is_timeout = part.failure().code == http_error::timed_out;
            co_return failed_progress(is_timeout ? engine_attempt_state::stalled
                                                 : engine_attempt_state::broken,
                                      part.failure().reason);
        }
        if (part->empty()) {
            co_return failed_progress(engine_attempt_state::broken,
                                      "the stream ended before its last chunk");
        }
        if (!parser_.feed(*part)) {
            co_return failed_progress(engine_attempt_state::broken,
                                      "an event of the stream is longer than the parser's buffer");
        }
        while (const auto data = parser_.next_event()) {
            if (!process_event(*data, progress)) {
                co_return progress;
            }
        }
    }
    co_return progress;
}

asio::awaitable<void> engine_attempt::finish()
{
    if (stream_) {
        // The attempt has ended, whatever this read returns.
        [[maybe_unused]] const auto ignored = co_await stream_->read_some(finish_timeout);
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
    // If the request fails, the engine wastes work on an unread stream, with no other effect.
    [[maybe_unused]] const auto ignored =
        co_await http->call(std::move(address), std::move(request), options);
}

} // namespace chervildyke
