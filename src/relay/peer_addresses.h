/** \file
 * Defines peer_addresses, the addresses of all nodes in the shared log.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "fleet/shared_log.h"
#include "members/peer_gossip.h"

namespace chervildyke {

/** Publishes the address of this node and follows those of the others, so that a node which starts
 * finds its peers although the settings name only some of them.
 */
class peer_addresses : public std::enable_shared_from_this<peer_addresses> {
  public:
    /** \param peers learns the addresses; must outlive this object.
     * \param name of this node.
     * \param self the address of this node.
     */
    peer_addresses(shared_log log, peer_gossip& peers, std::string name, schema::known_peer self);

    /** Writes this node's address; repeats the write until it succeeds. */
    boost::asio::awaitable<void> publish();

    /** Adds the addresses of other nodes until the process ends. */
    boost::asio::awaitable<void> follow();

  private:
    shared_log log_;
    peer_gossip& peers_;
    std::string name_;
    schema::known_peer self_;
};

} // namespace chervildyke
