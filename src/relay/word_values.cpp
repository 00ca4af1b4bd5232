/** \file
 * Implements how records and times travel in the words between nodes.
 */
#include "relay/word_values.h"

#include <chrono>
#include <utility>

namespace chervildyke {

std::vector<keyed_record> from_words(const record_words& words)
{
    std::vector<keyed_record> records;
    for (const schema::ledger_record& word : words) {
        keyed_record record;
        record.offset = word.offset();
        record.key = word.key();
        if (!word.value().empty()) {
            record.value = word.value();
        }
        records.push_back(std::move(record));
    }
    return records;
}

void to_words(const std::vector<keyed_record>& records, record_words& words)
{
    for (const keyed_record& record : records) {
        schema::ledger_record& word = *words.Add();
        word.set_offset(record.offset);
        word.set_key(record.key);
        word.set_value(record.value.value_or(""));
    }
}

std::uint32_t in_whole_ms(duration span)
{
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace chervildyke
