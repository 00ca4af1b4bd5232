/** \file
 * Defines failover_control_client, which calls the controls for an entry with failover.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "entry/view_watcher.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** Holds a client for each control. A call that fails at one control is sent to the next. */
class failover_control_client {
  public:
    /** \param addresses ip:port of each control, the control on the own VM first.
     * \param incarnation the incarnation of this entry, sent with each watch.
     * \param load returns the load of this entry, sent with each watch.
     */
    failover_control_client(const boost::asio::any_io_executor& executor,
                            const std::vector<std::string>& addresses, std::string incarnation,
                            std::function<schema::entry_load()> load);

    std::size_t control_count() const { return clients_.size(); }

    /** \return the hook with which a view_watcher watches one control. */
    watch_hook make_watch_hook();

    /** Sends claims. Sending the same claim to two controls is safe, since a claim is identified
     * by its attempt id.
     * \param timeout for all controls together.
     * \return the first reply, or the failure of the last control tried.
     */
    rpc_awaitable<schema::claim_reply> claim(schema::claim_request request, duration timeout);
    /** Sends settlements; see claim(). */
    rpc_awaitable<schema::settle_reply> settle(schema::settle_request request, duration timeout);

  private:
    template <typename Request, typename Reply>
    rpc_awaitable<Reply>
    call_with_failover(rpc_awaitable<Reply> (control_client::*method)(Request, duration),
                       Request request, duration timeout);

    std::vector<std::shared_ptr<control_client>> clients_;
    std::string incarnation_;
    std::function<schema::entry_load()> load_;
};

} // namespace chervildyke
