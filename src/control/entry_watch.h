/** \file
 * Defines entry_watch, which follows the state of the entry on the same VM.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "control_api.pb.h"

namespace chervildyke {

/** Reads the local entry's status every interval. An entry that does not answer counts as
 * draining, so that callers are not sent to it.
 */
class entry_watch {
  public:
    /** \param address ip:port of the entry. */
    entry_watch(std::shared_ptr<http_client> http, std::string address, std::string failure_domain);

    /** Runs until cancelled. */
    boost::asio::awaitable<void> run();

    /** The last answer; load().draining() is true when there is none. */
    const schema::entry_status& status() const { return status_; }

  private:
    boost::asio::awaitable<void> poll();

    std::shared_ptr<http_client> http_;
    std::string address_;
    std::string failure_domain_;
    schema::entry_status status_;
};

} // namespace chervildyke
