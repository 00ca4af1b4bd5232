/** \file
 * Implements shared_reading.
 */
#include "relay/shared_reading.h"

#include <algorithm>
#include <utility>

#include "base/hash.h"
#include "base/milliseconds.h"
#include "relay/word_values.h"

namespace chervildyke {

namespace {

constexpr duration apply_reserve = 1200ms;       // Of the time in which a configuration must be in
                                                 // force: to read it, and for calls on their way.
constexpr duration shortest_shared_age = 1500ms; // Below, nodes that read for others would read
                                                 // more often than each for itself.
constexpr std::size_t fewest_sharing = 6;  // Nodes of a failure domain; fewer read for themselves.
constexpr double ask_share = 0.2;          // Of the age at which a node reads for itself: between
                                           // two questions.
constexpr double worry_share = 0.75;       // From this share on another node is asked as well.
constexpr std::size_t news_bytes = 12'000; // In one datagram, beside its header.
constexpr std::size_t max_note_bytes = 60'000; // Of a datagram.

schema::known_peer address_of(const schema::peer_word& word)
{
    schema::known_peer peer;
    peer.set_address(word.address());
    peer.set_port(word.port());
    return peer;
}

} // namespace

/** \return the age up to which a node relies on what others have read; zero: not at all. */
duration shared_configuration_age(const schema::relay_settings& settings)
{
    const duration age = from_ms(settings.configuration_apply_ms()) - apply_reserve;
    return age < shortest_shared_age ? duration::zero() : age;
}

shared_reading::shared_reading(const schema::relay_settings& settings, fleet_view& view,
                               peer_gossip& peers, random_source random)
    : settings_(settings), view_(view), peers_(peers), random_(std::move(random)), asker_(random_)
{
}

void shared_reading::renew(bool leaving)
{
    choose_reader(leaving);
    const duration limit = shared_configuration_age(settings_);
    const auto share = [limit](double part) {
        return std::chrono::duration_cast<duration>(limit * part);
    };
    const time_point now = monotonic_clock::now();
    if (!reader_ || now - asked_at_ < share(ask_share)) {
        return;
    }
    asked_at_ = now;
    ask(*reader_);
    const auto age = view_.configuration_age();
    const auto others = peers_.live();
    if (age && *age > share(worry_share) && !others.empty()) {
        ask(address_of(others[random_below(random_, others.size())]->state));
    }
}

/** The other nodes of this failure domain that are not about to stop. */
std::vector<const schema::peer_word*> shared_reading::domain_peers() const
{
    std::vector<const schema::peer_word*> peers;
    for (const known_node* node : peers_.live()) {
        const schema::peer_word& word = node->state;
        if (word.failure_domain() == settings_.failure_domain() && !word.leaving()) {
            peers.push_back(&word);
        }
    }
    return peers;
}

void shared_reading::choose_reader(bool leaving)
{
    const auto peers = domain_peers();
    // Those with the most processor time, which goes with the widest link: news come in bursts.
    std::vector<std::string> able;
    double most = view_.store_is_sound() ? settings_.processor_share() : 0;
    for (const schema::peer_word* word : peers) {
        most = std::max(most, word->sound_store() ? word->processor_share() : 0);
    }
    for (const schema::peer_word* word : peers) {
        if (word->sound_store() && word->processor_share() >= most) {
            able.push_back(word->name());
        }
    }
    const bool shared = shared_configuration_age(settings_) > duration::zero() &&
                        peers.size() + 1 >= fewest_sharing && !leaving;
    const bool self_able = view_.store_is_sound() && settings_.processor_share() >= most;
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
    for (const schema::peer_word* word : peers) {
        if (word->name() == first) {
            reader_ = address_of(*word);
        }
    }
}

void shared_reading::ask(const schema::known_peer& peer)
{
    schema::peer_word note;
    note.mutable_question()->set_nonce(asker_.add(awake_or_suspended_time()));
    peers_.send_message(std::move(note), peer.address(), static_cast<std::uint16_t>(peer.port()));
}

void shared_reading::take_note(const schema::peer_word& note)
{
    if (note.has_question() && view_.configuration_age()) {
        schema::peer_word reply;
        schema::freshness_answer& answer = *reply.mutable_answer();
        answer.set_nonce(note.question().nonce());
        answer.set_configuration_end(view_.configuration_offset());
        answer.set_configuration_age_ms(in_whole_ms(*view_.configuration_age()) + 1);
        peers_.send_message(std::move(reply), note.address(),
                            static_cast<std::uint16_t>(note.port()));
    }
    if (note.has_answer()) {
        const schema::freshness_answer& answer = note.answer();
        const auto age =
            asker_.resolve(answer.nonce(), std::chrono::milliseconds(answer.configuration_age_ms()),
                           awake_or_suspended_time());
        if (age) {
            view_.confirm_configuration(answer.configuration_end(), *age);
        }
        else {
            view_.note_newer_configuration(answer.configuration_end());
        }
    }
    if (note.has_news()) {
        view_.take_news(note.news().topic(), {from_words(note.news().records()), 0});
    }
}

void shared_reading::forward_news(schema::shared_topic topic, const keyed_records& read) const
{
    if (!reads_for_domain_ || read.records.empty()) {
        return;
    }
    std::vector<schema::peer_word> notes;
    std::size_t bytes = news_bytes;
    for (const keyed_record& record : read.records) {
        const std::size_t size = record.key.size() + (record.value ? record.value->size() : 0);
        if (bytes + size > news_bytes) {
            notes.emplace_back().mutable_news()->set_topic(topic);
            bytes = 0;
        }
        bytes += size;
        to_words({record}, *notes.back().mutable_news()->mutable_records());
    }
    if (topic == schema::shared_topic_configuration) {
        // One that fits no datagram is read by each node.
        schema::freshness_answer& end = *notes.emplace_back().mutable_answer();
        end.set_configuration_end(read.next_offset);
        std::erase_if(notes, [](const schema::peer_word& note) {
            return note.ByteSizeLong() > max_note_bytes;
        });
    }
    for (const schema::peer_word* peer : domain_peers()) {
        for (const schema::peer_word& note : notes) {
            peers_.send_message(note, peer->address(), static_cast<std::uint16_t>(peer->port()));
        }
    }
}

} // namespace chervildyke
