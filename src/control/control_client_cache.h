/** \file
 * Defines control_client_cache, which holds one control_client for each control node in use.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "rpc/control_client.h"

namespace chervildyke {

/** Caches clients by the IP address of their control node, so that calls to one node share a
 * connection. All control nodes serve gRPC on the same port. The caller chooses which node to call.
 */
class control_client_cache {
  public:
    /** \param grpc_port the gRPC port of every control node. */
    control_client_cache(boost::asio::any_io_executor executor, std::uint16_t grpc_port);

    /** \param address the IP address of a control node; a port after it is ignored.
     * \return the cached client of the node, or a new one; never null.
     */
    std::shared_ptr<control_client> get_or_create(const std::string& address);

    /** Evicts clients that get_or_create() has not returned since the last call of this function.
     */
    void evict_unused();

  private:
    struct cached_client {
        std::shared_ptr<control_client> client;
        bool used = false; // Since the last eviction.
    };

    boost::asio::any_io_executor executor_;
    std::uint16_t grpc_port_;
    std::map<std::string, cached_client> clients_; // By IP address.
};

} // namespace chervildyke
