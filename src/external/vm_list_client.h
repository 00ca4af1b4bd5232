/** \file
 * Defines vm_list_client, which reads the platform's list of VMs.
 */
#pragma once

#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>

#include "external/external_error.h"
#include "platform.pb.h"

namespace chervildyke {

/** The call to the VM list, which lags behind the actual state of the VMs. */
struct vm_list_client {
    /** Requests the whole list. */
    std::function<boost::asio::awaitable<external_result<schema::vm_list_reply>>()> list;
};

} // namespace chervildyke
