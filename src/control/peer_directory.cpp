/** \file
 * Implements peer_directory.
 */
#include "control/peer_directory.h"

#include <utility>

namespace chervildyke {

peer_directory::peer_directory(boost::asio::any_io_executor executor, std::uint16_t grpc_port)
    : executor_(std::move(executor)), grpc_port_(grpc_port)
{
}

std::shared_ptr<control_client> peer_directory::at(const std::string& address)
{
    const std::string ip = address.substr(0, address.find(':'));
    entry& found = clients_[ip];
    found.used = true;
    if (!found.client) {
        found.client =
            std::make_shared<control_client>(executor_, ip + ":" + std::to_string(grpc_port_));
    }
    return found.client;
}

void peer_directory::forget_unused()
{
    std::erase_if(clients_, [](const auto& item) { return !item.second.used; });
    for (auto& [ip, known] : clients_) {
        known.used = false;
    }
}

} // namespace chervildyke
