/** \file
 * Implements the callers.
 */
#include "soak/callers.h"

#include <limits>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration address_life = 2s;      // How long told addresses are kept.
constexpr duration directory_timeout = 1s; // For each node asked for addresses.
constexpr int directory_tries = 3;         // Nodes asked before the old addresses are used.
constexpr duration connect_timeout = 1s;   // For a new connection to a node.
constexpr std::uint64_t longest_pause_ms = 120;
constexpr std::uint64_t fewest_events = 10;
constexpr std::uint64_t most_events = 60;
constexpr double streams_share = 0.7;  // Of all calls.
constexpr double leavers_share = 0.05; // Callers that leave a stream early.
constexpr std::size_t leaves_after_bytes = 200;
constexpr duration lost_slack = 200ms;  // A call that crosses a close is not lost.
constexpr duration return_at_most = 1s; // The longest wait before one comes back.

bool promises_not_run(unsigned status)
{
    return status == 429 || status == 503;
}

} // namespace

callers::callers(asio::any_io_executor executor, caller_network network, const deployment& deployed,
                 promise_book& book, const calm& quiet, random_source random)
    : executor_(std::move(executor)), network_(std::move(network)), deployed_(deployed),
      book_(book), calm_(quiet), random_(std::move(random))
{
}

void callers::start(std::size_t count)
{
    for (std::size_t i = 0; i < count; ++i) {
        const auto caller = std::make_shared<one>();
        caller->http = std::make_shared<http_client>(executor_, 1);
        caller->name = std::to_string(i);
        ++at_work_;
        asio::co_spawn(executor_, call_in_turn(caller), asio::detached);
    }
}

asio::awaitable<void> callers::call_in_turn(std::shared_ptr<one> caller)
{
    while (running_) {
        const auto pause = std::chrono::milliseconds(random_below(random_, longest_pause_ms));
        co_await sleep_for(pause);
        if (monotonic_clock::now() > caller->addresses_until) {
            co_await ask_addresses(caller);
        }
        if (!caller->addresses.empty()) {
            co_await call_once(caller);
        }
    }
    --at_work_;
}

asio::awaitable<void> callers::ask_addresses(std::shared_ptr<one> caller)
{
    for (int i = 0; i < directory_tries; ++i) {
        const std::string node =
            network_.directories[random_below(random_, network_.directories.size())];
        http_request request;
        request.target = directory_target(deployed_.host, "a");
        http_call_options options;
        options.timeout = directory_timeout;
        auto reply = co_await caller->http->call(node, std::move(request), options);
        if (reply && reply->status == 200) {
            const auto told = read_addresses(reply->body);
            if (!told.empty()) {
                caller->addresses = told;
                caller->addresses_until = monotonic_clock::now() + address_life;
                co_return;
            }
        }
    }
}

sent_call callers::make_call(one& caller, const deployed_route& route)
{
    sent_call call;
    call.id = caller.name + "-" + std::to_string(++caller.calls);
    call.kind = route.streaming    ? call_kind::resumed
                : route.repeatable ? call_kind::freely
                                   : call_kind::once;
    call.target = route.path_prefix + call.id;
    const auto& team = deployed_.teams[random_below(random_, deployed_.teams.size())];
    call.team = team.name;
    call.key = team.keys[random_below(random_, team.keys.size())];
    if (route.streaming) {
        call.last_event = fewest_events + random_below(random_, most_events - fewest_events);
        call.body = std::to_string(call.last_event);
    }
    else {
        call.body = "for " + call.id;
    }
    call.sent_at = monotonic_clock::now();
    return call;
}

asio::awaitable<void> callers::call_once(std::shared_ptr<one> caller)
{
    const bool streams = random_fraction(random_) < streams_share;
    std::vector<const deployed_route*> routes;
    for (const deployed_route& route : deployed_.routes) {
        if (route.streaming == streams) {
            routes.push_back(&route);
        }
    }
    const deployed_route route = *routes[random_below(random_, routes.size())];
    std::string model;
    if (streams) {
        model = deployed_.models[random_below(random_, deployed_.models.size())].name;
    }
    const time_point until = monotonic_clock::now() + route.timeout;
    const auto back_in = co_await attempt(caller, route, model, route.timeout);
    if (back_in) {
        const duration wait = *back_in;
        co_await sleep_for(wait);
        const duration left = until - monotonic_clock::now();
        co_await attempt(caller, route, model, left);
    }
}

void callers::note_lost(const sent_call& call, const http_failure& failure)
{
    const bool cut = failure.code == http_error::unanswered || failure.code == http_error::broken;
    const duration age = monotonic_clock::now() - call.sent_at;
    if (cut && age > lost_slack && calm_.since(call.sent_at)) {
        book_.cut_off_in_calm(call.id, failure.reason);
    }
}

void callers::count(const std::string& kind, const got_answer& answer)
{
    const bool success = answer.status >= 200 && answer.status < 300 && answer.whole;
    for (call_counts* const counts : {&counts_, &by_kind_[kind]}) {
        ++counts->sent;
        if (success) {
            ++counts->served;
        }
        else if (promises_not_run(answer.status)) {
            ++counts->refused;
        }
        else {
            ++counts->failed;
        }
    }
}

asio::awaitable<got_answer> callers::read_answer(std::shared_ptr<http_stream> stream,
                                                 std::string id, std::size_t leave_after)
{
    got_answer answer;
    answer.status = stream->status();
    answer.seal = read_seal(stream->headers());
    while (answer.body.size() < leave_after) {
        auto part = co_await stream->read_some(4s);
        if (!part) {
            co_return answer;
        }
        if (part->empty()) {
            answer.whole = true;
            co_return answer;
        }
        answer.body += *part;
    }
    book_.left(id, monotonic_clock::now(), calm_.since(monotonic_clock::now()));
    co_return answer;
}

asio::awaitable<std::optional<duration>> callers::attempt(std::shared_ptr<one> caller,
                                                          const deployed_route& route,
                                                          std::string model, duration time_left)
{
    const auto& told = caller->addresses;
    const std::string address = told[random_below(random_, told.size())];
    const auto proxy = network_.proxies.find(address);
    if (proxy == network_.proxies.end()) {
        book_.broken("addresses", "callers were told to use " + address);
        co_return std::nullopt;
    }
    const sent_call call = make_call(*caller, route);
    book_.sent(call);
    const std::string kind = model.empty() ? route.name : model;
    http_request request = write_call(call, deployed_.host, model, time_left);
    http_call_options options;
    options.timeout = time_left;
    options.connect_timeout = connect_timeout;
    const std::string via = proxy->second;
    auto stream = co_await caller->http->open(via, std::move(request), options);
    if (!stream) {
        count(kind, {});
        note_lost(call, stream.last_reason());
        co_return std::nullopt;
    }
    const bool leaves = route.streaming && random_fraction(random_) < leavers_share;
    const std::size_t leave_after =
        leaves ? leaves_after_bytes : std::numeric_limits<std::size_t>::max();
    const got_answer answer = co_await read_answer(*stream, call.id, leave_after);
    book_.got(call.id, answer);
    if (!leaves && !book_.is_revoked(call.key)) {
        count(kind, answer);
    }
    if (!leaves && !answer.whole) {
        note_lost(call, {http_error::broken, "the answer broke off"});
    }
    const std::string back((*stream)->header("Retry-After"));
    if (!promises_not_run(answer.status) || back.empty()) {
        co_return std::nullopt;
    }
    const duration wait =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(std::stod(back)));
    if (wait > return_at_most || wait > time_left / 3) {
        co_return std::nullopt;
    }
    co_return wait;
}

} // namespace chervildyke::soak
