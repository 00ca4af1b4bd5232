/** \file
 * Replays a recorded journal against the verdicts stated beside its records.
 */
#include <doctest/doctest.h>

#include "journal/fleet_state.h"
#include "support/trace_file.h"

using namespace chervildyke;

namespace {

std::string name_of(judgement kind)
{
    switch (kind) {
    case judgement::accepted:
        return "accepted";
    case judgement::rejected:
        return "rejected";
    case judgement::duplicate:
        return "duplicate";
    default:
        return "neutral";
    }
}

void check_line(const nlohmann::json& line, const applied& result)
{
    INFO(line.at("says").get<std::string>(), ": ", result.v.reason);
    CHECK(name_of(result.v.kind) == line.at("verdict").get<std::string>());
    if (line.contains("version")) {
        CHECK(result.next->configuration_version() == line.at("version").get<std::uint64_t>());
    }
    const nlohmann::json holders = line.value("holders", nlohmann::json::object());
    for (const auto& [vm, holder] : holders.items()) {
        CHECK(result.next->holder_of(vm).value_or(0) == holder.get<std::uint64_t>());
    }
}

} // namespace

TEST_CASE("the journal of racing operators and controls leads to the stated verdicts")
{
    auto state = std::make_shared<const fleet_state>();
    for (const auto& line : test::read_trace_file(CHERVIL_TRACES "/journal-races.jsonl")) {
        schema::journal_record record;
        test::read_message(line.at("record"), record);
        const applied result = state->apply(record, state->offset() + 1);
        check_line(line, result);
        state = result.next;
    }
}

TEST_CASE("a reader that starts from a snapshot at any point ends in the same state")
{
    const auto lines = test::read_trace_file(CHERVIL_TRACES "/journal-races.jsonl");
    std::vector<schema::journal_record> records(lines.size());
    auto whole = std::make_shared<const fleet_state>();
    for (std::size_t i = 0; i < lines.size(); ++i) {
        test::read_message(lines[i].at("record"), records[i]);
        whole = whole->apply(records[i], i + 1).next;
    }
    for (std::size_t cut = 1; cut < lines.size(); ++cut) {
        auto state = std::make_shared<const fleet_state>();
        for (std::size_t i = 0; i < lines.size(); ++i) {
            if (i == cut) {
                auto restored = fleet_state::from_snapshot(state->to_snapshot());
                REQUIRE(restored);
                state = *restored;
            }
            state = state->apply(records[i], i + 1).next;
        }
        CHECK(*state == *whole);
    }
}
