/** \file
 * Implements caller_pool.
 */
#include "soak/caller_pool.h"

#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration address_ttl = 2s;          // For how long most callers use resolved addresses.
constexpr int long_ttl_factor = 3;            // Some callers use them for this many times as long.
constexpr std::size_t long_ttl_stride = 3;    // Every third caller does so.
constexpr std::size_t keeping_stride = 2;     // Every second caller keeps to its connection.
constexpr duration directory_timeout = 1s;    // For each attempt to resolve addresses.
constexpr int max_directory_attempts = 3;     // Then the old addresses are used again.
constexpr duration connect_timeout = 1s;      // For a new connection to a node.
constexpr duration read_timeout = 4s;         // For each part of an answer.
constexpr std::uint64_t pause_limit_ms = 120; // A caller waits for less than this before each call.
constexpr std::size_t poison_callers = 4;
constexpr std::uint64_t poison_pause_limit_ms = 1'200; // As above, for callers that crash servers.
constexpr std::uint64_t poison_burst_limit = 17;       // Fewer calls come at the same moment.
constexpr std::uint64_t first_parts = 3;               // Parts with which prompts begin.
constexpr int earlier_turns = 40;                      // Further parts, the same in all prompts.
constexpr std::uint64_t second_parts = 12;             // Parts that follow.
constexpr std::size_t own_part_length = 8;             // Characters of its id.
constexpr double poison_second_probability = 0.5;      // That the poison part is the second one.
constexpr std::uint64_t min_events = 10;
constexpr std::uint64_t event_limit = 60;   // A stream has fewer events.
constexpr double stream_probability = 0.7;  // That a call is a stream.
constexpr double cancel_probability = 0.05; // That a caller cancels a stream.
constexpr std::size_t cancel_after_bytes = 200;
// A younger call that no server got may have met a normal close of its connection.
constexpr duration min_lost_call_age = 200ms;
constexpr duration max_retry_wait = 1s;            // A caller does not retry after a longer wait.
constexpr int max_wait_divisor = 3;                // A wait may take a third of the time left.
constexpr const char* caller_failure_domain = "a"; // No node is in it.

/** \return true for the statuses with which nodes refuse calls that were not executed. */
bool is_refusal(unsigned status)
{
    return status == 429 || status == 503;
}

} // namespace

caller_pool::caller_pool(asio::any_io_executor executor, caller_network network,
                         const deployment& deployed, invariant_checker& checker,
                         const fault_tracker& tracker, poison_check& poison, random_source random)
    : executor_(std::move(executor)), network_(std::move(network)), deployment_(deployed),
      checker_(checker), fault_tracker_(tracker), poison_check_(poison), random_(std::move(random))
{
}

void caller_pool::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto caller = std::make_shared<caller_state>();
        caller->http = std::make_shared<http_client>(executor_, 1);
        caller->name = std::to_string(i);
        caller->address_ttl = address_ttl * (i % long_ttl_stride == 0 ? long_ttl_factor : 1);
        caller->keeps_to_node = i % keeping_stride == 0;
        ++active_count_;
        asio::co_spawn(executor_, run_caller(caller), asio::detached);
    }
}

void caller_pool::start_poison()
{
    sends_poison_ = true;
    poison_check_.begin();
    const std::size_t burst = random_below(random_, poison_burst_limit);
    for (std::size_t i = 0; i < poison_callers + burst; ++i) {
        const auto caller = std::make_shared<caller_state>();
        caller->http = std::make_shared<http_client>(executor_, 1);
        caller->name = "poison" + std::to_string(poison_caller_count_++);
        caller->address_ttl = address_ttl;
        caller->sends_poison = true;
        caller->calls_once = i >= poison_callers;
        ++active_count_;
        asio::co_spawn(executor_, run_caller(caller), asio::detached);
    }
}

void caller_pool::stop_poison()
{
    sends_poison_ = false;
    poison_check_.end();
}

asio::awaitable<void> caller_pool::run_caller(std::shared_ptr<caller_state> caller)
{
    const std::uint64_t limit_ms = caller->sends_poison ? poison_pause_limit_ms : pause_limit_ms;
    while (running_ && (sends_poison_ || !caller->sends_poison)) {
        if (!caller->calls_once) {
            const auto pause = std::chrono::milliseconds(random_below(random_, limit_ms));
            co_await sleep_for(pause);
        }
        if (monotonic_clock::now() > caller->addresses_until) {
            co_await resolve_addresses(caller);
        }
        if (!caller->addresses.empty()) {
            co_await call_random_route(caller);
        }
        if (caller->calls_once) {
            break;
        }
    }
    --active_count_;
}

asio::awaitable<void> caller_pool::resolve_addresses(std::shared_ptr<caller_state> caller)
{
    for (int i = 0; i < max_directory_attempts; ++i) {
        const std::string node =
            network_
                .directory_addresses[random_below(random_, network_.directory_addresses.size())];
        http_request request;
        request.target = resolve_target(deployment_.host, caller_failure_domain);
        http_call_options options;
        options.timeout = directory_timeout;
        auto reply = co_await caller->http->call(node, std::move(request), options);
        if (reply && reply->status == 200) {
            const auto resolved = read_addresses(reply->body);
            if (!resolved.empty()) {
                caller->addresses = resolved;
                caller->addresses_until = monotonic_clock::now() + caller->address_ttl;
                co_return;
            }
        }
    }
}

std::string caller_pool::choose_address(const caller_state& caller) const
{
    return caller.kept_address.empty()
               ? caller.addresses[random_below(random_, caller.addresses.size())]
               : caller.kept_address;
}

sent_call caller_pool::make_call(caller_state& caller, const deployed_route& route,
                                 duration time_left)
{
    sent_call call;
    call.time_limit = std::chrono::duration_cast<std::chrono::milliseconds>(time_left);
    call.id = caller.name + "-" + std::to_string(++caller.call_count);
    call.retry = route.streaming    ? retry_rule::resumable
                 : route.idempotent ? retry_rule::idempotent
                                    : retry_rule::never;
    call.target = route.path_prefix + call.id;
    const auto& team = deployment_.teams[random_below(random_, deployment_.teams.size())];
    call.team = team.name;
    call.key = team.keys[random_below(random_, team.keys.size())];
    if (caller.sends_poison) {
        call.poisoned = true;
        call.team = deployment_.teams.back().name;
        call.key = deployment_.teams.back().keys.front();
    }
    if (route.streaming) {
        call.event_count = min_events + random_below(random_, event_limit - min_events);
        call.body = std::to_string(call.event_count);
        call.prompt = draw_prompt(call);
    }
    else {
        call.body = "for " + call.id;
    }
    call.sent_at = monotonic_clock::now();
    return call;
}

std::string caller_pool::draw_prompt(const sent_call& call) const
{
    const std::string first =
        call.poisoned ? poisoned_first_part
                      : "5c1e07a" + std::to_string(2 + random_below(random_, first_parts));
    std::string second = "91bd3f" + std::to_string(10 + random_below(random_, second_parts));
    for (int turn = 0; turn < earlier_turns; ++turn) {
        second += ":2,c0ffee" + std::to_string(10 + turn);
    }
    const std::string own = random_id(random_).substr(0, own_part_length);
    if (!call.poisoned) {
        return first + ":250," + second + ":150," + own + ":100";
    }
    const std::string poison = std::string(poison_part) + ":50";
    // The part comes before or behind the other shared part.
    return random_fraction(random_) < poison_second_probability
               ? first + ":250," + poison + "," + second + ":150," + own + ":50"
               : first + ":250," + second + ":150," + poison + "," + own + ":50";
}

void caller_pool::record_if_sound(const sent_call& call, std::size_t node, unsigned status)
{
    const bool related = call.key == deployment_.teams.back().keys.front() ||
                         has_part(call.prompt, poisoned_first_part);
    if (!call.poisoned && !call.prompt.empty() && related) {
        poison_check_.record_sound_call(node, call.sent_at, status >= 200 && status < 300);
    }
}

asio::awaitable<void> caller_pool::call_random_route(std::shared_ptr<caller_state> caller)
{
    const bool streaming = caller->sends_poison || random_fraction(random_) < stream_probability;
    std::vector<const deployed_route*> routes;
    for (const deployed_route& route : deployment_.routes) {
        if (route.streaming == streaming) {
            routes.push_back(&route);
        }
    }
    const deployed_route route = *routes[random_below(random_, routes.size())];
    std::string model;
    if (streaming) {
        model = deployment_.models[random_below(random_, deployment_.models.size())].name;
    }
    const time_point deadline = monotonic_clock::now() + route.timeout;
    const auto retry_after = co_await send_call(caller, route, model, route.timeout, true);
    if (retry_after) {
        const duration wait = *retry_after;
        co_await sleep_for(wait);
        const duration time_left = deadline - monotonic_clock::now();
        co_await send_call(caller, route, model, time_left, false);
    }
}

void caller_pool::report_if_lost(const sent_call& call, const http_failure& failure)
{
    const bool cut = failure.code == http_error::unanswered || failure.code == http_error::broken;
    const time_point now = monotonic_clock::now();
    const duration age = now - call.sent_at;
    const bool accepted = age > min_lost_call_age || checker_.has_arrived(call.id);
    if (cut && accepted && fault_tracker_.fault_free_since(call.sent_at)) {
        checker_.report_lost_connection(call.id, now, failure.reason);
    }
}

void caller_pool::count_result(const std::string& workload, const received_answer& answer)
{
    const bool success = answer.status >= 200 && answer.status < 300 && answer.complete;
    for (call_counts* const counts : {&counts_, &counts_by_workload_[workload]}) {
        ++counts->sent;
        if (success) {
            ++counts->served;
        }
        else if (is_refusal(answer.status)) {
            ++counts->refused;
        }
        else {
            ++counts->failed;
        }
    }
}

asio::awaitable<received_answer> caller_pool::read_answer(std::shared_ptr<http_stream> stream,
                                                          std::string id, std::size_t cancel_after)
{
    received_answer answer;
    answer.status = stream->status();
    answer.seal = read_seal(stream->headers());
    while (answer.body.size() < cancel_after) {
        auto part = co_await stream->read_some(read_timeout);
        if (!part) {
            co_return answer;
        }
        if (part->empty()) {
            answer.complete = true;
            co_return answer;
        }
        answer.body += *part;
    }
    checker_.record_cancellation(id, monotonic_clock::now(),
                                 fault_tracker_.fault_free_since(monotonic_clock::now()));
    co_return answer;
}

asio::awaitable<std::optional<duration>>
caller_pool::send_call(std::shared_ptr<caller_state> caller, const deployed_route& route,
                       std::string model, duration time_left, bool is_first_attempt)
{
    const std::string address = choose_address(*caller);
    caller->kept_address.clear();
    const auto node = network_.nodes_by_address.find(address);
    if (node == network_.nodes_by_address.end()) {
        checker_.add_finding("addresses", "a directory returned " + address +
                                              ", which is not the call address of a node");
        co_return std::nullopt;
    }
    const sent_call call = make_call(*caller, route, time_left);
    checker_.record_sent(call);
    if (call.poisoned) {
        poison_check_.record_sent(call.id, node->second.index);
    }
    const std::string workload = model.empty() ? route.name : model;
    http_request request = write_call(call, deployment_.host, model);
    http_call_options options;
    options.timeout = time_left;
    options.connect_timeout = connect_timeout;
    const std::string proxy_address = node->second.proxy_address;
    auto stream = co_await caller->http->open(proxy_address, std::move(request), options);
    if (is_first_attempt) {
        record_if_sound(call, node->second.index, stream ? (*stream)->status() : 0);
    }
    if (!stream) {
        if (!call.poisoned) {
            count_result(workload, {});
        }
        report_if_lost(call, stream.failure());
        co_return std::nullopt;
    }
    const bool cancels = route.streaming && random_fraction(random_) < cancel_probability;
    const std::size_t cancel_after =
        cancels ? cancel_after_bytes : std::numeric_limits<std::size_t>::max();
    const received_answer answer = co_await read_answer(*stream, call.id, cancel_after);
    checker_.record_received_answer(call.id, answer);
    if (!cancels && !call.poisoned && !checker_.is_revoked(call.key)) {
        count_result(workload, answer);
    }
    if (!cancels && !answer.complete) {
        report_if_lost(call,
                       {http_error::broken, "the connection ended before the answer was complete"});
    }
    const bool stays_open = answer.complete && (*stream)->header("Connection") != "close";
    if (caller->keeps_to_node && stays_open) {
        caller->kept_address = address;
    }
    const std::string retry_after((*stream)->header("Retry-After"));
    if (!is_refusal(answer.status) || retry_after.empty()) {
        co_return std::nullopt;
    }
    const duration wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::stod(retry_after)));
    if (wait > max_retry_wait || wait > time_left / max_wait_divisor) {
        co_return std::nullopt;
    }
    co_return wait;
}

} // namespace chervildyke::soak
