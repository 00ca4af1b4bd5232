/** \file
 * A case: the store turns one node away while many changes of a large configuration are made, the
 * last of which revokes a key.
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
constexpr std::size_t added_routes = 390 + 110;
constexpr std::size_t storm_changes = 25;
constexpr duration storm_interval = 80ms;
constexpr duration before_storm = 1500ms; // From the start of the cut; longer than a poll.
constexpr duration until_healed = 5150ms; // From the revocation to the end of the cut.
constexpr duration before_healed = 200ms; // The calls with the revoked key begin so early.
constexpr duration call_interval = 4ms;
constexpr duration after_healed = 2s;

/** The calls that clients have sent with the revoked key, and those of them that ran too late. */
struct observation {
    std::map<std::string, time_point> sent;
    std::optional<time_point> revoked_at; // When the store acknowledged the revocation.
    std::size_t runs = 0;
    std::size_t late_runs = 0;
};

void note_run(observation& seen, case_record& record, const executed_call& run)
{
    ++seen.runs;
    const auto sent = seen.sent.find(run.id);
    if (sent == seen.sent.end() || !seen.revoked_at) {
        return;
    }
    const duration after = sent->second - *seen.revoked_at;
    if (after > revoke_time) {
        ++seen.late_runs;
        record.write("call " + run.id + " with the revoked key ran for team " + run.team +
                     "; it was sent " + std::to_string(after / 1ms) +
                     " ms after the ack of the revocation");
    }
}

asio::awaitable<void> send_call(small_deployment& deployed, case_record& record, observation& seen,
                                std::string key, std::string id)
{
    if (key == revoked_key) {
        seen.sent[id] = monotonic_clock::now();
    }
    const std::string path = "/place/x";
    const call_outcome outcome = co_await deployed.call(cut_node, path, key, id);
    record.write("call " + id + " with key " + key + " was answered " +
                 std::to_string(outcome.status) +
                 (outcome.seal.empty() ? " by the node" : " by a server"));
}

asio::awaitable<void> wait(duration span)
{
    co_await sleep_for(span);
}

void add_routes(soak::deployment& configuration)
{
    for (std::size_t i = 0; i < added_routes; ++i) {
        const std::string name = "added-" + std::to_string(i);
        configuration.routes.push_back(
            {name, "/" + name + "/", soak::order_service, false, true, 1s, 100ms, 3});
    }
}

asio::awaitable<void> change_quickly(small_deployment& deployed)
{
    for (std::size_t i = 0; i < storm_changes; ++i) {
        ++deployed.configuration().version;
        deployed.configuration().routes.back().timeout += 1ms;
        deployed.publish();
        co_await wait(storm_interval);
    }
}

asio::awaitable<int> run(small_deployment& deployed, case_record& record, bool trouble)
{
    observation seen;
    deployed.on_run = [&](const executed_call& run) { note_run(seen, record, run); };
    add_routes(deployed.configuration());
    if (!deployed.start(node_count, server_count)) {
        co_return exit_not_run;
    }
    const bool ready = co_await deployed.wait_until_ready();
    if (!ready) {
        record.write("the nodes did not become ready");
        co_return exit_not_run;
    }
    co_await wait(1s);
    if (trouble) {
        record.write("the store turns node " + std::to_string(cut_node) + " away with 503");
        deployed.store().faults().rejected_nodes.insert(cut_node);
    }
    co_await wait(before_storm);
    record.write(std::to_string(storm_changes) + " changes of a configuration with " +
                 std::to_string(deployed.configuration().routes.size()) + " routes begin");
    co_await change_quickly(deployed);
    ++deployed.configuration().version;
    deployed.configuration().teams.front().keys = {valid_key};
    deployed.publish();
    seen.revoked_at = monotonic_clock::now();
    record.write("the store acknowledged version " +
                 std::to_string(deployed.configuration().version) + ", without key " + revoked_key);
    const time_point healed_at = *seen.revoked_at + until_healed;
    co_await wait(until_healed - before_healed);
    const auto executor = co_await asio::this_coro::executor;
    bool healed = false;
    for (std::size_t i = 0; monotonic_clock::now() < healed_at + after_healed; ++i) {
        if (!healed && monotonic_clock::now() >= healed_at) {
            healed = true;
            record.write("the store serves all nodes");
            deployed.store().faults().rejected_nodes.clear();
        }
        const std::string key = i % 10 == 0 ? valid_key : revoked_key;
        const std::string id = "c-" + std::to_string(i);
        asio::co_spawn(executor, send_call(deployed, record, seen, key, id), asio::detached);
        co_await wait(call_interval);
    }
    co_await wait(2500ms);
    record.write(std::to_string(seen.late_runs) +
                 " calls ran that were sent over 5000 ms after the ack of the revocation; " +
                 std::to_string(seen.runs) + " calls ran in all");
    if (seen.runs == 0) {
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
