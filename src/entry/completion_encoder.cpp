/** \file
 * Implements completion_encoder. The constant parts of the chunks are encoded once for each call.
 */
#include "entry/completion_encoder.h"

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

std::string to_json_string(const std::string& text)
{
    return nlohmann::json(text).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string usage_field(const token_usage& usage)
{
    const std::uint32_t total = usage.prompt_tokens + usage.completion_tokens;
    return R"("usage":{"prompt_tokens":)" + std::to_string(usage.prompt_tokens) +
           R"(,"completion_tokens":)" + std::to_string(usage.completion_tokens) +
           R"(,"total_tokens":)" + std::to_string(total) +
           R"(,"prompt_tokens_details":{"cached_tokens":)" + std::to_string(usage.cached_tokens) +
           "}}";
}

} // namespace

completion_encoder::completion_encoder(completion_kind kind, std::string id,
                                       const std::string& model, std::uint64_t created_s)
    : kind_(kind), id_(std::move(id))
{
    const std::string common_fields = R"({"id":)" + to_json_string(id_) + R"(,"created":)" +
                                      std::to_string(created_s) + R"(,"model":)" +
                                      to_json_string(model);
    const bool chat = kind == completion_kind::chat;
    chunk_prefix_ = "data: " + common_fields + R"(,"object":")" +
                    (chat ? "chat.completion.chunk" : "text_completion") + R"(","choices":[)";
    body_prefix_ =
        common_fields + R"(,"object":")" + (chat ? "chat.completion" : "text_completion") + "\",";
}

std::string completion_encoder::encode_chunk(const std::string& text, bool first) const
{
    std::string event = chunk_prefix_;
    event += R"({"index":0,)";
    if (kind_ == completion_kind::chat) {
        event += first ? R"("delta":{"role":"assistant","content":)" : R"("delta":{"content":)";
        event += to_json_string(text) + "}";
    }
    else {
        event += R"("text":)" + to_json_string(text);
    }
    return event + R"(,"finish_reason":null}]})" + "\n\n";
}

std::string completion_encoder::encode_final_chunk(const std::string& finish_reason,
                                                   const token_usage& usage,
                                                   bool include_usage) const
{
    std::string event = chunk_prefix_;
    event +=
        kind_ == completion_kind::chat ? R"({"index":0,"delta":{})" : R"({"index":0,"text":"")";
    event += R"(,"finish_reason":)" + to_json_string(finish_reason) + "}]";
    if (include_usage) {
        event += "," + usage_field(usage);
    }
    return event + R"(,"chervil_outcome":"complete"})" + "\n\n";
}

std::string completion_encoder::encode_error(const api_error& error) const
{
    return "data: " + to_json_text(error) + "\n\n";
}

std::string completion_encoder::encode_body(const std::string& text,
                                            const std::string& finish_reason,
                                            const token_usage& usage) const
{
    const std::string content_field =
        kind_ == completion_kind::chat
            ? R"("message":{"role":"assistant","content":)" + to_json_string(text) + "}"
            : R"("text":)" + to_json_string(text);
    return body_prefix_ + R"("choices":[{"index":0,)" + content_field + R"(,"finish_reason":)" +
           to_json_string(finish_reason) + "}]," + usage_field(usage) + "}";
}

} // namespace chervildyke
