/** \file
 * Defines the encoding and decoding of the HTTP requests and replies of the soak's stand-ins. Only
 * this part of the soak uses the platform's names of paths, headers and fields.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/http_message.h"
#include "soak/deployment.h"
#include "soak/invariant_checker.h"

namespace chervildyke::soak {

/** A record of a topic of the store. */
struct stored_record {
    std::uint64_t offset = 0;
    std::string key;
    std::string value; // Empty if the record deletes the key.
};

enum class store_operation { append, read, read_latest, trim, unknown };

/** A request of a node to the store. Fields that its operation does not need are unset. */
struct store_call {
    store_operation operation = store_operation::unknown;
    std::string topic;
    std::uint64_t from_offset = 0;             // The first offset to read.
    duration max_wait{};                       // How long a read waits for its first record.
    std::optional<std::uint64_t> expected_end; // Append only if the topic ends at this offset.
    std::string after_key;                     // Latest records of the keys behind this one.
    std::vector<stored_record> records;        // To append.
};

/** Decodes a request; operation is unknown if its path is. */
store_call read_store_call(const http_request& request);

/** Sets the era of the store in one of its replies. */
void set_era(http_reply& reply, std::uint64_t era);

/** \return the store's reply to an append. */
http_reply write_append_result(std::uint64_t offset, std::uint64_t end_offset);

/** \return the reply to an append whose expected end is not the topic's end. */
http_reply write_conflict(std::uint64_t end_offset);

/** \return the reply to a read of an offset before the oldest one kept. */
http_reply write_trimmed(std::uint64_t first_offset);

/** \return the reply to a read.
 * \param first_offset the oldest offset that can be read.
 */
http_reply write_records(std::uint64_t end_offset, std::uint64_t first_offset,
                         const std::vector<stored_record>& records);

/** \return one page of the newest record of each key. */
http_reply write_latest_page(const std::vector<stored_record>& records, bool has_more,
                             std::uint64_t end_offset);

extern const char* const configuration_topic;
extern const char* const configuration_key;
extern const char* const server_topic;

std::string write_configuration(const deployment& deployed);
std::string write_server(const server_entry& server);

/** The operation of a command. */
enum class engine_operation { join, open, close, leave, stage };

/** A command of a node to a model engine. */
struct engine_command {
    engine_operation operation = engine_operation::stage;
    std::string replica;
    std::uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members;        // The head first.
    bool aborts_calls = false;               // On close: don't wait for running calls.
    std::optional<std::uint64_t> only_after; // Executed only after so many begun commands.
};

/** \return the command, or nothing if the body is malformed or the operation unknown. */
std::optional<engine_command> read_command(const std::string& body);

/** What a request to a backend server is for. */
enum class request_kind { call, report, command, health };

request_kind read_request_kind(const http_request& request);

/** \return the id of the server that the request is meant for; empty: any. */
std::string target_server_id(const http_request& request);

/** Decodes a call as it arrives at a backend server. */
call_arrival read_arrival(const http_request& request);
http_reply write_server_answer(const std::string& call_id, const server_answer& answer);

/** \return a reply that promises that the call was not executed. */
http_reply write_not_executed(const std::string& call_id, unsigned status);

/** \return a server's reply to a probe. */
/** \param begun_commands how many commands the server has begun. */
http_reply write_report(const server_entry& server, std::uint32_t running,
                        std::uint64_t begun_commands);

/** \return the request that a caller sends.
 * \param model empty if the route has none.
 */
http_request write_call(const sent_call& call, const std::string& host, const std::string& model);

/** \return the seal of an answer; empty if a node itself made the answer. */
std::string read_seal(const std::vector<http_header>& headers);

/** \return the path and query by which a caller resolves the nodes' addresses at a directory. */
std::string resolve_target(const std::string& host, const std::string& failure_domain);

/** \return the addresses in a directory's reply; none if it is malformed. */
std::vector<std::string> read_addresses(const std::string& body);

} // namespace chervildyke::soak
