/** \file
 * Implements direct_caller over the HTTP requests of the engines.
 */
#include "load/direct_caller.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "external/json_message.h"
#include "platform.pb.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration call_timeout = 30s;
constexpr duration report_ttl = 250ms;
constexpr std::size_t prefix_block_bytes = 256;
constexpr std::size_t event_data_prefix_length = 6; // "data: "

/** Adds one streamed chunk to the result. Ignores a malformed chunk. */
void apply_chunk(attempt_result& result, const std::string& data)
{
    schema::engine_chunk chunk;
    if (!from_json(data, chunk)) {
        return;
    }
    result.append_text(chunk.text());
    result.outcome = chunk.last() ? call_outcome::complete : result.outcome;
}

} // namespace

direct_caller::direct_caller(std::shared_ptr<http_client> http, fleet_description fleet,
                             bool least_loaded, random_source random)
    : http_(std::move(http)), fleet_(std::move(fleet)), least_loaded_(least_loaded),
      random_(std::move(random))
{
}

asio::awaitable<void> direct_caller::refresh_reports()
{
    reports_read_at_ = monotonic_clock::now();
    http_request request;
    request.target = "/report";
    std::vector<replica_head> updated = heads_;
    for (replica_head& each : updated) {
        schema::engine_report report;
        auto reply = co_await http_->call(each.address, request);
        if (reply && from_json(reply->body, report)) {
            each.call_count = report.running() + report.queued();
        }
    }
    heads_ = std::move(updated);
}

const direct_caller::replica_head& direct_caller::choose_head()
{
    const std::size_t start = random_below(random_, heads_.size());
    std::size_t best = start;
    for (std::size_t i = 0; least_loaded_ && i < heads_.size(); ++i) {
        const std::size_t candidate = (start + i) % heads_.size();
        best = heads_[candidate].call_count < heads_[best].call_count ? candidate : best;
    }
    return heads_[best];
}

asio::awaitable<void> direct_caller::discover_heads()
{
    std::vector<replica_head> found;
    for (const std::string& fault_address : fleet_.engine_fault_addresses()) {
        http_request request;
        request.target = "/truth";
        auto reply = co_await http_->call(fault_address, request);
        const auto engines =
            reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json::array();
        for (const auto& engine : engines) {
            const std::string vm = engine.at("vm");
            const auto& members = engine.at("group");
            if (!members.empty() && members.at(0) == vm && fleet_.find(vm) != nullptr) {
                found.push_back({fleet_.find(vm)->address, engine.at("replica")});
            }
        }
    }
    heads_ = std::move(found);
}

asio::awaitable<attempt_result> direct_caller::call(call_spec spec)
{
    attempt_result result;
    if (heads_.empty()) {
        co_await discover_heads();
    }
    if (heads_.empty()) {
        result.reason = "the fleet has no replica";
        co_return result;
    }
    if (least_loaded_ && monotonic_clock::now() - reports_read_at_ > report_ttl) {
        co_await refresh_reports();
    }
    const replica_head target = choose_head();
    schema::engine_call call;
    call.set_attempt_id("straight-" + spec.answer_subject.substr(0, spec.answer_subject.find(' ')));
    call.set_replica_id(target.replica_id);
    call.set_fencing(target.replica_id);
    call.set_prompt(spec.prompt);
    call.set_max_tokens(spec.max_tokens);
    for (std::size_t end = prefix_block_bytes; end < spec.prompt.size();
         end += prefix_block_bytes) {
        call.add_prefix_hashes(placement_hash(spec.prompt.substr(0, end)));
    }
    http_request request;
    request.method = "POST";
    request.target = "/generate";
    request.body = to_json(call);
    result.address = target.address;
    result.started_at = monotonic_clock::now();
    auto opened = co_await http_->open(target.address, request);
    result.status = opened ? (*opened)->status() : 0;
    std::string buffer;
    while (result.status == 200) {
        auto part = co_await (*opened)->read_some(call_timeout);
        if (!part || part->empty()) {
            break;
        }
        buffer += *part;
        std::size_t event_end = 0;
        while ((event_end = buffer.find("\n\n")) != std::string::npos) {
            apply_chunk(result, buffer.substr(event_data_prefix_length,
                                              event_end - event_data_prefix_length));
            buffer.erase(0, event_end + 2);
        }
    }
    result.ended_at = monotonic_clock::now();
    co_return result;
}

} // namespace chervildyke::load
