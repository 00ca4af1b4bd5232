/** \file
 * Implements configuration_check.
 */
#include "soak/configuration_check.h"

#include <utility>

namespace chervildyke::soak {

namespace asio = boost::asio;

asio::awaitable<void> configuration_check::check_route(std::vector<std::string> node_addresses,
                                                       std::string host, std::string path)
{
    constexpr unsigned not_found = 404;
    const time_point published_at = monotonic_clock::now();
    co_await sleep_for(configuration_apply_time);
    for (std::size_t node = 0; node < node_addresses.size(); ++node) {
        if (!tracker_.node_undisturbed_since(node, published_at)) {
            continue;
        }
        http_request request;
        request.target = path;
        request.headers = {{"Host", host}};
        http_call_options options;
        options.timeout = 1s;
        // Without a key the node answers 401 if it knows the route.
        const auto reply = co_await http_.call(node_addresses[node], request, options);
        if (reply && reply->status == not_found &&
            tracker_.node_undisturbed_since(node, published_at)) {
            checker_.add_finding("configuration",
                                 node_addresses[node] + " does not know " + path + " " +
                                     std::to_string(configuration_apply_time / 1ms) +
                                     " ms after its publication");
        }
    }
}

} // namespace chervildyke::soak
