/** \file
 * Implements shared_reading.
 */
#include "relay/shared_reading.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"
#include "base/hash.h"
#include "base/milliseconds.h"
#include "relay/message_values.h"
#include "relay/peer_topics.h"

namespace chervildyke {

namespace {

const event_log reading_log("reading");

// Part of the time within which a configuration must be applied: to read it, and for calls that are
// in flight.
constexpr duration configuration_apply_reserve = 1200ms;

// With a smaller age, nodes that read for others would read more often than each for itself.
constexpr duration min_shared_age = 1500ms;

constexpr std::size_t min_sharing_nodes = 6; // In a smaller failure domain each node reads itself.

// Time between two questions, as a fraction of the age at which a node reads for itself.
constexpr double question_interval_share = 0.2;

// From this fraction of that age on, another node is asked as well.
constexpr double second_question_share = 0.75;

constexpr std::size_t questions_at_once = 24; // To any nodes, a few times a second.

constexpr std::size_t max_forwarded_bytes = 12'000; // Keys and values in one datagram.
constexpr std::size_t max_message_bytes = 60'000;   // Of one encoded message.

schema::known_peer address_of(const schema::peer_word& state)
{
    schema::known_peer peer;
    peer.set_address(state.address());
    peer.set_port(state.port());
    return peer;
}

} // namespace

duration shared_configuration_age(const schema::relay_settings& settings)
{
    const duration age = from_ms(settings.configuration_apply_ms()) - configuration_apply_reserve;
    return age < min_shared_age ? duration::zero() : age;
}

shared_reading::shared_reading(const schema::relay_settings& settings, fleet_view& view,
                               peer_gossip& peers, random_source random)
    : settings_(settings), view_(view), peers_(peers), random_(std::move(random)),
      questions_(random_)
{
}

void shared_reading::update(bool leaving)
{
    choose_reader(leaving);
    ask_reader();
    if (!is_proven(view_.standing_of_configuration())) {
        consult_peers();
    }
}

void shared_reading::ask_reader()
{
    const duration limit = shared_configuration_age(settings_);
    const auto share = [limit](double part) {
        return std::chrono::duration_cast<duration>(limit * part);
    };
    const time_point now = monotonic_clock::now();
    if (!reader_ || now - asked_at_ < share(question_interval_share)) {
        return;
    }
    asked_at_ = now;
    send_question(*reader_);
    const auto age = view_.configuration_read_age();
    const auto others = peers_.live();
    if (age && *age > share(second_question_share) && !others.empty()) {
        send_question(address_of(others[random_below(random_, others.size())]->state));
    }
}

/** Asks nodes that have not answered since the log was restored, in random order: one that reached
 * the log until it was lost knows what the restored log lacks.
 */
void shared_reading::consult_peers()
{
    if (consulted_since_ != view_.configuration_restored_at()) {
        consulted_since_ = view_.configuration_restored_at();
        consulted_.clear();
    }
    auto peers = peers_.addresses();
    std::erase_if(peers, [this](const auto& peer) { return consulted_.contains(peer); });
    if (peers.empty()) { // They may know more by now.
        peers = peers_.addresses();
    }
    for (std::size_t asked = 0; asked < questions_at_once && !peers.empty(); ++asked) {
        const auto chosen =
            peers.begin() + static_cast<std::ptrdiff_t>(random_below(random_, peers.size()));
        schema::known_peer peer;
        peer.set_address(chosen->first);
        peer.set_port(chosen->second);
        send_question(peer);
        peers.erase(chosen);
    }
}

/** \return the other nodes of this failure domain that are not about to stop. */
std::vector<const schema::peer_word*> shared_reading::domain_peers() const
{
    std::vector<const schema::peer_word*> peers;
    for (const known_node* node : peers_.live()) {
        const schema::peer_word& state = node->state;
        if (state.failure_domain() == settings_.failure_domain() && !state.leaving()) {
            peers.push_back(&state);
        }
    }
    return peers;
}

void shared_reading::choose_reader(bool leaving)
{
    const auto peers = domain_peers();
    // Only nodes with the most processor time read for others. They also have the widest links, and
    // records are forwarded in bursts.
    std::vector<std::string> able;
    double most = view_.store_is_healthy() ? settings_.processor_share() : 0;
    for (const schema::peer_word* state : peers) {
        most = std::max(most, state->sound_store() ? state->processor_share() : 0);
    }
    for (const schema::peer_word* state : peers) {
        if (state->sound_store() && state->processor_share() >= most) {
            able.push_back(state->name());
        }
    }
    const bool shared = shared_configuration_age(settings_) > duration::zero() &&
                        peers.size() + 1 >= min_sharing_nodes && !leaving;
    const bool self_able = view_.store_is_healthy() && settings_.processor_share() >= most;
    if (!shared || (able.empty() && !self_able)) {
        reader_.reset();
        reads_for_domain_ = false;
        return;
    }
    if (self_able) {
        able.push_back(settings_.name());
    }
    const std::string first = rendezvous_order(settings_.failure_domain(), able, 1).front();
    reads_for_domain_ = first == settings_.name();
    reader_.reset();
    for (const schema::peer_word* state : peers) {
        if (state->name() == first) {
            reader_ = address_of(*state);
        }
    }
}

void shared_reading::send_question(const schema::known_peer& peer)
{
    schema::peer_word message;
    message.mutable_question()->set_nonce(questions_.add(time_since_boot()));
    peers_.send_message(std::move(message), peer.address(),
                        static_cast<std::uint16_t>(peer.port()));
}

void shared_reading::answer_question(const schema::peer_word& message)
{
    const auto read_age = view_.configuration_read_age();
    if (!read_age) {
        return;
    }
    const auto age = view_.configuration_age();
    schema::peer_word reply;
    schema::freshness_answer& answer = *reply.mutable_answer();
    answer.set_nonce(message.question().nonce());
    answer.set_configuration_era(view_.configuration_end().era);
    answer.set_configuration_end(view_.configuration_end().offset);
    // Nodes of older releases check keys by this age.
    const duration stated = std::max(*read_age, age.value_or(never_read_age));
    answer.set_configuration_age_ms(to_whole_ms(stated) + 1);
    answer.set_proven_age(true);
    if (age && view_.configuration() && knows_newest_configuration()) {
        answer.mutable_known()->set_version(view_.configuration()->version());
        answer.mutable_known()->set_age_ms(to_whole_ms(*age) + 1);
    }
    peers_.send_message(std::move(reply), message.address(),
                        static_cast<std::uint16_t>(message.port()));
}

void shared_reading::apply_answer(const schema::peer_word& message)
{
    const schema::freshness_answer& answer = message.answer();
    const log_position end{answer.configuration_era(), answer.configuration_end()};
    const duration now = time_since_boot();
    const auto since_question = questions_.resolve(answer.nonce(), duration::zero(), now);
    if (!since_question) {
        view_.note_configuration_end(end);
        return;
    }
    if (answer.has_known()) {
        const auto age = std::chrono::milliseconds(answer.known().age_ms());
        view_.note_configuration_version(answer.known().version());
        view_.confirm_configuration_version(answer.known().version(), *since_question + age);
    }
    if (answer.proven_age()) {
        const auto age = std::chrono::milliseconds(answer.configuration_age_ms());
        view_.confirm_configuration(end, *since_question + age);
    }
    else {
        view_.note_configuration_end(end);
    }
    note_consulted(message, now - *since_question);
}

/** \param asked_at when the node was asked, on the clock that includes suspended time. */
void shared_reading::note_consulted(const schema::peer_word& message, duration asked_at)
{
    if (!consulted_since_ || asked_at < *consulted_since_) {
        return;
    }
    const bool is_first =
        consulted_.emplace(message.address(), static_cast<std::uint16_t>(message.port())).second;
    const auto known = peers_.addresses();
    const bool all = std::all_of(known.begin(), known.end(),
                                 [this](const auto& peer) { return consulted_.contains(peer); });
    if (is_first && all && consulted_since_ == view_.configuration_restored_at()) {
        reading_log.write("all_peers_consulted", {{"peers", std::to_string(known.size())}});
        view_.note_all_consulted();
    }
}

void shared_reading::handle_message(const schema::peer_word& message)
{
    if (message.has_question()) {
        answer_question(message);
    }
    if (message.has_answer()) {
        apply_answer(message);
    }
    if (message.has_news()) {
        const schema::topic_news& news = message.news();
        view_.apply_forwarded(news.topic(), {from_messages(news.records()), 0, news.era()});
    }
}

void shared_reading::forward_records(schema::shared_topic topic, const keyed_records& read) const
{
    if (!reads_for_domain_ || read.records.empty()) {
        return;
    }
    std::vector<schema::peer_word> messages;
    std::size_t bytes = max_forwarded_bytes;
    for (const keyed_record& record : read.records) {
        if (record.value && record.value->empty()) {
            continue; // A message can't tell it from a deletion; nodes that miss it read the log.
        }
        const std::size_t size = record.key.size() + (record.value ? record.value->size() : 0);
        if (bytes + size > max_forwarded_bytes) {
            schema::topic_news& news = *messages.emplace_back().mutable_news();
            news.set_topic(topic);
            news.set_era(read.era);
            bytes = 0;
        }
        bytes += size;
        to_messages({record}, *messages.back().mutable_news()->mutable_records());
    }
    if (topic == schema::shared_topic_configuration) {
        // A configuration that does not fit into a datagram is read by each node; the offset that
        // is sent in any case triggers the read.
        schema::freshness_answer& end = *messages.emplace_back().mutable_answer();
        end.set_configuration_era(read.era);
        end.set_configuration_end(read.next_offset);
        std::erase_if(messages, [](const schema::peer_word& message) {
            return message.ByteSizeLong() > max_message_bytes;
        });
    }
    for (const schema::peer_word* peer : domain_peers()) {
        for (const schema::peer_word& message : messages) {
            peers_.send_message(message, peer->address(), static_cast<std::uint16_t>(peer->port()));
        }
    }
}

} // namespace chervildyke
