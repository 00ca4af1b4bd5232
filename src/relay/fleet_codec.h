/** \file
 * Defines fleet_codec, the hooks that decode the configurations and backend servers published in
 * the shared log.
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

enum class decode_error {
    none,
    not_readable, // The value can't be parsed.
    not_valid,    // It was parsed, but a field is missing or has a wrong type or value.
};

template <typename Value>
using decoded = result<Value, decode_error>;

/** The topics of the shared log that a deployment uses, and the format of their records. */
struct fleet_codec {
    std::string configuration_topic;
    std::string configuration_key;

    // In the topic of the configuration: a record with the key PREFIX + DOMAIN evacuates a failure
    // domain. Without a prefix, none can be evacuated.
    std::string evacuation_key_prefix;

    std::string backend_topic;
    std::function<decoded<published_configuration_ptr>(const std::string& value)>
        read_configuration;
    std::function<decoded<backend>(const std::string& id, const std::string& value)> read_backend;

    /** Encodes an answer of the directory, which lists the addresses of nodes for callers.
     * \param validity how long callers may cache it.
     */
    std::function<http_reply(const std::vector<std::string>& addresses, duration validity)>
        write_directory;
};

} // namespace chervildyke
