/** \file
 * Implements the reading of completions calls with nlohmann-json.
 */
#include "entry/completion_request.h"

#include <nlohmann/json.hpp>

namespace chervildyke {

namespace {

using nlohmann::json;

constexpr std::size_t max_key_bytes = 256;
constexpr std::int64_t max_tokens_limit = 1'000'000;

/** Collects the fields of a call; the first fault found is kept. */
class field_reader {
  public:
    explicit field_reader(const json& body) : body_(body) {}

    std::string text(const char* name)
    {
        const json* field = find(name);
        if (field == nullptr) {
            fail(name, "a text");
            return {};
        }
        return content(*field, name);
    }

    bool flag(const char* name)
    {
        const json* field = find(name);
        if (field != nullptr && !field->is_boolean()) {
            fail(name, "true or false");
        }
        return field != nullptr && field->is_boolean() && field->get<bool>();
    }

    std::int64_t number(const char* name, std::int64_t at_least, std::int64_t at_most)
    {
        const json* field = find(name);
        if (field == nullptr) {
            return 0;
        }
        if (!field->is_number_integer() || field->get<std::int64_t>() < at_least ||
            field->get<std::int64_t>() > at_most) {
            fail(name, "a whole number from " + std::to_string(at_least) + " to " +
                           std::to_string(at_most));
            return 0;
        }
        return field->get<std::int64_t>();
    }

    std::string messages()
    {
        const json* field = find("messages");
        if (field == nullptr || !field->is_array() || field->empty()) {
            fail("messages", "a list of at least one message");
            return {};
        }
        std::string prompt;
        for (const json& message : *field) {
            const bool whole = message.is_object() && message.contains("role") &&
                               message["role"].is_string() && message.contains("content");
            if (!whole) {
                fail("messages", "objects with role and content");
                return {};
            }
            prompt += message["role"].get<std::string>() + ": ";
            prompt += content(message["content"], "messages[].content") + "\n";
        }
        return prompt;
    }

    const json* find(const char* name) const
    {
        const auto found = body_.find(name);
        return found == body_.end() || found->is_null() ? nullptr : &*found;
    }

    const std::optional<api_error>& fault() const { return fault_; }

  private:
    /** A text, or a list of parts of which the text parts count. */
    std::string content(const json& field, const char* name)
    {
        if (field.is_string()) {
            return field.get<std::string>();
        }
        std::string joined;
        bool readable = field.is_array();
        for (const json& part : field) {
            const bool is_text =
                part.is_object() && part.contains("text") && part["text"].is_string();
            readable = readable && is_text;
            joined += is_text ? part["text"].get<std::string>() : std::string();
        }
        if (!readable) {
            fail(name, "a text");
        }
        return joined;
    }

    void fail(const std::string& name, const std::string& expected)
    {
        if (!fault_) {
            fault_ = invalid_request("'" + name + "' must be " + expected, "invalid_type");
        }
    }

    const json& body_;
    std::optional<api_error> fault_;
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

api_result<completion_request> read_completion(call_kind kind, const http_request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (body.is_discarded() || !body.is_object()) {
        return invalid_request("the body is not a JSON object", "invalid_json");
    }
    completion_request call;
    call.kind = kind;
    field_reader fields(body);
    split_model(fields.text("model"), call);
    call.prompt = kind == call_kind::chat ? fields.messages() : fields.text("prompt");
    call.stream = fields.flag("stream");
    const char* limit =
        fields.find("max_completion_tokens") != nullptr ? "max_completion_tokens" : "max_tokens";
    call.max_tokens = static_cast<std::uint32_t>(fields.number(limit, 1, max_tokens_limit));
    call.seed = static_cast<std::uint64_t>(fields.number("seed", 0, INT64_MAX));
    if (fields.number("n", 1, 1); fields.fault()) {
        return *fields.fault();
    }
    read_stream_options(fields.find("stream_options"), call);
    call.batch = request.header("X-Chervil-Class") == "batch";
    call.idempotency_key = std::string(request.header("Idempotency-Key"));
    if (call.idempotency_key.size() > max_key_bytes) {
        return invalid_request("Idempotency-Key is longer than 256 bytes", "invalid_key");
    }
    const auto created = read_key_created(request);
    if (!created) {
        return invalid_request("X-Chervil-Key-Created-Ms must be milliseconds since 1970",
                               "invalid_key_time");
    }
    call.key_created_ms = *created;
    return call;
}

} // namespace chervildyke
