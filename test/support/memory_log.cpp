/** \file
 * Implements the in-memory log.
 */
#include "support/memory_log.h"

#include <algorithm>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr duration poll_interval = 5ms;
constexpr std::uint64_t retention_without_limit_ms = 86'400'000; // A day; reported, not applied.

struct stream_state {
    std::deque<log_record> records;
    std::deque<log_record> history;
    log_offset next_offset = 1;
};

std::uint64_t to_ms(duration span)
{
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(span).count());
}

} // namespace

struct memory_log::state {
    duration retention;
    duration latency = duration::zero();
    bool outage = false;
    unsigned lost_replies = 0;
    unsigned overloads = 0;
    std::uint64_t appends = 0;
    std::uint64_t reads = 0;
    std::set<std::string> cut;
    std::map<std::string, stream_state> streams;

    bool reachable(const std::string& client_name) const
    {
        return !outage && !cut.contains(client_name);
    }

    stream_state& trimmed(const std::string& name)
    {
        stream_state& stream = streams[name];
        const std::uint64_t kept_ms = to_ms(retention);
        while (kept_ms > 0 && !stream.records.empty() &&
               stream.records.front().appended_at_ms + kept_ms < wall_clock_ms()) {
            stream.records.pop_front();
        }
        return stream;
    }

    log_offset put(const std::string& name, std::string payload)
    {
        stream_state& stream = trimmed(name);
        stream.records.push_back({stream.next_offset, std::move(payload), wall_clock_ms()});
        stream.history.push_back(stream.records.back());
        return stream.next_offset++;
    }

    log_read read_from(const std::string& name, log_offset from, std::uint32_t limit)
    {
        const stream_state& stream = trimmed(name);
        log_read read;
        read.next_offset = stream.next_offset;
        read.first_offset =
            stream.records.empty() ? stream.next_offset : stream.records.front().offset;
        read.retention_ms =
            retention > duration::zero() ? to_ms(retention) : retention_without_limit_ms;
        for (const log_record& record : stream.records) {
            if (record.offset >= from && read.records.size() < limit) {
                read.records.push_back(record);
            }
        }
        return read;
    }
};

namespace {

external_failure unreachable()
{
    return {external_error::not_sent, "the log is unreachable"};
}

} // namespace

memory_log::memory_log(duration retention) : state_(std::make_shared<state>())
{
    state_->retention = retention;
}

log_client memory_log::client(const std::string& client_name)
{
    log_client made;
    made.append = [log = state_, client_name](
                      std::string stream,
                      std::string payload) -> asio::awaitable<external_result<log_offset>> {
        co_await sleep_for(log->latency / 2);
        if (!log->reachable(client_name)) {
            co_return unreachable();
        }
        if (log->overloads > 0) {
            --log->overloads;
            co_return external_failure{external_error::overloaded, "too many appends"};
        }
        ++log->appends;
        const log_offset offset = log->put(stream, std::move(payload));
        co_await sleep_for(log->latency / 2);
        const bool lost = log->lost_replies > 0;
        if (lost) {
            --log->lost_replies;
        }
        if (lost || !log->reachable(client_name)) {
            co_return external_failure{external_error::unknown_outcome, "the reply was lost"};
        }
        co_return offset;
    };
    made.read = [log = state_,
                 client_name](std::string stream, log_offset from, std::uint32_t limit,
                              duration wait) -> asio::awaitable<external_result<log_read>> {
        co_await sleep_for(log->latency);
        const time_point until = monotonic_clock::now() + wait;
        ++log->reads;
        while (log->reachable(client_name) && monotonic_clock::now() < until &&
               log->trimmed(stream).next_offset == from) {
            co_await sleep_for(poll_interval);
        }
        if (!log->reachable(client_name)) {
            co_return unreachable();
        }
        co_return log->read_from(stream, from, limit);
    };
    return made;
}

void memory_log::set_outage(bool down)
{
    state_->outage = down;
}

void memory_log::set_latency(duration latency)
{
    state_->latency = latency;
}

void memory_log::cut_off(const std::string& client_name, bool cut)
{
    if (cut) {
        state_->cut.insert(client_name);
    }
    else {
        state_->cut.erase(client_name);
    }
}

void memory_log::lose_replies(unsigned count)
{
    state_->lost_replies = count;
}

void memory_log::overload(unsigned count)
{
    state_->overloads = count;
}

void memory_log::lose_records(const std::string& stream, log_offset keep_below)
{
    stream_state& kept = state_->streams[stream];
    while (!kept.records.empty() && kept.records.back().offset >= keep_below) {
        kept.records.pop_back();
    }
    kept.next_offset = std::min(kept.next_offset, keep_below);
}

log_offset memory_log::put(const std::string& stream, std::string payload)
{
    return state_->put(stream, std::move(payload));
}

std::deque<log_record> memory_log::records(const std::string& stream)
{
    return state_->trimmed(stream).records;
}

const std::deque<log_record>& memory_log::history(const std::string& stream)
{
    return state_->streams[stream].history;
}

log_offset memory_log::next_offset(const std::string& stream)
{
    return state_->trimmed(stream).next_offset;
}

std::uint64_t memory_log::appends() const
{
    return state_->appends;
}

std::uint64_t memory_log::reads() const
{
    return state_->reads;
}

} // namespace chervildyke
