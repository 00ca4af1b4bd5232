/** \file
 * Implements the conversion of what a node has read of the shared log.
 */
#include "relay/peer_topics.h"

#include "relay/message_values.h"

namespace chervildyke {

namespace {

/** \return the age of a topic that a state names. Nodes of older releases may name that of a part,
 * so theirs is not used.
 */
duration age_of(const schema::peer_word& state, std::uint32_t age_ms)
{
    return state.proven_ages() ? std::chrono::milliseconds(age_ms) : never_read_age;
}

} // namespace

void set_topics(const fleet_view& view, bool leading, schema::peer_word& state)
{
    const log_position replicas = view.ledger().end();
    state.set_replica_log_era(replicas.era);
    state.set_replica_log_end(replicas.offset);
    state.set_proven_ages(true);
    state.set_replica_log_age_ms(to_whole_ms(view.replica_age().value_or(never_read_age)));
    const log_position agreed = view.ledger().agreed_end();
    state.set_agreed_replica_era(agreed.era);
    state.set_agreed_replica_end(agreed.offset);
    const log_position backends = view.backend_list_end();
    state.set_backend_list_era(backends.era);
    state.set_backend_list_end(backends.offset);
    state.set_backend_list_age_ms(to_whole_ms(view.backend_age().value_or(never_read_age)));
    const log_position configuration = view.configuration_end();
    state.set_configuration_log_era(configuration.era);
    state.set_configuration_log_end(configuration.offset);
    state.set_configuration_version(view.configuration() ? view.configuration()->version() : 0);
    if (leading) {
        to_messages(view.recent_replicas(), *state.mutable_records());
        to_messages(view.recent_backends(), *state.mutable_backend_records());
    }
}

peer_topic_state replicas_of(const schema::peer_word& state)
{
    return {{state.replica_log_era(), state.replica_log_end()},
            age_of(state, state.replica_log_age_ms()),
            from_messages(state.records())};
}

peer_topic_state backends_of(const schema::peer_word& state)
{
    return {{state.backend_list_era(), state.backend_list_end()},
            age_of(state, state.backend_list_age_ms()),
            from_messages(state.backend_records())};
}

std::vector<known_agreement> agreements_of(const std::vector<const known_node*>& nodes)
{
    std::vector<known_agreement> known;
    for (const known_node* node : nodes) {
        const schema::peer_word& state = node->state;
        known.push_back({state.name(),
                         {state.agreed_replica_era(), state.agreed_replica_end()},
                         state.configuration_version(),
                         state.sound_store() && !state.leaving()});
    }
    return known;
}

} // namespace chervildyke
