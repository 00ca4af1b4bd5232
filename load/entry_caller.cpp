/** \file
 * Implements entry_caller, with the encoding of calls and the decoding of answers.
 */
#include "load/entry_caller.h"

#include <algorithm>
#include <charconv>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr duration default_deadline = 30s;
constexpr duration timeout_margin = 2s; // Beyond the deadline, for the answer to arrive.
constexpr duration discovery_timeout = 1s;
constexpr duration default_address_ttl = 5s; // If the entry states none.
constexpr duration retry_backoff = 100ms;    // Grows linearly with the attempts.
constexpr std::string_view event_data_prefix = "data: ";

call_outcome parse_outcome(std::string_view name)
{
    return name == "complete"  ? call_outcome::complete
           : name == "not_run" ? call_outcome::not_run
           : name == "unknown" ? call_outcome::unknown
                               : call_outcome::none;
}

http_request to_request(const call_spec& spec)
{
    http_request request;
    request.method = "POST";
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", "Bearer " + spec.api_key}};
    if (spec.deadline_ms > 0) {
        request.headers.push_back({"X-Chervil-Deadline-Ms", std::to_string(spec.deadline_ms)});
    }
    if (!spec.idempotency_key.empty()) {
        request.headers.push_back({"Idempotency-Key", spec.idempotency_key});
    }
    if (!spec.operation.empty()) {
        request.target = "/v1/services/" + spec.operation;
        request.body = spec.body;
        return request;
    }
    request.target = "/v1/chat/completions";
    json body = {{"model", spec.team}, {"stream", true}, {"max_tokens", spec.max_tokens}};
    body["messages"] = json::array({{{"role", "user"}, {"content", spec.prompt}}});
    request.body = body.dump();
    return request;
}

/** \return the text in a choice of a streamed event, a whole answer or a completion. */
std::string choice_text(const json& choice)
{
    for (const char* part : {"delta", "message"}) {
        if (choice.contains(part) && choice[part].contains("content") &&
            choice[part]["content"].is_string()) {
            return choice[part]["content"];
        }
    }
    return choice.contains("text") && choice["text"].is_string() ? choice["text"] : "";
}

/** Adds one streamed event to the result. Ignores an event that isn't a JSON object. */
void apply_event(attempt_result& result, const std::string& data)
{
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        return;
    }
    for (const char* name : {"outcome", "chervil_outcome", "x_chervil_outcome"}) {
        if (event.contains(name) && event[name].is_string()) {
            result.outcome = parse_outcome(event[name].get<std::string>());
        }
    }
    if (event.contains("error")) {
        result.reason = event["error"].dump();
    }
    if (!event.contains("choices") || event["choices"].empty()) {
        return;
    }
    const json& choice = event["choices"][0];
    if (choice.contains("finish_reason") && choice["finish_reason"].is_string()) {
        result.finish_reason = choice["finish_reason"];
    }
    const std::string text = choice_text(choice);
    if (text.empty()) {
        return;
    }
    result.append_text(text);
}

/** \return the value of a Retry-After header in seconds; nothing if there is none. */
std::optional<duration> parse_retry_after(const std::string& text)
{
    constexpr double max_seconds = 3600;
    double seconds = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (parsed.ec != std::errc() || seconds < 0 || seconds > max_seconds) {
        return std::nullopt;
    }
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/** Whether an ordinary client would make another attempt. */
bool should_retry(const call_spec& spec, const attempt_result& last)
{
    if (last.outcome == call_outcome::complete) {
        return false;
    }
    const bool client_error =
        last.status >= 400 && last.status < 500 && last.status != 429 && last.status != 408;
    if (last.outcome == call_outcome::not_run) {
        return !client_error;
    }
    // The answer was lost or the outcome is unknown: an operation may be repeated only with its
    // idempotency key, and a model call only if its answer did not come or was cut off.
    return spec.operation.empty() ? last.status == 0 || last.cut_off
                                  : !spec.idempotency_key.empty();
}

} // namespace

void attempt_result::append_text(const std::string& part)
{
    text += part;
    const time_point now = monotonic_clock::now();
    if (first_token_at == time_point()) {
        first_token_at = now;
    }
    else {
        token_gaps_ms.push_back(std::chrono::duration<float, std::milli>(now - ended_at).count());
    }
    ended_at = now;
}

const char* to_string(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::complete:
        return "complete";
    case call_outcome::not_run:
        return "not_run";
    case call_outcome::unknown:
        return "unknown";
    default:
        return "none";
    }
}

entry_caller::entry_caller(std::shared_ptr<http_client> http,
                           std::vector<std::string> seed_addresses, random_source random)
    : http_(std::move(http)), seed_addresses_(std::move(seed_addresses)), random_(std::move(random))
{
    current_index_ = random_below(random_, std::max<std::size_t>(seed_addresses_.size(), 1));
}

asio::awaitable<void> entry_caller::refresh_entries()
{
    http_request request;
    request.target = "/v1/entries";
    http_call_options options;
    options.timeout = discovery_timeout;
    std::vector<std::string> candidates = entry_addresses_;
    candidates.insert(candidates.end(), seed_addresses_.begin(), seed_addresses_.end());
    const std::size_t first = random_below(random_, candidates.size());
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const std::string candidate = candidates[(first + i) % candidates.size()];
        auto reply = co_await http_->call(candidate, request, options);
        if (!reply || reply->status != 200) {
            continue;
        }
        const json answer = json::parse(reply->body, nullptr, false);
        if (!answer.is_object() || !answer.contains("entries")) {
            continue;
        }
        std::vector<std::string> entries;
        for (const json& entry : answer["entries"]) {
            entries.push_back(entry.is_string() ? entry.get<std::string>()
                                                : entry.value("address", std::string()));
        }
        if (!entries.empty()) {
            entry_addresses_ = entries;
            current_index_ = 0;
            const auto valid_ms = answer.value("valid_for_ms", std::uint64_t{0});
            valid_until_ =
                monotonic_clock::now() +
                (valid_ms == 0 ? default_address_ttl : std::chrono::milliseconds(valid_ms));
            co_return;
        }
    }
}

asio::awaitable<std::string> entry_caller::entry_address()
{
    if (entry_addresses_.empty() || monotonic_clock::now() > valid_until_) {
        co_await refresh_entries();
    }
    const std::vector<std::string>& addresses =
        entry_addresses_.empty() ? seed_addresses_ : entry_addresses_;
    co_return addresses[current_index_ % addresses.size()];
}

void entry_caller::fail_over_from(const std::string& entry)
{
    const std::vector<std::string>& addresses =
        entry_addresses_.empty() ? seed_addresses_ : entry_addresses_;
    if (addresses[current_index_ % addresses.size()] == entry) {
        ++current_index_;
    }
}

asio::awaitable<std::vector<attempt_result>> entry_caller::call(call_spec spec)
{
    std::vector<attempt_result> attempts;
    const std::uint32_t max_attempts = std::max(spec.max_attempts, 1U);
    while (true) {
        const std::string entry = co_await entry_address();
        attempts.push_back(co_await call_once(spec, entry));
        if (attempts.size() >= max_attempts || !should_retry(spec, attempts.back())) {
            break;
        }
        fail_over_from(entry);
        const bool all_entries_tried = attempts.size() >= seed_addresses_.size();
        if (attempts.back().retry_after) {
            co_await sleep_for(*attempts.back().retry_after);
        }
        else if (attempts.back().possibly_sent || all_entries_tried) {
            co_await sleep_for(retry_backoff * attempts.size());
        }
    }
    co_return attempts;
}

asio::awaitable<attempt_result> entry_caller::call_once(call_spec spec, std::string entry)
{
    attempt_result result;
    result.address = entry;
    result.started_at = monotonic_clock::now();
    http_call_options options;
    options.timeout = timeout_margin + (spec.deadline_ms > 0
                                            ? duration(std::chrono::milliseconds(spec.deadline_ms))
                                            : default_deadline);
    http_request request = to_request(spec);
    auto opened = co_await http_->open(entry, std::move(request), options);
    if (!opened) {
        result.possibly_sent = opened.failure().code != http_error::not_sent;
        result.reason = opened.failure().reason;
        result.ended_at = monotonic_clock::now();
        co_return result;
    }
    result.possibly_sent = true;
    result.status = (*opened)->status();
    result.outcome = parse_outcome((*opened)->header("X-Chervil-Outcome"));
    result.retry_after = parse_retry_after((*opened)->header("Retry-After"));
    co_await read_answer(result, *opened, result.started_at + options.timeout);
    result.ended_at = monotonic_clock::now();
    co_return result;
}

asio::awaitable<void> entry_caller::read_answer(attempt_result& result,
                                                std::shared_ptr<http_stream> stream,
                                                time_point deadline)
{
    const bool is_event_stream = stream->header("Content-Type").starts_with("text/event-stream");
    std::string buffer;
    bool properly_ended = !is_event_stream;
    while (true) {
        const duration remaining = std::max<duration>(deadline - monotonic_clock::now(), 1ms);
        auto part = co_await stream->read_some(remaining);
        if (!part) {
            result.reason = part.failure().reason;
            result.cut_off = true;
            result.outcome = call_outcome::none;
            co_return;
        }
        if (part->empty()) {
            break;
        }
        buffer += *part;
        std::size_t consumed = 0;
        for (std::size_t event_end = 0;
             is_event_stream && (event_end = buffer.find("\n\n", consumed)) != buffer.npos;) {
            const std::string event = buffer.substr(consumed, event_end - consumed);
            consumed = event_end + 2;
            if (event == "data: [DONE]") {
                properly_ended = true;
            }
            else if (event.starts_with(event_data_prefix)) {
                apply_event(result, event.substr(event_data_prefix.size()));
            }
        }
        buffer.erase(0, consumed);
    }
    if (!is_event_stream) {
        (result.status == 200 ? result.text : result.reason) = buffer;
    }
    else if (!properly_ended) {
        result.cut_off = true;
        result.outcome = call_outcome::none;
    }
}

} // namespace chervildyke::load
