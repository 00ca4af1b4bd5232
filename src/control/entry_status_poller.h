/** \file
 * Defines entry_status_poller, which polls the status of the entry on the same VM.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "control_api.pb.h"

namespace chervildyke {

/** Polls the local entry's status at a fixed interval. An entry that does not answer counts as
 * draining, so that no new callers are directed to it.
 */
class entry_status_poller {
  public:
    /** \param address ip:port of the entry's HTTP server.
     * \param failure_domain the failure domain of this VM.
     */
    entry_status_poller(std::shared_ptr<http_client> http, std::string address,
                        std::string failure_domain);

    /** Polls until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** The entry's last status. load().draining() is true when the last poll failed and before the
     * first poll. The load's address and failure domain are set from the first poll on.
     */
    const schema::entry_status& status() const { return status_; }

  private:
    boost::asio::awaitable<void> poll();

    std::shared_ptr<http_client> http_;
    std::string address_;
    std::string failure_domain_;
    schema::entry_status status_;
};

} // namespace chervildyke
