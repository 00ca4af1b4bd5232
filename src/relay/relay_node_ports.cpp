/** \file
 * Implements what a relay_node answers on its ports: calls, readiness, the directory and metrics.
 */
#include <algorithm>
#include <utility>

#include "base/milliseconds.h"
#include "relay/relay_node.h"
#include "relay/serve_call.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr const char* plain_text = "text/plain";

} // namespace

std::vector<std::string> relay_node::call_addresses()
{
    std::vector<std::string> healthy;  // Nodes that can reach the store.
    std::vector<std::string> reaching; // Those of them that also reach all services.
    std::vector<std::string> others;
    const auto add = [&](const std::string& address, bool sound_store, bool cut_off) {
        (sound_store ? healthy : others).push_back(address);
        if (sound_store && !cut_off) {
            reaching.push_back(address);
        }
    };
    if (ready()) {
        add(settings_.call_address(), view_->store_is_healthy(),
            !context_.links->cut_off_services().empty());
    }
    for (const known_node* node : peers_->live()) {
        const schema::peer_word& state = node->state;
        if (state.ready() && !state.leaving()) {
            add(state.call_address(), state.sound_store(), state.cut_off_services_size() > 0);
        }
    }
    // Few nodes would not bear the calls of all; they carry a part of them for the others.
    if (!reaching.empty() && 2 * reaching.size() >= healthy.size()) {
        return reaching;
    }
    return healthy.empty() ? others : healthy;
}

asio::awaitable<void> relay_node::serve(http_exchange& exchange)
{
    calls_began_ = true;
    co_await serve_call(context_, exchange);
}

asio::awaitable<void> relay_node::serve_ready(http_exchange& exchange)
{
    const bool is_ready = ready();
    http_reply reply =
        text_reply(is_ready ? 200 : 503, is_ready ? "ready\n" : "not ready\n", plain_text);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> relay_node::serve_directory(http_exchange& exchange)
{
    constexpr std::size_t max_addresses = 64; // Callers read no more of them.
    std::vector<std::string> addresses = call_addresses();
    for (std::size_t i = 0; i + 1 < addresses.size(); ++i) {
        std::swap(addresses[i], addresses[i + random_below(random_, addresses.size() - i)]);
    }
    addresses.resize(std::min(addresses.size(), max_addresses));
    const duration validity = from_ms(1000 * settings_.address_validity_s());
    http_reply reply = addresses.empty() ? text_reply(503, "no node is ready\n", plain_text)
                                         : hooks_.fleet.write_directory(addresses, validity);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> relay_node::serve_metrics(http_exchange& exchange)
{
    http_reply reply = text_reply(200, context_.metrics->to_text());
    reply.content_type = "text/plain; version=0.0.4; charset=utf-8";
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke
