/** \file
 * Defines weight_store, the stand-in of the rate-limited store of model weights.
 */
#pragma once

#include <memory>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "settings.pb.h"
#include "standin/faults.h"

namespace chervildyke::standin {

/** GET /weights?bytes=N takes as long as N bytes take at the store's rate, which all loads in
 * progress share; the body only states the progress, one fraction a line.
 */
class weight_store {
  public:
    weight_store(boost::asio::any_io_executor executor, schema::standin_weights_settings settings);

    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> load(http_exchange& exchange);

    schema::standin_weights_settings settings_;
    fault_switch faults_;
    std::shared_ptr<std::uint32_t> active_ = std::make_shared<std::uint32_t>(0);
    http_server server_;
};

} // namespace chervildyke::standin
