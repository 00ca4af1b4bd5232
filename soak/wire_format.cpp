/** \file
 * Implements the encoding and decoding.
 */
#include "soak/wire_format.h"

#include <array>
#include <charconv>

#include <boost/endian/conversion.hpp>
#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "base/milliseconds.h"

namespace chervildyke::soak {

using nlohmann::json;

const char* const configuration_topic = "keyed.op";
const char* const configuration_key = "config";
const char* const server_topic = "keyed.servers";

namespace {

constexpr std::size_t record_length_bytes = 4; // The size of each record stands before it.

std::uint64_t read_number(const std::string& text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

double in_s(duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::string to_base64(const std::string& bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
    const int written = EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                        reinterpret_cast<const unsigned char*>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(written));
    return text;
}

http_reply json_reply(unsigned status, const json& body)
{
    http_reply reply;
    reply.status = status;
    reply.body = body.dump();
    return reply;
}

/** Decodes the body of an append, up to the first truncated record. */
std::vector<stored_record> decode_records(const std::string& body)
{
    std::vector<stored_record> records;
    std::size_t at = 0;
    while (body.size() - at > record_length_bytes) {
        const std::size_t length =
            boost::endian::load_big_u32(reinterpret_cast<const unsigned char*>(body.data() + at));
        at += record_length_bytes;
        if (length == 0 || body.size() - at < length) {
            break;
        }
        const std::size_t key_length = static_cast<unsigned char>(body[at]);
        stored_record record;
        record.key = body.substr(at + 1, key_length);
        record.value = body.substr(at + 1 + key_length, length - 1 - key_length);
        records.push_back(std::move(record));
        at += length;
    }
    return records;
}

store_operation read_operation(std::string_view path)
{
    if (path == "/chervildyke/log-append") {
        return store_operation::append;
    }
    if (path == "/chervildyke/log-read") {
        return store_operation::read;
    }
    if (path == "/chervildyke/log-newest") {
        return store_operation::read_latest;
    }
    return path == "/chervildyke/log-trim" ? store_operation::trim : store_operation::unknown;
}

const char* phase_name(membership_phase phase)
{
    switch (phase) {
    case membership_phase::none:
        return "";
    case membership_phase::joining:
        return "joining";
    case membership_phase::ready:
        return "ready";
    case membership_phase::open:
        return "open";
    case membership_phase::closing:
        return "closing";
    case membership_phase::broken:
        return "broken";
    }
    return "";
}

json write_engine_settings(const deployment& deployed)
{
    json models = json::array();
    for (const deployed_model& model : deployed.models) {
        models.push_back({{"name", model.name},
                          {"size", model.replica_size},
                          {"share", model.initial_share},
                          {"pace", 1.0},
                          {"load-time-s", in_s(model.load_time)},
                          {"warmup-s", in_s(model.warm_load_time)}});
    }
    return {{"slots", slots_per_replica},
            {"stride", 1},
            {"step_ms", in_ms(event_interval)},
            {"per_seq_ms", 0.0},
            {"context_per_k", 0.0},
            {"read_per_s", 50'000.0},
            {"loads-per-s", max_loads_per_s},
            {"loads_at_once", 7},
            {"form-ms", in_ms(open_delay)},
            {"usual", {{"prompt", 500}, {"answer", 15}}},
            {"models", models}};
}

void append_big_endian_u64(std::string& bytes, std::uint64_t number)
{
    std::array<unsigned char, 8> text{};
    boost::endian::store_big_u64(text.data(), number);
    bytes.append(reinterpret_cast<const char*>(text.data()), text.size());
}

} // namespace

store_call read_store_call(const http_request& request)
{
    store_call call;
    call.operation = read_operation(request.path());
    call.topic = request.query("topic");
    call.from_offset = read_number(request.query("from"));
    call.max_wait = std::chrono::milliseconds(read_number(request.query("wait-ms")));
    call.after_key = request.query("after");
    if (!request.query("at").empty()) {
        call.expected_end = read_number(request.query("at"));
    }
    if (call.operation == store_operation::append) {
        call.records = decode_records(request.body);
    }
    return call;
}

void set_era(http_reply& reply, std::uint64_t era)
{
    reply.headers.push_back({"Store-Era", std::to_string(era)});
}

http_reply write_append_result(std::uint64_t offset, std::uint64_t end_offset)
{
    return json_reply(200, {{"offset", offset}, {"end-offset", end_offset}});
}

http_reply write_conflict(std::uint64_t end_offset)
{
    return json_reply(412, {{"end-offset", end_offset}});
}

http_reply write_trimmed(std::uint64_t first_offset)
{
    return json_reply(410, {{"first-offset", first_offset}});
}

http_reply write_records(std::uint64_t end_offset, std::uint64_t first_offset,
                         const std::vector<stored_record>& records)
{
    http_reply reply;
    reply.content_type = "application/octet-stream";
    append_big_endian_u64(reply.body, end_offset);
    append_big_endian_u64(reply.body, first_offset);
    for (const stored_record& record : records) {
        const std::size_t size = 1 + record.key.size() + record.value.size();
        std::array<unsigned char, record_length_bytes> length{};
        boost::endian::store_big_u32(length.data(), static_cast<std::uint32_t>(size));
        reply.body.append(reinterpret_cast<const char*>(length.data()), length.size());
        reply.body += static_cast<char>(record.key.size());
        reply.body += record.key + record.value;
    }
    return reply;
}

http_reply write_latest_page(const std::vector<stored_record>& records, bool has_more,
                             std::uint64_t end_offset)
{
    json items = json::array();
    for (const stored_record& record : records) {
        items.push_back(
            {{"key", record.key}, {"value", to_base64(record.value)}, {"offset", record.offset}});
    }
    return json_reply(200, {{"items", items}, {"has-more", has_more}, {"end-offset", end_offset}});
}

std::string write_configuration(const deployment& deployed)
{
    json routes = json::array();
    for (const deployed_route& route : deployed.routes) {
        json entry = {{"name", route.name},
                      {"host", deployed.host},
                      {"path-prefix", route.path_prefix},
                      {"service", route.service},
                      {"kind", route.streaming    ? "streaming"
                               : route.idempotent ? "idempotent"
                                                  : "non_idempotent"},
                      {"resumable", route.streaming && route.idempotent},
                      {"max-attempts", max_attempts_per_call},
                      {"timeout-ms", in_ms(route.timeout)},
                      {"target-latency-ms", in_ms(route.target_latency)},
                      {"target-gap-ms", 300},
                      {"priority", route.priority}};
        routes.push_back(std::move(entry));
    }
    json teams = json::array();
    for (const deployed_team& team : deployed.teams) {
        teams.push_back({{"name", team.name}, {"api-keys", team.keys}});
    }
    const json services = {{{"name", model_service},
                            {"max-connections", 300},
                            {"engine", write_engine_settings(deployed)}},
                           {{"name", order_service}, {"max-connections", 100}}};
    const json limits = {{"max-header-bytes", 16'384},
                         {"max-body-bytes", 1'048'576},
                         {"header-timeout-ms", 3'000},
                         {"idle-timeout-ms", 20'000}};
    return json{{"version", deployed.version},
                {"routes", routes},
                {"services", services},
                {"tenants", teams},
                {"limits", limits}}
        .dump();
}

std::string write_server(const server_entry& server)
{
    json entry = {{"service", server.service},     {"address", server.address},
                  {"zone", server.failure_domain}, {"version", "1"},
                  {"slots", server.slots},         {"state", server.leaving ? "draining" : "ready"},
                  {"cold-remaining-ms", 0},        {"sequence", 1},
                  {"born", server.started_ms}};
    if (!server.fabric_domain.empty()) {
        entry["domain"] = server.fabric_domain;
        entry["staged"] = server.staged_models;
    }
    if (!server.replica.empty()) {
        entry["group"] = {{"name", server.replica},
                          {"epoch", server.epoch},
                          {"rank", server.rank},
                          {"state", phase_name(server.phase)}};
    }
    return entry.dump();
}

std::optional<engine_command> read_command(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    if (!parsed.is_object()) {
        return std::nullopt;
    }
    const std::string operation = parsed.value("operation", "");
    engine_command command;
    if (operation == "join") {
        command.operation = engine_operation::join;
    }
    else if (operation == "open") {
        command.operation = engine_operation::open;
    }
    else if (operation == "close") {
        command.operation = engine_operation::close;
    }
    else if (operation == "leave") {
        command.operation = engine_operation::leave;
    }
    else if (operation != "stage") {
        return std::nullopt;
    }
    command.replica = parsed.value("group", "");
    command.epoch = parsed.value("epoch", std::uint64_t{0});
    command.model = parsed.value("model", "");
    command.aborts_calls = parsed.value("close-mode", "") == "aborted";
    command.members = parsed.value("members", std::vector<std::string>());
    if (parsed.contains("precondition")) {
        command.only_after = parsed.value("precondition", std::uint64_t{0});
    }
    return command;
}

request_kind read_request_kind(const http_request& request)
{
    if (request.path() == "/chervildyke/report") {
        return request_kind::report;
    }
    if (request.path() == "/chervildyke/order") {
        return request_kind::command;
    }
    return request.path() == "/health" ? request_kind::health : request_kind::call;
}

std::string target_server_id(const http_request& request)
{
    return std::string(request.header("X-Target-Instance"));
}

call_arrival read_arrival(const http_request& request)
{
    call_arrival arrival;
    arrival.id = request.header("X-Attempt-Id");
    arrival.target = request.target;
    arrival.team = request.header("X-Tenant");
    arrival.body = request.body;
    arrival.prompt = request.header("X-Prompt-Prefix");
    arrival.has_key = !request.header("Authorization").empty();
    arrival.after_event = read_number(std::string(request.header("Last-Event-Id")));
    return arrival;
}

http_reply write_server_answer(const std::string& call_id, const server_answer& answer)
{
    http_reply reply;
    reply.status = answer.status;
    reply.body = answer.body;
    reply.headers = {{"X-Attempt-Id", call_id}, {"X-Response-Seal", answer.seal}};
    return reply;
}

http_reply write_not_executed(const std::string& call_id, unsigned status)
{
    http_reply reply;
    reply.status = status;
    reply.headers = {{"X-Attempt-Id", call_id}, {"X-Not-Executed", "1"}};
    return reply;
}

http_reply write_report(const server_entry& server, std::uint32_t running,
                        std::uint64_t begun_commands)
{
    json report = json::parse(write_server(server));
    report.update({{"stage", "unified"},
                   {"models", json::array()},
                   {"busy", false},
                   {"sequence", begun_commands},
                   {"num-waiting", 0},
                   {"num-running", running},
                   {"pace", 1.0}});
    return json_reply(200, report);
}

http_request write_call(const sent_call& call, const std::string& host, const std::string& model)
{
    http_request request;
    request.method = "POST";
    request.target = call.target;
    request.body = call.body;
    request.headers = {{"Host", host},
                       {"X-Attempt-Id", call.id},
                       {"X-Deadline-Ms", std::to_string(call.time_limit.count())},
                       {"Authorization", "Token " + call.key}};
    if (!model.empty()) {
        request.headers.push_back({"X-Model", model});
        request.headers.push_back({"X-Token-Usage", "500," + std::to_string(call.event_count)});
        request.headers.push_back({"X-Prompt-Prefix", call.prompt});
    }
    return request;
}

std::string read_seal(const std::vector<http_header>& headers)
{
    return std::string(find_header(headers, "X-Response-Seal"));
}

std::string resolve_target(const std::string& host, const std::string& failure_domain)
{
    return "/chervildyke/resolve?name=" + host + "&region=r&zone=" + failure_domain;
}

std::vector<std::string> read_addresses(const std::string& body)
{
    const json parsed = json::parse(body, nullptr, false);
    return parsed.is_object() ? parsed.value("addresses", std::vector<std::string>())
                              : std::vector<std::string>();
}

} // namespace chervildyke::soak
