/** \file
 * Defines link_proxy, a loopback proxy that harms the connections that pass through it.
 */
#pragma once

#include <list>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "base/clock.h"

namespace chervildyke::soak {

/** What a link does to the bytes of all its connections. */
struct link_faults {
    duration delay{};          // Of each piece, both ways.
    bool cut_forward = false;  // Holds back what the connecting side sends.
    bool cut_backward = false; // Holds back what the listening side sends.
    bool refuses = false;      // Resets new connections.
};

/** Passes bytes on between whoever connects and one listening address. */
class link_proxy {
  public:
    explicit link_proxy(boost::asio::any_io_executor executor);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    /** \return false when the address can't be had. */
    bool listen(const std::string& ip, std::uint16_t port);

    /** \param address ip:port of the listening side, for connections made from now on. */
    void set_target(const std::string& address);

    link_faults& faults();

    /** Resets all open connections. */
    void reset_open();

    /** From now on nothing passes on open connections, and nothing tells so; new ones work. */
    void silence_open();

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke::soak
