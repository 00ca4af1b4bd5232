/** \file
 * Defines restorable_log, a shared log in memory that can be restored from an older copy.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio.hpp>

#include "base/clock.h"
#include "fleet/shared_log.h"

namespace chervildyke::test {

namespace asio = boost::asio;

/** What stands between one node and the log. */
struct log_link {
    time_point frozen_until{};   // Calls of a frozen node are made, and return, later.
    time_point rejected_until{}; // Until then the log refuses the node's calls.
    bool node_ended = false;     // Calls of a node that has ended never return.
    duration append_delay{};     // An append that was sent takes effect so much later.

    bool is_rejected() const { return monotonic_clock::now() < rejected_until; }

    asio::awaitable<void> pass() const
    {
        constexpr duration poll_interval = 10ms;
        while (node_ended || monotonic_clock::now() < frozen_until) {
            co_await sleep_for(poll_interval);
        }
    }
};

/** A compacted log of several topics. Like the platform's store it checks only offsets: a
 * conditional append to a restored log succeeds if the log happens to end at the expected offset.
 */
class restorable_log {
  public:
    /** \return the calls of one node. */
    shared_log calls(std::shared_ptr<log_link> link)
    {
        shared_log log;
        log.read_latest = [this, link](std::string topic) { return read_latest(link, topic); };
        log.read = [this, link](std::string topic, std::uint64_t from, duration wait) {
            return read(link, topic, from, wait);
        };
        log.append = [this, link](std::string topic, log_position at,
                                  std::vector<keyed_record> records) {
            return append(link, topic, at, std::move(records));
        };
        log.put = [this, link](std::string topic, std::vector<keyed_record> records) {
            return put(link, topic, std::move(records));
        };
        return log;
    }

    /** Appends at the end of a topic, as the operator and the servers do. */
    void write(const std::string& topic, keyed_record record)
    {
        record.offset = topics_[topic].size();
        topics_[topic].push_back({std::move(record), monotonic_clock::now()});
    }

    /** Makes the log refuse all calls. */
    void go_down() { down_ = true; }

    /** Ends the outage without a loss. */
    void come_back() { down_ = false; }

    /** Ends the outage with a copy of the log as it was at a time. */
    void restore(time_point copied_at)
    {
        for (auto& [topic, records] : topics_) {
            std::erase_if(records, [copied_at](const stored_record& stored) {
                return stored.written_at > copied_at;
            });
        }
        ++era_;
        down_ = false;
    }

    std::uint64_t era() const { return era_; }

    /** Refuses all calls on one topic; on none if the name is empty. */
    void refuse_topic(const std::string& topic) { refused_topic_ = topic; }

    /** Refuses appends of nodes, and serves reads. */
    void refuse_writes(bool refused) { refuses_writes_ = refused; }

  private:
    struct stored_record {
        keyed_record record;
        time_point written_at{};
    };

    static shared_log_failure refusal() { return {shared_log_error::refused, "down"}; }

    asio::awaitable<shared_log_result<keyed_records>> read_latest(std::shared_ptr<log_link> link,
                                                                  std::string topic)
    {
        co_await link->pass();
        if (down_ || topic == refused_topic_ || link->is_rejected()) {
            co_return refusal();
        }
        std::map<std::string, keyed_record> newest;
        for (const stored_record& stored : topics_[topic]) {
            newest[stored.record.key] = stored.record;
        }
        keyed_records all;
        for (const auto& [key, record] : newest) {
            if (record.value) {
                all.records.push_back(record);
            }
        }
        all.next_offset = topics_[topic].size();
        all.era = era_;
        co_await link->pass();
        co_return all;
    }

    asio::awaitable<shared_log_result<topic_read>>
    read(std::shared_ptr<log_link> link, std::string topic, std::uint64_t from, duration wait)
    {
        constexpr duration poll_interval = 5ms;
        co_await link->pass();
        const time_point until = monotonic_clock::now() + wait;
        const auto is_refused = [&] {
            return down_ || topic == refused_topic_ || link->is_rejected();
        };
        while (!is_refused() && topics_[topic].size() == from && monotonic_clock::now() < until) {
            co_await sleep_for(poll_interval);
        }
        if (is_refused()) {
            co_return refusal();
        }
        const std::vector<stored_record>& stored = topics_[topic];
        if (from > stored.size()) {
            co_return shared_log_failure{shared_log_error::trimmed, "beyond the end"};
        }
        topic_read found;
        for (std::size_t i = from; i < stored.size(); ++i) {
            found.records.records.push_back(stored[i].record);
        }
        found.records.next_offset = stored.size();
        found.records.era = era_;
        found.topic_end = stored.size();
        co_await link->pass();
        co_return found;
    }

    asio::awaitable<shared_log_result<log_position>> append(std::shared_ptr<log_link> link,
                                                            std::string topic, log_position at,
                                                            std::vector<keyed_record> records)
    {
        co_await link->pass();
        const duration delay = link->append_delay;
        co_await sleep_for(delay);
        if (down_ || refuses_writes_ || link->is_rejected()) {
            co_return refusal();
        }
        if (topics_[topic].size() != at.offset) {
            co_return shared_log_failure{shared_log_error::conflict, "other end"};
        }
        for (keyed_record& record : records) {
            write(topic, std::move(record));
        }
        const log_position end{era_, topics_[topic].size()};
        co_await link->pass();
        if (end.era != at.era) {
            co_return shared_log_failure{shared_log_error::restored, "restored"};
        }
        co_return end;
    }

    asio::awaitable<shared_log_result<log_position>>
    put(std::shared_ptr<log_link> link, std::string topic, std::vector<keyed_record> records)
    {
        co_await link->pass();
        if (down_ || refuses_writes_ || link->is_rejected()) {
            co_return refusal();
        }
        for (keyed_record& record : records) {
            write(topic, std::move(record));
        }
        const log_position end{era_, topics_[topic].size()};
        co_return end;
    }

    std::map<std::string, std::vector<stored_record>> topics_;
    std::uint64_t era_ = 1;
    bool down_ = false;
    bool refuses_writes_ = false;
    std::string refused_topic_;
};

} // namespace chervildyke::test
