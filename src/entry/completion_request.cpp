/** \file
 * Implements parse_completion_request() with nlohmann-json.
 */
#include "entry/completion_request.h"

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

using nlohmann::json;

constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t max_tokens_limit = 1'000'000;

/** Reads the fields of a JSON body and keeps the first error. */
class field_reader {
  public:
    explicit field_reader(const json& body) : body_(body) {}

    std::string required_text(const char* name)
    {
        const json* field = find(name);
        if (field == nullptr) {
            fail(name, "a string");
            return {};
        }
        return text_content(*field, name);
    }

    bool optional_flag(const char* name)
    {
        const json* field = find(name);
        if (field != nullptr && !field->is_boolean()) {
            fail(name, "true or false");
        }
        return field != nullptr && field->is_boolean() && field->get<bool>();
    }

    std::int64_t optional_integer(const char* name, std::int64_t at_least, std::int64_t at_most)
    {
        const json* field = find(name);
        if (field == nullptr) {
            return 0;
        }
        if (!field->is_number_integer() || field->get<std::int64_t>() < at_least ||
            field->get<std::int64_t>() > at_most) {
            fail(name,
                 "an integer from " + std::to_string(at_least) + " to " + std::to_string(at_most));
            return 0;
        }
        return field->get<std::int64_t>();
    }

    std::string messages_as_prompt()
    {
        const json* field = find("messages");
        if (field == nullptr || !field->is_array() || field->empty()) {
            fail("messages", "a list of at least one message");
            return {};
        }
        std::string prompt;
        for (const json& message : *field) {
            const bool is_valid = message.is_object() && message.contains("role") &&
                                  message["role"].is_string() && message.contains("content");
            if (!is_valid) {
                fail("messages", "objects with role and content");
                return {};
            }
            prompt += message["role"].get<std::string>() + ": ";
            prompt += text_content(message["content"], "messages[].content") + "\n";
        }
        return prompt;
    }

    const json* find(const char* name) const
    {
        const auto found = body_.find(name);
        return found == body_.end() || found->is_null() ? nullptr : &*found;
    }

    const std::optional<api_error>& error() const { return error_; }

  private:
    /** \return a text field, or the joined texts of a list of text parts. */
    std::string text_content(const json& field, const char* name)
    {
        if (field.is_string()) {
            return field.get<std::string>();
        }
        std::string joined;
        bool is_text_only = field.is_array();
        for (const json& part : field) {
            const bool is_text =
                part.is_object() && part.contains("text") && part["text"].is_string();
            is_text_only = is_text_only && is_text;
            joined += is_text ? part["text"].get<std::string>() : std::string();
        }
        if (!is_text_only) {
            fail(name, "a string");
        }
        return joined;
    }

    void fail(const std::string& name, const std::string& expected)
    {
        if (!error_) {
            error_ = invalid_request("'" + name + "' must be " + expected, "invalid_type");
        }
    }

    const json& body_;
    std::optional<api_error> error_;
};

void split_model(const std::string& model, completion_request& call)
{
    const std::size_t colon = model.find(':');
    call.team = model.substr(0, colon);
    if (colon != std::string::npos) {
        call.adapter = model.substr(colon + 1);
    }
}

void read_stream_options(const json* options, completion_request& call)
{
    if (options != nullptr && options->is_object()) {
        const auto found = options->find("include_usage");
        call.include_usage = found != options->end() && found->is_boolean() && found->get<bool>();
    }
}

} // namespace

api_result<completion_request> parse_completion_request(completion_kind kind,
                                                        const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return invalid_request("the body is not a JSON object", "invalid_json");
    }
    completion_request call;
    call.kind = kind;
    field_reader fields(body);
    split_model(fields.required_text("model"), call);
    call.prompt = kind == completion_kind::chat ? fields.messages_as_prompt()
                                                : fields.required_text("prompt");
    call.stream = fields.optional_flag("stream");
    const char* limit =
        fields.find("max_completion_tokens") != nullptr ? "max_completion_tokens" : "max_tokens";
    call.max_tokens =
        static_cast<std::uint32_t>(fields.optional_integer(limit, 1, max_tokens_limit));
    call.seed = static_cast<std::uint64_t>(fields.optional_integer("seed", 0, INT64_MAX));
    if (fields.optional_integer("n", 1, 1); fields.error()) {
        return *fields.error();
    }
    read_stream_options(fields.find("stream_options"), call);
    call.batch = request.header("X-Chervil-Class") == "batch";
    call.idempotency_key = std::string(request.header("Idempotency-Key"));
    if (call.idempotency_key.size() > max_key_bytes) {
        return invalid_request("Idempotency-Key is longer than 256 bytes", "invalid_key");
    }
    const auto created = read_key_creation_time_ms(request);
    if (!created) {
        return invalid_request("X-Chervil-Key-Created-Ms must be milliseconds since 1970",
                               "invalid_key_time");
    }
    call.key_created_ms = *created;
    return call;
}

} // namespace chervildyke
