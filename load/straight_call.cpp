/** \file
 * Implements the baseline without the system.
 */
#include "load/straight_call.h"

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "external/json_message.h"
#include "platform.pb.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr duration call_timeout = 30s;
constexpr duration loads_kept = 250ms;
constexpr std::size_t prefix_characters = 256;

void take_chunk(try_result& result, const std::string& data)
{
    schema::engine_chunk chunk;
    if (!from_json(data, chunk)) {
        return;
    }
    result.take_text(chunk.text());
    result.ended = chunk.last() ? outcome::complete : result.ended;
}

} // namespace

straight_caller::straight_caller(std::shared_ptr<http_client> http, fleet where, bool least_loaded,
                                 random_source random)
    : http_(std::move(http)), where_(std::move(where)), least_loaded_(least_loaded),
      random_(std::move(random))
{
}

asio::awaitable<void> straight_caller::read_loads()
{
    loads_read_ = monotonic_clock::now();
    http_request ask;
    ask.target = "/report";
    std::vector<head> read = heads_;
    for (head& each : read) {
        schema::engine_report report;
        auto reply = co_await http_->call(each.address, ask);
        if (reply && from_json(reply->body, report)) {
            each.load = report.running() + report.queued();
        }
    }
    heads_ = std::move(read);
}

const straight_caller::head& straight_caller::choose()
{
    const std::size_t start = random_below(random_, heads_.size());
    std::size_t best = start;
    for (std::size_t i = 0; least_loaded_ && i < heads_.size(); ++i) {
        const std::size_t at = (start + i) % heads_.size();
        best = heads_[at].load < heads_[best].load ? at : best;
    }
    return heads_[best];
}

asio::awaitable<void> straight_caller::find_heads()
{
    std::vector<head> found;
    for (const std::string& process : where_.engine_processes()) {
        http_request ask;
        ask.target = "/truth";
        auto reply = co_await http_->call(process, ask);
        const auto members =
            reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json::array();
        for (const auto& member : members) {
            const std::string vm = member.at("vm");
            const auto& group = member.at("group");
            if (!group.empty() && group.at(0) == vm && where_.find(vm) != nullptr) {
                found.push_back({where_.find(vm)->address, member.at("replica")});
            }
        }
    }
    heads_ = std::move(found);
}

asio::awaitable<try_result> straight_caller::call(call_spec spec)
{
    try_result result;
    if (heads_.empty()) {
        co_await find_heads();
    }
    if (heads_.empty()) {
        result.reason = "no replica";
        co_return result;
    }
    if (least_loaded_ && monotonic_clock::now() - loads_read_ > loads_kept) {
        co_await read_loads();
    }
    const head to = choose();
    schema::engine_call call;
    call.set_attempt_id("straight-" + spec.subject.substr(0, spec.subject.find(' ')));
    call.set_replica_id(to.replica_id);
    call.set_fencing(to.replica_id);
    call.set_prompt(spec.prompt);
    call.set_max_tokens(spec.tokens);
    for (std::size_t end = prefix_characters; end < spec.prompt.size(); end += prefix_characters) {
        call.add_prefix_hashes(placement_hash(spec.prompt.substr(0, end)));
    }
    http_request request;
    request.method = "POST";
    request.target = "/generate";
    request.body = to_json(call);
    result.entry = to.address;
    result.started = monotonic_clock::now();
    auto opened = co_await http_->open(to.address, request);
    result.status = opened ? (*opened)->status() : 0;
    std::string buffer;
    while (result.status == 200) {
        auto part = co_await (*opened)->read_some(call_timeout);
        if (!part || part->empty()) {
            break;
        }
        buffer += *part;
        std::size_t stop = 0;
        while ((stop = buffer.find("\n\n")) != std::string::npos) {
            take_chunk(result, buffer.substr(6, stop - 6));
            buffer.erase(0, stop + 2);
        }
    }
    result.ended_at = monotonic_clock::now();
    co_return result;
}

} // namespace chervildyke::load
