/** \file
 * Implements completion_format. The fixed parts of a chunk are written once for each call.
 */
#include "entry/completion_format.h"

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

std::string json_text(const std::string& text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string usage_text(const token_usage& usage)
{
    const std::uint32_t total = usage.prompt_tokens + usage.completion_tokens;
    return R"("usage":{"prompt_tokens":)" + std::to_string(usage.prompt_tokens) +
           R"(,"completion_tokens":)" + std::to_string(usage.completion_tokens) +
           R"(,"total_tokens":)" + std::to_string(total) +
           R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(usage.cached_tokens) +
           "}}";
}

} // namespace

completion_format::completion_format(call_kind kind, std::string id, const std::string& model,
                                     std::uint64_t created_s)
    : kind_(kind), id_(std::move(id))
{
    const std::string named = R"({"id":)" + json_text(id_) + R"(,"created":)" +
                              std::to_string(created_s) + R"(,"model":)" + json_text(model);
    const bool chat = kind == call_kind::chat;
    chunk_head_ = "data: " + named + R"(,"object":")" +
                  (chat ? "chat.completion.chunk" : "text_completion") + R"(","choices":[)";
    whole_head_ = named + R"(,"object":")" + (chat ? "chat.completion" : "text_completion") + "\",";
}

std::string completion_format::part(const std::string& text, bool first) const
{
    std::string event = chunk_head_;
    event += R"({"index":0,)";
    if (kind_ == call_kind::chat) {
        event += first ? R"("delta":{"role":"assistant","content":)" : R"("delta":{"content":)";
        event += json_text(text) + "}";
    }
    else {
        event += R"("text":)" + json_text(text);
    }
    return event + R"(,"finish_reason":null}]})" + "\n\n";
}

std::string completion_format::last_part(const std::string& finish_reason, const token_usage& usage,
                                         bool include_usage) const
{
    std::string event = chunk_head_;
    event += kind_ == call_kind::chat ? R"({"index":0,"delta":{})" : R"({"index":0,"text":"")";
    event += R"(,"finish_reason":)" + json_text(finish_reason) + "}]";
    if (include_usage) {
        event += "," + usage_text(usage);
    }
    return event + R"(,"chervil_outcome":"complete"})" + "\n\n";
}

std::string completion_format::error_event(const api_error& error) const
{
    return "data: " + to_json_text(error) + "\n\n";
}

std::string completion_format::whole(const std::string& text, const std::string& finish_reason,
                                     const token_usage& usage) const
{
    const std::string answer =
        kind_ == call_kind::chat
            ? R"("message":{"role":"assistant","content":)" + json_text(text) + "}"
            : R"("text":)" + json_text(text);
    return whole_head_ + R"("choices":[{"index":0,)" + answer + R"(,"finish_reason":)" +
           json_text(finish_reason) + "}]," + usage_text(usage) + "}";
}

} // namespace chervildyke
