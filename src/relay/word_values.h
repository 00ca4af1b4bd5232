/** \file
 * Defines how records and times travel in the words between nodes.
 */
#pragma once

#include <cstdint>
#include <vector>

#include "base/clock.h"
#include "fleet/shared_log.h"
#include "node.pb.h"

namespace chervildyke {

using record_words = google::protobuf::RepeatedPtrField<schema::ledger_record>;

std::vector<keyed_record> from_words(const record_words& words);

/** Adds the records to the words. */
void to_words(const std::vector<keyed_record>& records, record_words& words);

/** \return the span in ms, cut off. */
std::uint32_t in_whole_ms(duration span);

} // namespace chervildyke
