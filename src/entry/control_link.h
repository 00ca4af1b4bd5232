/** \file
 * Defines control_link, the entry's calls on the controls.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "entry/view_follower.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** Knows the VM's own control and the others, and goes on to the next when one is gone. */
class control_link {
  public:
    /** \param addresses ip:port of each control, the VM's own first.
     * \param load gives the entry's load for the request.
     */
    control_link(const boost::asio::any_io_executor& executor,
                 const std::vector<std::string>& addresses, std::string incarnation,
                 std::function<schema::entry_load()> load);

    std::size_t size() const { return clients_.size(); }

    /** \return the hook with which a view_follower follows a control. */
    watch_hook watch();

    /** Sends claims, to the next control when one can't be reached. Attempt ids make it safe to
     * send the same claim twice.
     */
    rpc_awaitable<schema::claim_reply> claim(schema::claim_request request, duration timeout);
    rpc_awaitable<schema::settle_reply> settle(schema::settle_request request, duration timeout);

  private:
    template <typename Request, typename Reply>
    rpc_awaitable<Reply> call_in_turn(rpc_awaitable<Reply> (control_client::*method)(Request,
                                                                                     duration),
                                      Request request, duration timeout);

    std::vector<std::shared_ptr<control_client>> clients_;
    std::string incarnation_;
    std::function<schema::entry_load()> load_;
};

} // namespace chervildyke
