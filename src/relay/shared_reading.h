/** \file
 * Defines shared_reading, through which one node of a failure domain reads the log for the others.
 */
#pragma once

#include <optional>
#include <vector>

#include "base/random.h"
#include "members/freshness_questions.h"
#include "members/peer_gossip.h"
#include "node.pb.h"
#include "relay/fleet_view.h"

namespace chervildyke {

/** \return the age up to which a node relies on what others have read; zero: not at all. */
duration shared_configuration_age(const schema::relay_settings& settings);

/** Chooses the node that reads for this one, asks it how fresh the configuration is, answers others
 * and passes on what this node reads. That two nodes think themselves the reader, or none, costs
 * calls on the log and nothing else.
 */
class shared_reading {
  public:
    /** The arguments outlive it. */
    shared_reading(const schema::relay_settings& settings, fleet_view& view, peer_gossip& peers,
                   random_source random);

    /** Chooses the reader anew and asks it when that is due; to be called a few times a second.
     * \param leaving this node is about to stop.
     */
    void renew(bool leaving);

    /** True while no other node reads the log for this one. */
    bool reads_for_itself() const { return !reader_; }

    /** Takes a question, an answer or news. */
    void take_note(const schema::peer_word& note);

    /** Sends what this node has read to the others of its failure domain, in as many datagrams as
     * it takes, if it reads for them. Who misses one reads the log.
     */
    void forward_news(schema::shared_topic topic, const keyed_records& read) const;

  private:
    void choose_reader(bool leaving);
    void ask(const schema::known_peer& peer);
    std::vector<const schema::peer_word*> domain_peers() const;

    const schema::relay_settings& settings_;
    fleet_view& view_;
    peer_gossip& peers_;
    random_source random_;
    freshness_questions asker_;
    std::optional<schema::known_peer> reader_; // The node that reads the log for this one.
    bool reads_for_domain_ = false;            // This node reads it for its failure domain.
    time_point asked_at_{};
};

} // namespace chervildyke
