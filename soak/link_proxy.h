/** \file
 * Defines link_proxy, a loopback proxy that injects faults into connections.
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

/** Faults that are active on all connections of a link. */
struct link_faults {
    duration delay{};              // Added to each chunk in both directions.
    bool forward_blocked = false;  // Holds back what the connecting side sends.
    bool backward_blocked = false; // Holds back what the listening side sends.
    bool resets_new_connections = false;
};

/** Forwards connections to one target address. */
class link_proxy {
  public:
    explicit link_proxy(boost::asio::any_io_executor executor);
    ~link_proxy();
    link_proxy(const link_proxy&) = delete;
    link_proxy& operator=(const link_proxy&) = delete;

    /** \return false if the proxy can't listen on the address. */
    bool listen(const std::string& ip, std::uint16_t port);

    /** Refuses new connections until listen() is called again. */
    void stop_listening();
    bool listening() const;

    /** Sets the target of new connections.
     * \param address ip:port
     */
    void set_target(const std::string& address);

    link_faults& faults();

    /** Resets all open connections. */
    void reset_open_connections();

    /** Discards all further bytes of the open connections without closing them. New connections are
     * not affected.
     */
    void blackhole_open_connections();

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke::soak
