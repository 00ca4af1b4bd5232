/** \file
 * Implements control_client_cache.
 */
#include "control/control_client_cache.h"

#include <utility>

namespace chervildyke {

control_client_cache::control_client_cache(boost::asio::any_io_executor executor,
                                           std::uint16_t grpc_port)
    : executor_(std::move(executor)), grpc_port_(grpc_port)
{
}

std::shared_ptr<control_client> control_client_cache::get_or_create(const std::string& address)
{
    const std::string ip = address.substr(0, address.find(':'));
    cached_client& cached = clients_[ip];
    cached.used = true;
    if (!cached.client) {
        cached.client =
            std::make_shared<control_client>(executor_, ip + ":" + std::to_string(grpc_port_));
    }
    return cached.client;
}

void control_client_cache::evict_unused()
{
    std::erase_if(clients_, [](const auto& item) { return !item.second.used; });
    for (auto& [ip, cached] : clients_) {
        cached.used = false;
    }
}

} // namespace chervildyke
