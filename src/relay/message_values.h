/** \file
 * Defines the conversion of records and durations to and from the messages between nodes.
 */
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "base/clock.h"
#include "fleet/shared_log.h"
#include "node.pb.h"
#include "routing/model_load.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

using ledger_messages = google::protobuf::RepeatedPtrField<schema::ledger_record>;
using count_messages = google::protobuf::RepeatedPtrField<schema::replica_count>;

std::vector<keyed_record> from_messages(const ledger_messages& messages);

/** Appends the records to the messages. */
void to_messages(const std::vector<keyed_record>& records, ledger_messages& messages);

/** \return what the counts of a node say of its calls, by replica. */
std::map<std::uint64_t, replica_usage> from_messages(const count_messages& messages);

/** Appends the usage to the messages. */
void to_messages(const std::map<std::uint64_t, replica_usage>& usage, count_messages& messages);

using waiting_messages = google::protobuf::RepeatedPtrField<schema::waiting_call_count>;

/** \return the calls that wait at a node. Messages with a rank that does not exist are skipped. */
waiting_counts from_messages(const waiting_messages& messages);

/** Appends the counts to the messages. */
void to_messages(const waiting_counts& waiting, waiting_messages& messages);

/** \return the span in whole milliseconds, rounded towards zero. */
std::uint32_t to_whole_ms(duration span);

} // namespace chervildyke
