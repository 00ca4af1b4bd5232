/** \file
 * Defines journal_session, through which a command of chervilctl reads the journal and appends to
 * it.
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

/** Applies the journal while one command runs. The log service alone suffices; when the newest
 * checkpoint can't be read from it, the state is fetched from the control nodes of the settings.
 */
class journal_session {
  public:
    journal_session(boost::asio::any_io_executor executor, const schema::ctl_settings& settings);

    /** Starts to read the journal and waits until the state is current.
     * \return whether it is current; false after the timeout.
     */
    boost::asio::awaitable<bool> open(duration timeout);

    const std::shared_ptr<const fleet_state>& state() const { return node_.state(); }

    /** Appends a configuration record and waits for its outcome.
     * \return the record's offset and outcome, or the errors of journal_node::propose().
     */
    boost::asio::awaitable<journal_result<proposal_outcome>>
    propose(schema::configuration_change change, duration timeout);

  private:
    journal_hooks make_hooks(const schema::ctl_settings& settings);

    boost::asio::any_io_executor executor_;
    journal_node node_;
};

} // namespace chervildyke
