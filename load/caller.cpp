/** \file
 * Implements a caller of the OpenAI-compatible and service calls.
 */
#include "load/caller.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

constexpr duration default_deadline = 30s;
constexpr duration answer_margin = 2s;
constexpr duration entries_timeout = 1s;
constexpr duration default_validity = 5s;
constexpr duration retry_pause = 100ms;

outcome outcome_named(std::string_view name)
{
    return name == "complete"  ? outcome::complete
           : name == "not_run" ? outcome::not_run
           : name == "unknown" ? outcome::unknown
                               : outcome::none;
}

http_request to_request(const call_spec& spec)
{
    http_request request;
    request.method = "POST";
    request.headers = {{"Content-Type", "application/json"},
                       {"Authorization", "Bearer " + spec.bearer}};
    if (spec.deadline_ms > 0) {
        request.headers.push_back({"X-Chervil-Deadline-Ms", std::to_string(spec.deadline_ms)});
    }
    if (!spec.key.empty()) {
        request.headers.push_back({"Idempotency-Key", spec.key});
    }
    if (!spec.operation.empty()) {
        request.target = "/v1/services/" + spec.operation;
        request.body = spec.body;
        return request;
    }
    request.target = "/v1/chat/completions";
    json body = {{"model", spec.team}, {"stream", true}, {"max_tokens", spec.tokens}};
    body["messages"] = json::array({{{"role", "user"}, {"content", spec.prompt}}});
    request.body = body.dump();
    return request;
}

/** The text of an event's first choice. */
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

void take_event(try_result& result, const std::string& data)
{
    const json event = json::parse(data, nullptr, false);
    if (!event.is_object()) {
        return;
    }
    for (const char* name : {"outcome", "chervil_outcome", "x_chervil_outcome"}) {
        if (event.contains(name) && event[name].is_string()) {
            result.ended = outcome_named(event[name].get<std::string>());
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
    result.take_text(text);
}

bool try_again(const call_spec& spec, const try_result& last)
{
    if (last.ended == outcome::complete) {
        return false;
    }
    const bool own_fault =
        last.status >= 400 && last.status < 500 && last.status != 429 && last.status != 408;
    if (last.ended == outcome::not_run) {
        return !own_fault;
    }
    // Lost or unknown: an order may be asked for again under its key only.
    return spec.operation.empty() ? last.status == 0 || last.cut_off : !spec.key.empty();
}

} // namespace

void try_result::take_text(const std::string& part)
{
    text += part;
    const time_point now = monotonic_clock::now();
    if (first_token == time_point()) {
        first_token = now;
    }
    else {
        gaps_ms.push_back(std::chrono::duration<float, std::milli>(now - ended_at).count());
    }
    ended_at = now;
}

const char* to_string(outcome which)
{
    switch (which) {
    case outcome::complete:
        return "complete";
    case outcome::not_run:
        return "not_run";
    case outcome::unknown:
        return "unknown";
    default:
        return "none";
    }
}

caller::caller(std::shared_ptr<http_client> http, std::vector<std::string> seeds,
               random_source random)
    : http_(std::move(http)), seeds_(std::move(seeds)), random_(std::move(random))
{
    next_ = random_below(random_, std::max<std::size_t>(seeds_.size(), 1));
}

asio::awaitable<void> caller::ask_for_addresses()
{
    http_request request;
    request.target = "/v1/entries";
    http_call_options options;
    options.timeout = entries_timeout;
    std::vector<std::string> candidates = addresses_;
    candidates.insert(candidates.end(), seeds_.begin(), seeds_.end());
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
        std::vector<std::string> given;
        for (const json& entry : answer["entries"]) {
            given.push_back(entry.is_string() ? entry.get<std::string>()
                                              : entry.value("address", std::string()));
        }
        if (!given.empty()) {
            addresses_ = given;
            next_ = 0;
            const auto valid_ms = answer.value("valid_for_ms", std::uint64_t{0});
            valid_until_ = monotonic_clock::now() +
                           (valid_ms == 0 ? default_validity : std::chrono::milliseconds(valid_ms));
            co_return;
        }
    }
}

asio::awaitable<std::string> caller::address()
{
    if (addresses_.empty() || monotonic_clock::now() > valid_until_) {
        co_await ask_for_addresses();
    }
    const std::vector<std::string>& from = addresses_.empty() ? seeds_ : addresses_;
    co_return from[next_ % from.size()];
}

void caller::leave(const std::string& entry)
{
    const std::vector<std::string>& from = addresses_.empty() ? seeds_ : addresses_;
    if (from[next_ % from.size()] == entry) {
        ++next_;
    }
}

asio::awaitable<std::vector<try_result>> caller::call(call_spec spec)
{
    std::vector<try_result> tries;
    const std::uint32_t most = std::max(spec.tries, 1U);
    while (true) {
        const std::string entry = co_await address();
        tries.push_back(co_await try_once(spec, entry));
        if (tries.size() >= most || !try_again(spec, tries.back())) {
            break;
        }
        leave(entry);
        const bool all_failed = tries.size() >= seeds_.size();
        if (tries.back().sent || all_failed) {
            co_await sleep_for(retry_pause * tries.size());
        }
    }
    co_return tries;
}

asio::awaitable<try_result> caller::try_once(call_spec spec, std::string entry)
{
    try_result result;
    result.entry = entry;
    result.started = monotonic_clock::now();
    http_call_options options;
    options.timeout = answer_margin + (spec.deadline_ms > 0
                                           ? duration(std::chrono::milliseconds(spec.deadline_ms))
                                           : default_deadline);
    http_request request = to_request(spec);
    auto opened = co_await http_->open(entry, std::move(request), options);
    if (!opened) {
        result.sent = opened.last_reason().code != http_error::not_sent;
        result.reason = opened.last_reason().reason;
        result.ended_at = monotonic_clock::now();
        co_return result;
    }
    result.sent = true;
    result.status = (*opened)->status();
    result.ended = outcome_named((*opened)->header("X-Chervil-Outcome"));
    co_await read_answer(result, *opened, result.started + options.timeout);
    result.ended_at = monotonic_clock::now();
    co_return result;
}

asio::awaitable<void> caller::read_answer(try_result& result, std::shared_ptr<http_stream> from,
                                          time_point end)
{
    const bool events = from->header("Content-Type").starts_with("text/event-stream");
    std::string buffer;
    bool terminal = !events;
    while (true) {
        const duration left = std::max<duration>(end - monotonic_clock::now(), 1ms);
        auto part = co_await from->read_some(left);
        if (!part) {
            result.reason = part.last_reason().reason;
            result.cut_off = true;
            result.ended = outcome::none;
            co_return;
        }
        if (part->empty()) {
            break;
        }
        buffer += *part;
        std::size_t taken = 0;
        for (std::size_t stop = 0; events && (stop = buffer.find("\n\n", taken)) != buffer.npos;) {
            const std::string event = buffer.substr(taken, stop - taken);
            taken = stop + 2;
            if (event == "data: [DONE]") {
                terminal = true;
            }
            else if (event.starts_with("data: ")) {
                take_event(result, event.substr(6));
            }
        }
        buffer.erase(0, taken);
    }
    if (!events) {
        (result.status == 200 ? result.text : result.reason) = buffer;
    }
    else if (!terminal) {
        result.cut_off = true;
        result.ended = outcome::none;
    }
}

} // namespace chervildyke::load
