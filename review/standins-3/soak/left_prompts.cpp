/** \file
 * A case: clients whose prompts crash the servers that write an answer on them leave early.
 */
#include <map>
#include <optional>

#include <boost/asio.hpp>

#include "small_deployment.h"

namespace chervildyke::review {

namespace asio = boost::asio;

namespace {

constexpr std::size_t node_count = 3;
constexpr std::size_t order_server_count = 1;
constexpr std::size_t model_server_count = 42;

constexpr duration settle_window = 3s;   // settle-window-ms
constexpr std::size_t crashes_known = 5; // From then on nodes must know the part.
constexpr std::size_t max_late_arrivals = 3;
constexpr duration leave_after = 60ms;    // The clients leave before the first event.
constexpr duration left_interval = 150ms; // Between two of their calls.
constexpr duration leaving_span = 5500ms; // For how long they come at a time.
constexpr int leaving_times = 3;
constexpr duration between_times = 2s;
constexpr duration sound_interval = 60ms; // Between two calls of the other clients.
constexpr duration baseline_span = 4s;
const std::string first_part = "5c1e07a2:400";

/** What reached the servers, and what became of the sound streams. */
struct observation {
    std::vector<time_point> crashes;
    std::size_t arrivals = 0; // Of calls with the part that crashes servers.
    std::size_t late_arrivals = 0;
    std::map<std::string, std::size_t> sound; // Sound streams by how they ended.
    bool stopped = false;
};

asio::awaitable<void> wait(duration span)
{
    co_await sleep_for(span);
}

std::string model_of(std::size_t number)
{
    return (number / node_count) % 2 == 0 ? "small" : "large";
}

asio::awaitable<void> send_left(small_deployment& deployed, case_record& record, std::size_t number,
                                bool stays, bool trouble)
{
    const std::string id = "l-" + std::to_string(number);
    const std::string own = "aa" + std::to_string(number) + ":100";
    const std::string part = trouble ? std::string(soak::poison_part) : "900d900d";
    const std::string prompt = first_part + "," + part + ":300," + own;
    const std::optional<duration> leave = stays ? std::nullopt : std::optional(leave_after);
    const call_outcome outcome =
        co_await deployed.stream(number % node_count, model_of(number), prompt, id, leave);
    record.write("call " + id + " with the part was answered " + std::to_string(outcome.status) +
                 (stays ? "" : "; its client left after 60 ms"));
}

asio::awaitable<void> send_sound(small_deployment& deployed, case_record& record, observation& seen,
                                 std::size_t number)
{
    const std::string id = "s-" + std::to_string(number);
    const std::string prompt = first_part + ",bb" + std::to_string(number) + ":100";
    const call_outcome outcome =
        co_await deployed.stream(number % node_count, model_of(number), prompt, id, std::nullopt);
    const std::string end = outcome.status != 200  ? std::to_string(outcome.status)
                            : outcome.seal.empty() ? "broken off"
                                                   : "complete";
    ++seen.sound[end];
    record.write("sound call " + id + ": " + end);
}

asio::awaitable<void> run_sound_clients(small_deployment& deployed, case_record& record,
                                        observation& seen)
{
    const auto executor = co_await asio::this_coro::executor;
    for (std::size_t i = 0; !seen.stopped; ++i) {
        asio::co_spawn(executor, send_sound(deployed, record, seen, i), asio::detached);
        co_await wait(sound_interval);
    }
}

/** Notes the crashes as they come, so that their times are known. */
asio::awaitable<void> watch_crashes(small_deployment& deployed, case_record& record,
                                    observation& seen)
{
    while (!seen.stopped) {
        while (seen.crashes.size() < deployed.poison().crash_count()) {
            seen.crashes.push_back(monotonic_clock::now());
            record.write("server crash " + std::to_string(seen.crashes.size()));
        }
        co_await wait(5ms);
    }
}

void note_arrival(observation& seen, case_record& record, const std::string& id,
                  const std::string& prompt)
{
    if (!soak::has_part(prompt, soak::poison_part)) {
        return;
    }
    ++seen.arrivals;
    const bool late = seen.crashes.size() >= crashes_known &&
                      monotonic_clock::now() - seen.crashes[crashes_known - 1] > settle_window;
    seen.late_arrivals += late ? 1 : 0;
    record.write("call " + id + " with the part reached a server" + (late ? ", late" : ""));
}

std::string to_text(const std::map<std::string, std::size_t>& counts)
{
    std::string text;
    for (const auto& [name, count] : counts) {
        text += (text.empty() ? "" : ", ") + std::to_string(count) + " " + name;
    }
    return text;
}

asio::awaitable<int> run(small_deployment& deployed, case_record& record, bool trouble)
{
    const bool stays = std::getenv("STAY") != nullptr;
    observation seen;
    deployed.on_arrival = [&](const std::string& id, const std::string& prompt) {
        note_arrival(seen, record, id, prompt);
    };
    if (!deployed.start(node_count, order_server_count) ||
        !deployed.start_model_servers(model_server_count)) {
        co_return exit_not_run;
    }
    const bool ready = co_await deployed.wait_until_ready();
    if (!ready) {
        record.write("the nodes did not become ready");
        co_return exit_not_run;
    }
    co_await wait(6s); // Replicas form.
    const auto executor = co_await asio::this_coro::executor;
    asio::co_spawn(executor, run_sound_clients(deployed, record, seen), asio::detached);
    asio::co_spawn(executor, watch_crashes(deployed, record, seen), asio::detached);
    co_await wait(baseline_span);
    const auto before = seen.sound;
    record.write("sound calls before: " + to_text(before));
    std::size_t number = 0;
    for (int i = 0; i < leaving_times; ++i) {
        const time_point end = monotonic_clock::now() + leaving_span;
        while (monotonic_clock::now() < end) {
            asio::co_spawn(executor, send_left(deployed, record, number++, stays, trouble),
                           asio::detached);
            co_await wait(left_interval);
        }
        co_await wait(between_times);
    }
    co_await wait(2s);
    seen.stopped = true;
    co_await wait(5s);
    record.write("sound calls in all: " + to_text(seen.sound));
    record.write(std::to_string(seen.crashes.size()) + " servers crashed; " +
                 std::to_string(seen.arrivals) + " calls with the part reached servers, " +
                 std::to_string(seen.late_arrivals) +
                 " of them over 3000 ms after the fifth crash");
    const auto complete = before.find("complete");
    if (complete == before.end()) {
        record.write("no sound call was complete before");
        co_return exit_not_run;
    }
    co_return seen.late_arrivals > max_late_arrivals ? exit_broken : exit_held;
}

} // namespace

} // namespace chervildyke::review

int main(int argc, char** argv)
{
    return chervildyke::review::run_case(argc, argv, chervildyke::review::run);
}
