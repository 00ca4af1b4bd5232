/** \file
 * Replays a recorded journal and compares each record's outcome with the recorded one.
 */
#include <doctest/doctest.h>

#include "journal/fleet_state.h"
#include "support/trace_file.h"

using namespace chervildyke;

namespace {

/** \return the status as the trace file spells it. */
std::string name_of(record_status status)
{
    switch (status) {
    case record_status::accepted:
        return "accepted";
    case record_status::rejected:
        return "rejected";
    case record_status::duplicate:
        return "duplicate";
    default:
        return "neutral";
    }
}

void check_line(const nlohmann::json& line, const apply_result& result)
{
    INFO(line.at("says").get<std::string>(), ": ", result.outcome.reason);
    CHECK(name_of(result.outcome.status) == line.at("verdict").get<std::string>());
    if (line.contains("version")) {
        CHECK(result.state->configuration_version() == line.at("version").get<std::uint64_t>());
    }
    const nlohmann::json holders = line.value("holders", nlohmann::json::object());
    for (const auto& [vm, holder] : holders.items()) {
        CHECK(result.state->holder_of(vm).value_or(0) == holder.get<std::uint64_t>());
    }
}

} // namespace

TEST_CASE("the journal of racing operators and controls leads to the recorded outcomes")
{
    auto state = std::make_shared<const fleet_state>();
    for (const auto& line : test::read_trace_file(CHERVIL_TRACES "/journal-races.jsonl")) {
        schema::journal_record record;
        test::read_message(line.at("record"), record);
        const apply_result result = state->apply(record, state->offset() + 1);
        check_line(line, result);
        state = result.state;
    }
}

TEST_CASE("a reader that starts from a snapshot at any offset reaches the same state")
{
    const auto lines = test::read_trace_file(CHERVIL_TRACES "/journal-races.jsonl");
    std::vector<schema::journal_record> records(lines.size());
    auto whole = std::make_shared<const fleet_state>();
    for (std::size_t i = 0; i < lines.size(); ++i) {
        test::read_message(lines[i].at("record"), records[i]);
        whole = whole->apply(records[i], i + 1).state;
    }
    for (std::size_t cut = 1; cut < lines.size(); ++cut) {
        auto state = std::make_shared<const fleet_state>();
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i == cut) {
                auto restored = fleet_state::from_snapshot(state->to_snapshot());
                REQUIRE(restored);
                state = *restored;
            }
            state = state->apply(records[i], i + 1).state;
        }
        CHECK(*state == *whole);
    }
}
