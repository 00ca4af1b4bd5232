/** \file
 * Tests that nodes of an older and of this release understand each other's messages.
 */
#include <doctest/doctest.h>

#include "relay/peer_topics.h"

using namespace chervildyke;

// Guards against a list that counts as up to date because a node of an older release, which may
// have read a part of it, states a small age.
TEST_CASE("the age of a topic that an older node states is not used, but its position is")
{
    schema::peer_word state;
    state.set_replica_log_era(2);
    state.set_replica_log_end(7);
    state.set_replica_log_age_ms(10);
    state.set_backend_list_era(2);
    state.set_backend_list_end(9);
    state.set_backend_list_age_ms(10);
    CHECK(replicas_of(state).end == log_position{2, 7});
    CHECK(backends_of(state).end == log_position{2, 9});
    CHECK(replicas_of(state).age > 1h);
    CHECK(backends_of(state).age > 1h);
    state.set_proven_ages(true);
    CHECK(replicas_of(state).age == 10ms);
    CHECK(backends_of(state).age == 10ms);
}
