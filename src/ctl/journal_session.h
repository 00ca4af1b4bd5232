/** \file
 * Defines journal_session, through which an operator's command reads the journal and appends to it.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "journal/journal_node.h"
#include "rpc/control_client.h"
#include "settings.pb.h"

namespace chervildyke {

/** Follows the journal for the length of one command. It needs only the log service; when the
 * newest checkpoint is out of reach it asks the controls of the settings.
 */
class journal_session {
  public:
    journal_session(boost::asio::any_io_executor executor, const schema::ctl_settings& settings);

    /** Completes once the state is current.
     * \return false after the timeout.
     */
    boost::asio::awaitable<bool> open(duration timeout);

    const std::shared_ptr<const fleet_state>& state() const { return node_.state(); }

    /** Appends a configuration and waits for its verdict. */
    boost::asio::awaitable<journal_result<proposal_outcome>>
    propose(schema::configuration_change change, duration timeout);

  private:
    journal_hooks make_hooks(const schema::ctl_settings& settings);

    boost::asio::any_io_executor executor_;
    journal_node node_;
};

} // namespace chervildyke
