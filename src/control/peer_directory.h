/** \file
 * Defines peer_directory, which keeps one control_client for each control that is spoken to.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "rpc/control_client.h"

namespace chervildyke {

/** Finds or makes the client for a control by its VM's IP number. Which control to call is left
 * to the caller of this class.
 */
class peer_directory {
  public:
    /** \param grpc_port the port of every control. */
    peer_directory(boost::asio::any_io_executor executor, std::uint16_t grpc_port);

    /** \param address IP number, with or without a port, which is ignored. */
    std::shared_ptr<control_client> at(const std::string& address);

    /** Forgets clients that were not asked for since the last call. */
    void forget_unused();

  private:
    struct entry {
        std::shared_ptr<control_client> client;
        bool used = false;
    };

    boost::asio::any_io_executor executor_;
    std::uint16_t grpc_port_;
    std::map<std::string, entry> clients_;
};

} // namespace chervildyke
