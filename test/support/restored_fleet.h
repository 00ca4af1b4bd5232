/** \file
 * Defines test_fleet, many nodes without a network that follow a restorable log.
 */
#pragma once

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <set>

#include <boost/asio.hpp>

#include "base/task.h"
#include "platform/published_documents.h"
#include "relay/fleet_restorer.h"
#include "relay/peer_topics.h"
#include "support/restorable_log.h"

namespace chervildyke::test {

inline constexpr duration round_interval = 50ms; // Between two checks of the whole fleet.

/** The commands that VMs have received, and what nodes have seen take effect. */
struct fleet_oracle {
    std::map<std::string, std::uint64_t> newest_epoch; // Of the commands to each VM.
    std::map<std::string, std::uint64_t> formed; // Replicas that are not dropped, and their epochs.
    std::vector<std::string> findings;
    bool changes_allowed = true; // Leaders form and drop replicas.

    void command(const schema::shared_replica& replica)
    {
        for (const schema::shared_member& member : replica.members()) {
            std::uint64_t& newest = newest_epoch[member.id()];
            if (replica.epoch() <= newest) {
                findings.push_back(member.id() + " was commanded with epoch " +
                                   std::to_string(replica.epoch()) + " after " +
                                   std::to_string(newest));
            }
            newest = replica.epoch();
        }
    }
};

/** One node: its view of the log, and a leader's task that forms and drops replicas. */
struct test_node {
    test_node(asio::io_context& context, restorable_log& log, fleet_oracle& noted,
              std::string named, std::uint64_t seed)
        : name(std::move(named)), link(std::make_shared<log_link>()), shared(log.calls(link)),
          oracle(noted), random(seeded_random(seed)),
          view(std::make_shared<fleet_view>(context.get_executor(), shared,
                                            platform::make_fleet_codec(), random, 2s))
    {
        view->on_change = [] {};
        view->on_configuration = [this](const published_configuration_ptr& configuration) {
            if (configuration->version() <= version) {
                oracle.findings.push_back(name + " went back to configuration " +
                                          std::to_string(configuration->version()));
            }
            version = configuration->version();
        };
        view->is_leader = [this] { return leads; };
        fleet_restorer_hooks hooks;
        hooks.peers = [this] { return live_peers(); };
        hooks.can_write = [this] { return view->store_is_healthy(); };
        restorer = std::make_shared<fleet_restorer>(name, shared, *view, hooks);
        const auto executor = context.get_executor();
        spawn_task(executor, "configuration", view->follow_configuration());
        spawn_task(executor, "backends", view->follow_backends());
        spawn_task(executor, "replicas", view->follow_replicas());
        spawn_task(executor, "restore", restorer->run());
        spawn_task(executor, "assembly", assemble());
    }

    bool active() const
    {
        return !link->node_ended && monotonic_clock::now() >= link->frozen_until;
    }

    std::vector<known_agreement> live_peers() const
    {
        constexpr duration liveness_timeout = 1200ms;
        std::vector<known_agreement> live;
        for (const auto& [peer, heard] : peers) {
            if (monotonic_clock::now() - heard.first < liveness_timeout) {
                live.push_back(heard.second);
            }
        }
        return live;
    }

    void receive(const schema::peer_word& state, std::uint64_t sequence)
    {
        std::uint64_t& newest = newest_sequence[state.name()];
        view->apply_peer_replicas(replicas_of(state));
        view->note_replica_end(replicas_of(state).end);
        view->note_configuration_version(state.configuration_version());
        if (sequence < newest) {
            return; // Liveness and hints come from the newest state.
        }
        newest = sequence;
        known_node node;
        node.state = state;
        peers[state.name()] = {monotonic_clock::now(), agreements_of({&node}).front()};
    }

    schema::peer_word state() const
    {
        schema::peer_word word;
        word.set_name(name);
        word.set_sound_store(view->store_is_healthy());
        set_topics(*view, leads, word);
        return word;
    }

    /** Forms replicas of two free VMs, and drops some, while this node leads. */
    asio::awaitable<void> assemble()
    {
        constexpr duration plan_interval = 130ms;
        while (true) {
            co_await sleep_for(plan_interval);
            if (!leads || !oracle.changes_allowed || !active() || !view->is_settled() ||
                !view->store_is_healthy()) {
                continue;
            }
            std::vector<keyed_record> records = {make_change()};
            if (records.front().key.empty()) {
                continue;
            }
            const log_position at = view->ledger().end();
            records.insert(records.begin(), make_ledger_header(at.era));
            const keyed_records written = appended_at(at, std::move(records));
            auto appended = co_await shared.append(replica_topic, at, written.records);
            if (!appended) {
                co_await view->read_replicas();
                continue;
            }
            view->apply_replica_records(written);
            note_effect(written.records[1]);
        }
    }

    keyed_record make_change() const
    {
        constexpr int vms = 12;
        constexpr double drop_probability = 0.4;
        const auto& replicas = view->ledger().replicas();
        keyed_record dropped;
        if (!replicas.empty() && random_fraction(random) < drop_probability) {
            dropped.key =
                std::next(replicas.begin(),
                          static_cast<std::ptrdiff_t>(random_below(random, replicas.size())))
                    ->first;
            return dropped;
        }
        schema::shared_replica formed;
        formed.set_epoch(epoch_at(view->ledger().end()));
        formed.set_phase(schema::shared_phase_serving);
        for (int i = 0; i < vms && formed.members_size() < 2; ++i) {
            const std::string vm = "vm" + std::to_string(i);
            if (!view->ledger().holder_of(vm)) {
                formed.add_members()->set_id(vm);
            }
        }
        return formed.members_size() < 2 ? dropped
                                         : to_record("r" + std::to_string(formed.epoch()), formed);
    }

    void note_effect(const keyed_record& record)
    {
        if (!record.value) {
            oracle.formed.erase(record.key);
            return;
        }
        schema::shared_replica formed;
        formed.ParseFromString(*record.value);
        oracle.command(formed);
        oracle.formed[record.key] = formed.epoch();
    }

    std::string name;
    std::shared_ptr<log_link> link;
    shared_log shared;
    fleet_oracle& oracle;
    random_source random;
    std::shared_ptr<fleet_view> view;
    std::shared_ptr<fleet_restorer> restorer;
    bool leads = false;
    bool caught_up = false; // Since its start, with what the other nodes know.
    std::uint64_t version = 0;
    std::map<std::string, std::pair<time_point, known_agreement>> peers;
    std::map<std::string, std::uint64_t> newest_sequence;
};

struct late_message {
    time_point arrives_at{};
    std::string to;
    std::uint64_t sequence = 0;
    schema::peer_word state;
};

class test_fleet {
  public:
    explicit test_fleet(std::uint64_t seed, std::size_t nodes) : random_(seeded_random(seed))
    {
        publish();
        for (std::size_t i = 0; i < nodes; ++i) {
            add_node("n" + std::to_string(i));
        }
        run(3s);
    }

    /** Advances the time, with the exchange of states and the choice of the leader. */
    void run(duration span)
    {
        for (duration passed{}; passed < span; passed += round_interval) {
            choose_leader();
            exchange_states();
            ask_peers();
            clock_.advance(round_interval);
            check_freshness();
        }
    }

    /** Publishes the next configuration. */
    void publish()
    {
        ++published_version_;
        write_configuration(published_version_);
    }

    /** Takes the log away, restores it from an older copy, and lets the operator write again. */
    void restore(duration outage, duration copy_age, duration rewrite_delay)
    {
        restore_without_rewrite(outage, copy_age);
        run(rewrite_delay);
        write_configuration(published_version_);
    }

    /** The same, and the operator writes nothing. */
    void restore_without_rewrite(duration outage, duration copy_age)
    {
        const time_point copied_at = monotonic_clock::now() - copy_age;
        log_.go_down();
        run(outage);
        log_.restore(copied_at);
    }

    /** Ends a node and starts another one with the same name. */
    void restart(std::size_t index)
    {
        test_node& ended = *nodes_[index];
        ended.link->node_ended = true;
        ended.leads = false;
        const std::string name = ended.name;
        ended_.push_back(std::move(nodes_[index]));
        nodes_[index] = make_node(name);
    }

    /** Makes the log refuse the calls of one node. */
    void reject(std::size_t index, duration span)
    {
        nodes_[index]->link->rejected_until = monotonic_clock::now() + span;
    }

    void freeze(std::size_t index, duration span)
    {
        nodes_[index]->link->frozen_until = monotonic_clock::now() + span;
    }

    void delay_appends(duration span)
    {
        for (const auto& node : nodes_) {
            node->link->append_delay = span;
        }
    }

    void check_agreement()
    {
        constexpr duration propagation_time = 1s;
        oracle_.changes_allowed = false;
        run(propagation_time);
        oracle_.changes_allowed = true;
        for (const std::string& finding : oracle_.findings) {
            FAIL_CHECK(finding);
        }
        for (const auto& node : nodes_) {
            CAPTURE(node->name);
            const replica_ledger& ledger = node->view->ledger();
            CHECK(ledger.is_current());
            CHECK(ledger.end().era == log_.era());
            CHECK(node->version == published_version_);
            CHECK_FALSE(node->restorer->is_behind());
            CHECK(*node->view->configuration_age() < 4s);
            CHECK(names_of(ledger) == names_of(nodes_.front()->view->ledger()));
        }
    }

    /** Checks that replicas which formed before the loss are still there, and those dropped gone.
     */
    void check_effects()
    {
        std::set<std::string> formed;
        for (const auto& [name, epoch] : oracle_.formed) {
            formed.insert(name);
        }
        CHECK(names_of(nodes_.front()->view->ledger()) == formed);
    }

    std::size_t size() const { return nodes_.size(); }
    test_node& node(std::size_t index) { return *nodes_[index]; }
    const random_source& random() const { return random_; }

    static std::set<std::string> names_of(const replica_ledger& ledger)
    {
        std::set<std::string> names;
        for (const auto& [name, replica] : ledger.replicas()) {
            names.insert(name);
        }
        return names;
    }

    bool quiet = false; // No message is late.

  private:
    std::unique_ptr<test_node> make_node(const std::string& name)
    {
        return std::make_unique<test_node>(context_, log_, oracle_, name, random_());
    }

    void add_node(const std::string& name) { nodes_.push_back(make_node(name)); }

    void write_configuration(int version)
    {
        published_at_.try_emplace(static_cast<std::uint64_t>(version), monotonic_clock::now());
        keyed_record record;
        record.key = "config";
        record.value =
            R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[]})";
        log_.write("op", record);
    }

    /** Like the nodes' own choice, this may let a frozen leader go on leading for itself. */
    void choose_leader()
    {
        bool found = false;
        for (const auto& node : nodes_) {
            if (!node->active()) {
                continue;
            }
            node->leads = !found && node->view->store_is_healthy();
            found = found || node->leads;
        }
    }

    void exchange_states()
    {
        constexpr double late_probability = 0.1;
        constexpr std::uint64_t late_limit_ms = 6000;
        for (const auto& node : nodes_) {
            if (!node->active()) {
                continue;
            }
            ++sequence_;
            for (const auto& other : nodes_) {
                if (other == node) {
                    continue;
                }
                const bool late = !quiet && random_fraction(random_) < late_probability;
                const auto delay =
                    std::chrono::milliseconds(late ? random_below(random_, late_limit_ms) : 0);
                in_flight_.push_back(
                    {monotonic_clock::now() + delay, other->name, sequence_, node->state()});
            }
        }
        std::deque<late_message> later;
        for (late_message& message : in_flight_) {
            test_node& target = *node_named(message.to);
            if (message.arrives_at > monotonic_clock::now() || !target.active()) {
                later.push_back(std::move(message));
                continue;
            }
            target.receive(message.state, message.sequence);
        }
        in_flight_ = std::move(later);
    }

    /** Lets nodes that don't know whether their configuration is the newest ask the others. */
    void ask_peers()
    {
        for (const auto& node : nodes_) {
            if (!node->active() || is_proven(node->view->standing_of_configuration())) {
                continue;
            }
            std::size_t answers = 0;
            for (const auto& peer : nodes_) {
                if (peer == node || !peer->active() || random_below(random_, 4) == 0) {
                    continue; // One question in four is lost.
                }
                ++answers;
                if (const auto age = peer->view->configuration_age()) {
                    node->view->note_configuration_version(peer->version);
                    node->view->confirm_configuration_version(peer->version, *age);
                }
            }
            if (answers + 1 == nodes_.size()) {
                node->view->note_all_consulted();
            }
        }
    }

    /** Checks that no node serves calls by a configuration that was out of date so long before that
     * keys which it holds may be revoked.
     */
    void check_freshness()
    {
        constexpr duration key_staleness = 4500ms;
        constexpr duration revoke_time = 5s;
        std::uint64_t required = 0;
        for (const auto& [version, published_at] : published_at_) {
            if (monotonic_clock::now() - published_at > revoke_time) {
                required = std::max(required, version);
            }
        }
        for (const auto& node : nodes_) {
            node->caught_up = node->caught_up || !node->restorer->is_behind();
            const auto age = node->view->configuration_age();
            if (node->active() && node->caught_up && age && *age < key_staleness &&
                node->version < required) {
                oracle_.findings.push_back(node->name + " serves by configuration " +
                                           std::to_string(node->version) + " instead of " +
                                           std::to_string(required));
            }
        }
    }

    test_node* node_named(const std::string& name)
    {
        return std::find_if(nodes_.begin(), nodes_.end(),
                            [&name](const auto& node) { return node->name == name; })
            ->get();
    }

    asio::io_context context_{1};
    manual_clock clock_{context_};
    random_source random_;
    restorable_log log_;
    fleet_oracle oracle_;
    std::vector<std::unique_ptr<test_node>> nodes_;
    std::vector<std::unique_ptr<test_node>> ended_; // Their tasks still hold references.
    std::deque<late_message> in_flight_;
    std::uint64_t sequence_ = 0;
    int published_version_ = 0;
    std::map<std::uint64_t, time_point> published_at_; // By version, for the first time.
};

} // namespace chervildyke::test
