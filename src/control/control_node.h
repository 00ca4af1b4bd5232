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

/** Puts the parts of a control together: it follows the journal, takes part in the members,
 * watches VMs, keeps replicas, answers claims and streams the view to entries. What each part
 * decides is left to the part.
 */
class control_node {
  public:
    /** \param settings checked already; zero values are replaced by defaults. */
    control_node(boost::asio::any_io_executor executor, schema::control_settings settings);
    ~control_node();
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;

    /** Starts to listen and starts all tasks.
     * \return false with last_reason() set when an address can't be had.
     */
    bool start();
    const std::string& last_reason() const;

    /** Says goodbye to the members, ends the views and completes once no call is in progress. */
    boost::asio::awaitable<void> stop();

  private:
    struct parts;
    std::unique_ptr<parts> parts_;
};

} // namespace chervildyke
