/** \file
 * Defines fleet_dialect, the hooks that decode what operators and backend servers publish.
 */
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/http_message.h"
#include "fleet/backend.h"
#include "fleet/published_configuration.h"
#include "fleet/shared_log.h"

namespace chervildyke {

enum class decode_error { none, not_readable, not_valid };

template <typename Value>
using decoded = result<Value, decode_error>;

struct fleet_dialect {
    std::string configuration_topic;
    std::string configuration_key;
    std::string backend_topic;
    std::function<decoded<published_configuration_ptr>(const std::string& value)>
        read_configuration;
    std::function<decoded<backend>(const std::string& id, const std::string& value)> read_backend;

    /** The directory's answer.
     * \param validity how long callers may keep it.
     */
    std::function<http_reply(const std::vector<std::string>& addresses, duration validity)>
        write_directory;
};

} // namespace chervildyke
