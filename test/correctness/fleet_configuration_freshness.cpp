/** \file
 * Tests as of when the configuration in force counts as the newest one.
 */
#include <doctest/doctest.h>

#include "fleet/configuration_freshness.h"

using namespace chervildyke;

namespace {

/** \return the proof of a whole read of the topic in an era. */
std::optional<freshness_proof> proof_of(std::uint64_t era, duration as_of)
{
    const log_position end{era, 3};
    return freshness_proof::make(end, {end, as_of});
}

} // namespace

TEST_CASE("a proof needs a copy of the same era that has reached the observed end")
{
    const observed_end observed{{2, 5}, 10s};
    CHECK_FALSE(freshness_proof::make({2, 4}, observed));
    CHECK_FALSE(freshness_proof::make({3, 9}, observed));
    CHECK_FALSE(freshness_proof::make({1, 9}, observed));
    const auto proof = freshness_proof::make({2, 6}, observed);
    REQUIRE(proof);
    CHECK(proof->as_of() == 10s);
    CHECK(proof->position() == log_position{2, 6});
}

TEST_CASE("without a restore the configuration is as new as the read of the topic")
{
    const configuration_freshness freshness;
    CHECK_FALSE(freshness.as_of(std::nullopt, 0, 10s));
    CHECK(freshness.as_of(proof_of(1, 9s), 4, 10s) == 9s);
}

// Guards against a copy that counts as the log: its reads say nothing of changes that it lacks.
TEST_CASE("after a restore the last proof before it counts until operators have written again")
{
    configuration_freshness freshness;
    freshness.note_restore(proof_of(1, 9s), 4, 20s);
    const auto restored = proof_of(2, 20s);
    SUBCASE("they write")
    {
        CHECK(freshness.as_of(restored, 4, 20s) == 9s);
        freshness.note_written();
        CHECK(freshness.as_of(restored, 4, 20s) == 20s);
    }
    SUBCASE("they write nothing, and peers are heard")
    {
        freshness.note_peer_version(4, 4, 20s);
        CHECK(freshness.as_of(restored, 4, 21900ms) == 9s);
        CHECK(freshness.as_of(restored, 4, 22s) == 20s);
    }
    SUBCASE("they write nothing, and nobody is heard who knows a configuration")
    {
        freshness.note_peer_version(0, 4, 20s);
        CHECK(freshness.as_of(restored, 4, 24900ms) == 9s);
        CHECK(freshness.as_of(restored, 4, 25s) == 20s);
    }
    SUBCASE("all other nodes have answered, but none reached the log until it was lost")
    {
        freshness.note_all_consulted();
        CHECK(freshness.as_of(restored, 4, 20s) == 9s);
    }
    SUBCASE("all other nodes have answered, and one reached the log until it was lost")
    {
        freshness.confirm(4, 18s, 4);
        CHECK(freshness.as_of(restored, 4, 20s) == 18s);
        freshness.note_all_consulted();
        CHECK(freshness.as_of(restored, 4, 20s) == 20s);
    }
    SUBCASE("the log is restored once more, from an older copy")
    {
        freshness.note_restore(restored, 4, 21s);
        freshness.note_peer_version(4, 4, 21s);
        CHECK(freshness.as_of(proof_of(3, 21s), 4, 22900ms) == 9s);
        CHECK(freshness.as_of(proof_of(3, 21s), 4, 23s) == 21s);
    }
}

TEST_CASE("a peer's proof counts if the peer's version is not newer")
{
    configuration_freshness freshness;
    freshness.note_restore(proof_of(1, 9s), 4, 20s);
    const auto restored = proof_of(2, 20s);
    freshness.confirm(5, 18s, 4);
    CHECK(freshness.as_of(restored, 4, 20s) == 9s);
    freshness.confirm(4, 17s, 4);
    CHECK(freshness.as_of(restored, 4, 20s) == 17s);
    freshness.confirm(3, 16s, 4);
    CHECK(freshness.as_of(restored, 4, 20s) == 17s);
}

// Guards against a node that forgets, when the time to write again is over, that a peer has told it
// of a version which the log lacks, and against one that then refuses calls for ever.
TEST_CASE("a version of a peer that the log lacks is waited for, but not for ever")
{
    configuration_freshness freshness;
    freshness.note_peer_version(5, 4, 8s);
    freshness.note_restore(proof_of(1, 7s), 4, 20s);
    freshness.note_written();
    const auto restored = proof_of(2, 29s);
    CHECK(freshness.standing(restored, 4, 29s) == configuration_standing::lacks_version);
    CHECK(freshness.as_of(restored, 4, 29s) == 7s);
    CHECK(freshness.as_of(restored, 5, 29s) == 29s); // The version has come.
    CHECK(freshness.as_of(restored, 4, 30s) == 29s);
}

// Guards against calls that are refused for each change which a peer has read first.
TEST_CASE("a version of a peer is missing only if a later read has not returned it")
{
    configuration_freshness freshness;
    freshness.note_peer_version(5, 4, 10s);
    CHECK(freshness.as_of(proof_of(1, 9900ms), 4, 10s) == 9900ms);
    CHECK_FALSE(freshness.as_of(proof_of(1, 10s), 4, 10s));
}

// Guards against calls that are refused for ever because each newer version of a peer is waited for
// anew, such as versions that this node can't read.
TEST_CASE("the wait for a missing version does not begin again with each newer one")
{
    configuration_freshness freshness;
    for (std::uint64_t version = 5; version < 16; ++version) {
        freshness.note_peer_version(version, 4, std::chrono::seconds(version));
    }
    CHECK_FALSE(freshness.as_of(proof_of(1, 15s), 4, 14950ms));
    CHECK(freshness.as_of(proof_of(1, 15s), 4, 15s) == 15s);
    CHECK(freshness.standing(proof_of(1, 15s), 4, 15s) == configuration_standing::version_given_up);
    freshness.note_peer_version(17, 16, 20s); // This node has caught up meanwhile.
    CHECK_FALSE(freshness.as_of(proof_of(1, 21s), 16, 21s));
}
