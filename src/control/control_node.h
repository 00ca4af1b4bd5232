/** \file
 * Defines control_node, the control plane of one entry VM.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "settings.pb.h"

namespace chervildyke {

/** Owns and connects the components of a control plane process. Together they apply the journal,
 * exchange membership state with the other control nodes, watch VMs, form and repair replicas,
 * answer claims and settlements of orders, and stream the routing view to entries. This class makes
 * no decisions of its own; each component makes those of its task.
 */
class control_node {
  public:
    /** \param settings validated settings; zero values are replaced by defaults. */
    control_node(boost::asio::any_io_executor executor, schema::control_settings settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /** Binds the gRPC and HTTP ports and starts all tasks.
     * \return false with last_reason() set when a port can't be bound.
     */
    bool start();

    /** The cause of the last failure of start(); empty when there was none. */
    const std::string& last_reason() const;

    /** Marks this node as left in the membership state, ends the view streams, and completes once
     * no call is in progress.
     */
    boost::asio::awaitable<void> stop();

  private:
    struct components;
    std::unique_ptr<components> components_;
};

} // namespace chervildyke
