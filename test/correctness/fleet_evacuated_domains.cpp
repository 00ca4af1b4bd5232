/** \file
 * Tests which failure domains are evacuated after each change of the log.
 */
#include <doctest/doctest.h>

#include "fleet/evacuated_domains.h"

using namespace chervildyke;
using names = std::vector<std::string>;

namespace {

constexpr time_point start{100s};

keyed_record written(const std::string& key, std::optional<std::string> value = "{}")
{
    return {0, key, std::move(value)};
}

keyed_record deleted(const std::string& key)
{
    return written(key, std::nullopt);
}

keyed_records read_of(std::vector<keyed_record> records, std::uint64_t era = 1)
{
    return {std::move(records), 0, era};
}

/** A set that has read a log of the first era, in which domain a is evacuated. */
struct evacuated_fixture {
    evacuated_fixture() { domains.replace(read_of({written("evacuate/a")}), start); }

    evacuated_domains domains{"evacuate/"};
};

} // namespace

TEST_CASE("any value evacuates a domain, and keys that name none are ignored")
{
    evacuated_fixture fixture;
    const auto changes = fixture.domains.apply(
        read_of({written("evacuate/b", ""), written("evacuate/"), written("config")}), start);
    CHECK(changes == evacuation_changes{{"b"}, {}});
    CHECK(fixture.domains.domains() == std::set<std::string>{"a", "b"});
    CHECK(evacuated_domains("").replace(read_of({written("evacuate/a")}), start).empty());
}

TEST_CASE("a deletion, or a full read without the record, ends an evacuation")
{
    evacuated_fixture fixture;
    fixture.domains.apply(read_of({deleted("evacuate/a")}), start + 1s);
    CHECK(!fixture.domains.contains("a"));
    CHECK(fixture.domains.ended_at("a") == start + 1s);
    CHECK(fixture.domains.replace(read_of({written("evacuate/b")}), start + 2s).evacuated ==
          names{"b"});
    CHECK(fixture.domains.replace(read_of({}), start + 3s).returned == names{"b"});
    CHECK(fixture.domains.ended_at("b") == start + 3s);
    fixture.domains.apply(read_of({written("evacuate/b")}), start + 4s);
    CHECK(!fixture.domains.ended_at("b"));
}

// Guards against a domain that takes calls, or counts as back, because two changes of its record
// arrive in one read.
TEST_CASE("an evacuation that is withdrawn and made again at once remains in force")
{
    evacuated_fixture fixture;
    CHECK(fixture.domains.apply(read_of({deleted("evacuate/a"), written("evacuate/a")}), start)
              .empty());
    CHECK(fixture.domains.contains("a"));
    CHECK(!fixture.domains.ended_at("a"));
    fixture.domains.apply(read_of({written("evacuate/b"), deleted("evacuate/b")}), start + 1s);
    CHECK(!fixture.domains.contains("b"));
    CHECK(fixture.domains.ended_at("b") == start + 1s);
}

// Guards against calls to an evacuated domain while the operator writes its records again to a log
// that was restored from an older copy, also if it is restored twice or a node reads it late.
TEST_CASE("an evacuation outlasts a restore until a later read shows that it was not made again")
{
    evacuated_fixture fixture;
    fixture.domains.apply(read_of({written("evacuate/b"), written("evacuate/c")}), start);
    CHECK(fixture.domains.replace(read_of({}, 2), start + 10s).empty());
    CHECK(fixture.domains.replace(read_of({}, 3), start + 11s).empty());
    CHECK(fixture.domains.replace(read_of({}, 3), start + 12s).empty()); // Its topic was trimmed.
    CHECK(fixture.domains.end_unwritten(start + 12900ms, start + 20s).empty());
    fixture.domains.apply(read_of({written("evacuate/a"), deleted("evacuate/c")}, 3), start + 20s);
    CHECK(fixture.domains.domains() == std::set<std::string>{"a", "b"});
    CHECK(fixture.domains.end_unwritten(start + 13s, start + 21s).returned == names{"b"});
    CHECK(fixture.domains.domains() == std::set<std::string>{"a"});
    CHECK(fixture.domains.ended_at("b") == start + 21s);
}
