/** \file
 * Defines shared_reading, through which one node of a failure domain reads the log for the others.
 */
#pragma once

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "members/freshness_questions.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/fleet_view.h"

namespace chervildyke {

/** \return the age of the configuration up to which a node relies on what others have read; zero:
 * each node reads for itself.
 */
duration shared_configuration_age(const schema::relay_settings& settings);

/** Chooses the node that reads the log for this one, asks it how old its configuration is, answers
 * the same question of others and forwards the records that this node reads. If two nodes consider
 * themselves the reader, or none does, the only cost is more calls on the log. While a restored log
 * proves nothing, all nodes are asked what they know.
 */
class shared_reading {
  public:
    /** All arguments must outlive this object. */
    shared_reading(const schema::relay_settings& settings, fleet_view& view, peer_gossip& peers,
                   random_source random);

    /** \return false while this node has just started, so that it can't know what a restored log
     * lacks. It does not tell others then that its configuration is the newest.
     */
    std::function<bool()> knows_newest_configuration = [] { return true; };

    /** Chooses the reader again and sends it a question when one is due. Must be called a few times
     * a second.
     * \param leaving true if this node is about to stop.
     */
    void update(bool leaving);

    /** \return true while no other node reads the log for this one. */
    bool reads_log_directly() const { return !reader_; }

    /** Handles a question, an answer or forwarded records. */
    void handle_message(const schema::peer_word& message);

    /** Sends records that this node has read to the other nodes of its failure domain, in as many
     * datagrams as needed, if it reads for them. A node that misses one reads the log.
     */
    void forward_records(schema::shared_topic topic, const keyed_records& read) const;

  private:
    void choose_reader(bool leaving);
    void ask_reader();
    void consult_peers();
    void answer_question(const schema::peer_word& message);
    void apply_answer(const schema::peer_word& message);
    void note_consulted(const schema::peer_word& message, duration asked_at);
    void send_question(const schema::known_peer& peer);
    std::vector<const schema::peer_word*> domain_peers() const;

    const schema::relay_settings& settings_;
    fleet_view& view_;
    peer_gossip& peers_;
    random_source random_;
    freshness_questions questions_;
    std::optional<schema::known_peer> reader_; // The node that reads the log for this one.
    bool reads_for_domain_ = false;            // This node reads the log for its failure domain.
    time_point asked_at_{};
    // Nodes that have answered since a restore of the log was first seen, and when that was.
    std::set<std::pair<std::string, std::uint16_t>> consulted_;
    std::optional<duration> consulted_since_;
};

} // namespace chervildyke
