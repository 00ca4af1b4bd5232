/** \file
 * Defines how the stand-ins of the soak speak on the wire. No other file of the soak knows the
 * platform's names.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "soak/deployment.h"
#include "soak/promises.h"

namespace chervildyke::soak {

/** A record of a topic of the store. */
struct stored_record {
    std::uint64_t offset = 0;
    std::string key;
    std::string value; // Empty: the key is dropped.
};

enum class store_operation { append, read, newest, trim, unknown };

/** A call on the store. */
struct store_call {
    store_operation operation = store_operation::unknown;
    std::string topic;
    std::uint64_t from = 0;          // The first offset asked for.
    duration wait{};                 // How long a read waits for the first record.
    std::optional<std::uint64_t> at; // Append only if the topic ends there.
    std::string after;               // Newest records behind this key.
    std::vector<stored_record> records;
};

store_call read_store_call(const http_request& request);
http_reply write_appended(std::uint64_t offset, std::uint64_t end);
http_reply write_conflict(std::uint64_t end);
http_reply write_gone(std::uint64_t first);
http_reply write_read(std::uint64_t end, std::uint64_t first,
                      const std::vector<stored_record>& records);
http_reply write_newest(const std::vector<stored_record>& records, bool has_more,
                        std::uint64_t end);

extern const char* const configuration_topic;
extern const char* const configuration_key;
extern const char* const server_topic;

std::string write_configuration(const deployment& deployed);
std::string write_server(const server_entry& server);

enum class engine_operation { join, open, close, leave, stage };

/** An order to a model engine. */
struct engine_order {
    engine_operation operation = engine_operation::stage;
    std::string replica;
    std::uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members;
    bool aborts_calls = false; // Close without waiting for the calls in progress.
};

std::optional<engine_order> read_order(const std::string& body);

enum class server_path { call, report, order, health };

server_path read_path(const http_request& request);

/** The id of the server that the request is for; empty: any. */
std::string wanted_server(const http_request& request);
seen_run read_run(const http_request& request);
http_reply write_made_answer(const std::string& call_id, const made_answer& answer);

/** A refusal that says that the call did not run. */
http_reply write_not_run(const std::string& call_id, unsigned status);
http_reply write_report(const server_entry& server, std::uint32_t running);

/** A call as its caller sends it. */
http_request write_call(const sent_call& call, const std::string& host, const std::string& model,
                        duration time_left);
std::string read_seal(const std::vector<http_header>& headers);

/** \return the path that asks a node for addresses. */
std::string directory_target(const std::string& host, const std::string& domain);
std::vector<std::string> read_addresses(const std::string& body);

} // namespace chervildyke::soak
