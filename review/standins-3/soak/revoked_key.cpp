/** \file
 * A case: the store turns one node away while a key is revoked, and returns from an older copy.
 */
#include <map>
#include <optional>
#include <set>

#include <boost/asio.hpp>

#include "small_deployment.h"

namespace chervildyke::review {

namespace asio = boost::asio;

namespace {

constexpr std::size_t node_count = 3;
constexpr std::size_t server_count = 2;
constexpr std::size_t cut_node = 0;
const std::string revoked_key = "mills-2";
const std::string valid_key = "mills-1";

constexpr duration revoke_time = 5s; // revoke-ms
constexpr duration call_interval = 20ms;
constexpr duration before_change =
    2s; // From the start of the cut to the revocation; longer than a poll.
constexpr duration copy_margin = 250ms;   // By which the copy is older than the revocation.
constexpr duration until_restore = 6s;    // From the revocation to the return of the store.
constexpr duration outage = 300ms;        // Of the whole store, before it returns as the copy.
constexpr duration rewrite_delay = 900ms; // Until the operator and the servers write again.
constexpr duration after_restore = 4s;

struct sent_call {
    std::size_t node = 0;
    time_point at{};
};

/** Everything that the clients have sent with the revoked key and that ran. */
struct observation {
    std::map<std::string, sent_call> sent; // With the revoked key.
    std::set<std::string> run;             // All calls.
    std::optional<time_point> revoked_at;  // When the store acknowledged the revocation.
    std::size_t late_runs = 0;
    bool stopped = false;
};

asio::awaitable<void> send_call(small_deployment& deployed, case_record& record, observation& seen,
                                std::size_t node, std::string key, std::string id)
{
    if (key == revoked_key) {
        seen.sent[id] = {node, monotonic_clock::now()};
    }
    const std::string path = "/place/x";
    const call_outcome outcome = co_await deployed.call(node, path, key, id);
    record.write("call " + id + " with key " + key + " at node " + std::to_string(node) +
                 " was answered " + std::to_string(outcome.status) +
                 (outcome.seal.empty() ? " by the node" : " by a server"));
}

/** Sends calls with both keys to all nodes in turn. */
asio::awaitable<void> run_clients(small_deployment& deployed, case_record& record,
                                  observation& seen)
{
    const auto executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; !seen.stopped; ++i) {
        const std::size_t node = i % node_count;
        const std::string key = (i / node_count) % 4 == 0 ? valid_key : revoked_key;
        const std::string id = "c-" + std::to_string(i);
        asio::co_spawn(executor, send_call(deployed, record, seen, node, key, id), asio::detached);
        const duration pause = call_interval;
        co_await sleep_for(pause);
    }
}

void note_run(observation& seen, case_record& record, const executed_call& run)
{
    seen.run.insert(run.id);
    const auto sent = seen.sent.find(run.id);
    if (sent == seen.sent.end() || !seen.revoked_at) {
        return;
    }
    const duration after = sent->second.at - *seen.revoked_at;
    if (after > revoke_time) {
        ++seen.late_runs;
        record.write("call " + run.id + " at node " + std::to_string(sent->second.node) +
                     " with the revoked key ran for team " + run.team + "; it was sent " +
                     std::to_string(after / 1ms) + " ms after the ack of the revocation");
    }
}

asio::awaitable<void> wait(duration span)
{
    co_await sleep_for(span);
}

asio::awaitable<int> run(small_deployment& deployed, case_record& record, bool trouble)
{
    observation seen;
    deployed.on_run = [&](const executed_call& run) { note_run(seen, record, run); };
    if (!deployed.start(node_count, server_count)) {
        co_return exit_not_run;
    }
    const bool ready = co_await deployed.wait_until_ready();
    if (!ready) {
        record.write("the nodes did not become ready");
        co_return exit_not_run;
    }
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, run_clients(deployed, record, seen), asio::detached);
    co_await wait(2s);
    if (trouble) {
        record.write("the store turns node " + std::to_string(cut_node) + " away with 503");
        deployed.store().faults().rejected_nodes.insert(cut_node);
    }
    co_await wait(before_change);
    ++deployed.configuration().version;
    deployed.configuration().teams.front().keys = {valid_key};
    deployed.publish();
    seen.revoked_at = monotonic_clock::now();
    record.write("the store acknowledged version 2, without key " + revoked_key);
    co_await wait(until_restore - outage);
    if (trouble) {
        record.write("the store is away");
        deployed.store().faults().down = true;
    }
    co_await wait(outage);
    if (trouble) {
        const duration age = monotonic_clock::now() - *seen.revoked_at + copy_margin;
        record.write("the store is back, from a copy " + std::to_string(age / 1ms) +
                     " ms old, and serves all nodes; the operator writes again in " +
                     std::to_string(rewrite_delay / 1ms) + " ms");
        deployed.store().faults().down = false;
        deployed.store().faults().rejected_nodes.clear();
        deployed.store().restore_copy(age, rewrite_delay);
    }
    co_await wait(after_restore);
    seen.stopped = true;
    co_await wait(2500ms);
    record.write(std::to_string(seen.late_runs) +
                 " calls ran that were sent over 5000 ms after the ack of the revocation; " +
                 std::to_string(seen.run.size()) + " calls ran in all");
    if (seen.run.empty()) {
        co_return exit_not_run;
    }
    co_return seen.late_runs > 0 ? exit_broken : exit_held;
}

} // namespace

} // namespace chervildyke::review

int main(int argc, char** argv)
{
    return chervildyke::review::run_case(argc, argv, chervildyke::review::run);
}
