/** \file
 * Defines the clients that call the platform and engines over HTTP.
 */
#pragma once

#include <memory>
#include <string>

#include "base/http_client.h"
#include "external/engine_client.h"
#include "external/log_client.h"
#include "external/vm_list_client.h"

namespace chervildyke {

/** \param http the client that makes the calls.
 * \param address ip:port of the log service.
 */
log_client http_log_client(std::shared_ptr<http_client> http, std::string address);

/** Makes a client that sends the entity tag of the last list, so that an unchanged list is not sent
 * again.
 * \param address ip:port of the VM list.
 */
vm_list_client http_vm_list_client(std::shared_ptr<http_client> http, std::string address);

engine_client http_engine_client(std::shared_ptr<http_client> http);

/** \param address ip:port of the weight store. */
weight_store_client http_weight_store_client(std::shared_ptr<http_client> http,
                                             std::string address);

} // namespace chervildyke
