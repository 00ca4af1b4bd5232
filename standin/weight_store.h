/** \file
 * Defines weight_store, the stand-in of the rate-limited store of model weights.
 */
#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "settings.pb.h"
#include "standin/fault_injector.h"

namespace chervildyke::standin {

/** Serves GET /weights?bytes=N, which takes as long as a transfer of N bytes at the store's rate.
 * All loads in progress share the rate equally. The body holds no weights but the progress, one
 * fraction per line. GET /status returns the rate and the number of loads in progress.
 */
class weight_store {
  public:
    weight_store(boost::asio::any_io_executor executor, schema::standin_weights_settings settings);

    /** Starts to listen.
     * \return false when that fails; the reason is logged.
     */
    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> stream_load(http_exchange& exchange);

    schema::standin_weights_settings settings_;
    fault_injector faults_;
    /** The number of loads in progress; shared because a load may end after the store. */
    std::shared_ptr<std::uint32_t> active_loads_ = std::make_shared<std::uint32_t>(0);
    http_server server_;
};

} // namespace chervildyke::standin
