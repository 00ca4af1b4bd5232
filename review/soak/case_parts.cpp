/** \file
 * Prompts with a part that crashes servers come after that part is known. The prompts have many
 * parts, like a long conversation; the crashing one is the eighteenth.
 */
#include <algorithm>
#include <cstdlib>
#include <string>
#include <vector>

#include <unistd.h>

#include <boost/asio.hpp>

#include "base/http_client.h"
#include "small_fleet.h"
#include "soak/fleet.h"
#include "soak/wire_format.h"

using namespace chervildyke;
using namespace chervildyke::review;
namespace asio = boost::asio;

namespace {

constexpr std::size_t node_count = 3;
constexpr std::size_t model_server_count = 42; // 6 fabric domains of 7 VMs.
constexpr int default_parts_before = 17;       // Shared parts before the crashing one.
constexpr duration formation_time = 10s;
constexpr std::size_t first_prompts = 9;
constexpr duration first_gap = 150ms;
constexpr std::size_t late_prompts = 50;
constexpr duration late_gap = 400ms;
constexpr duration sound_gap = 200ms; // Sound prompts come all the while.
constexpr duration settle_window = 3s;
constexpr duration wait_time = 6s; // From the first prompts to the late ones.
constexpr std::size_t fifth = 5;
constexpr std::size_t max_late_arrivals = 3; // Of the rule.
constexpr duration baseline_time = 6s;
constexpr duration poll_interval = 10ms;
constexpr std::uint64_t stream_events = 6;
constexpr auto time_limit = std::chrono::milliseconds(4000);
constexpr double engine_time_factor = 10; // The first event follows after 100 ms.
constexpr std::uint32_t first_network = 100;
constexpr std::uint32_t network_count = 100;

soak::deployment make_deployment()
{
    soak::deployment made;
    made.version = 2;
    made.routes = {{"draft", "/draft/", soak::model_service, true, true, time_limit, 400ms, 1}};
    made.models = {{"small", 2, 1, 1200ms, 200ms}};
    made.teams = {{"yards", {"yards-1"}}};
    return made;
}

class parts_case {
  public:
    parts_case(asio::io_context& context, const case_options& options, recorder& record)
        : context_(context), options_(options), record_(record),
          fleet_(context.get_executor(), fleet_options_of(options))
    {
        if (const char* given = std::getenv("PARTS_BEFORE")) {
            parts_before_ = std::atoi(given);
        }
    }

    asio::awaitable<int> run()
    {
        if (!fleet_.start()) {
            record_.write("could not run: " + fleet_.last_reason());
            co_return exit_not_run;
        }
        fleet_.store().put(soak::configuration_topic, soak::configuration_key,
                           soak::write_configuration(make_deployment()));
        co_await sleep_for(formation_time);
        for (const auto& endpoint : fleet_.endpoints()) {
            endpoint->server->faults().slowdown_factor = engine_time_factor;
        }
        asio::co_spawn(context_, send_sound(), asio::detached);
        asio::co_spawn(context_, watch_crashes(), asio::detached);
        co_await sleep_for(baseline_time);
        const std::size_t answered_before = answered_.size();
        for (std::size_t i = 0; i < first_prompts; ++i) {
            asio::co_spawn(context_, send(options_.trouble, i % node_count), asio::detached);
            co_await sleep_for(first_gap);
        }
        const duration rest = wait_time - first_gap * static_cast<int>(first_prompts);
        co_await sleep_for(rest);
        const std::size_t first_crashes = crashes_.size();
        record_.write("servers crashed by the part so far: " + std::to_string(first_crashes));
        for (std::size_t i = 0; i < late_prompts; ++i) {
            asio::co_spawn(context_, send(options_.trouble, i % node_count), asio::detached);
            co_await sleep_for(late_gap);
        }
        over_ = true;
        co_await sleep_for(time_limit);
        const double known = crashes_.size() < fifth ? 0 : crashes_[fifth - 1];
        const auto late_crashes = static_cast<std::size_t>(
            std::count_if(crashes_.begin(), crashes_.end(), [known](double at) {
                return known > 0 && at > known + in_ms(settle_window);
            }));
        record_.write(
            "servers crashed by the part: " + std::to_string(crashes_.size()) +
            "; more than settle-window-ms after the fifth: " + std::to_string(late_crashes));
        write_sound("before the first crash", 0, crashes_.empty() ? 0 : crashes_.front());
        write_sound("from 2 x settle-window-ms after the fifth",
                    known > 0 ? known + 2 * in_ms(settle_window) : 0, record_.now_ms());
        co_await fleet_.stop();
        if (answered_before == 0 || (options_.trouble && first_crashes < fifth)) {
            record_.write("could not run: the model does not serve, or too few crashes");
            co_return exit_not_run;
        }
        // Each crash needs a request that reached a server.
        const bool broken = late_crashes > max_late_arrivals;
        record_.write(broken ? "BUDGET is broken" : "BUDGET held");
        co_return broken ? exit_broken : exit_held;
    }

  private:
    static soak::fleet_options fleet_options_of(const case_options& options)
    {
        soak::fleet_options made;
        made.node_program = options.node_program;
        made.folder = options.folder;
        made.node_count = node_count;
        made.model_server_count = model_server_count;
        made.caller_count = 0;
        made.network_number =
            first_network + static_cast<std::uint32_t>(::getpid()) % network_count;
        made.seed = static_cast<std::uint64_t>(::getpid());
        return made;
    }

    static double in_ms(duration span)
    {
        return std::chrono::duration<double, std::milli>(span).count();
    }

    /** Notes when servers crash. */
    asio::awaitable<void> watch_crashes()
    {
        while (true) {
            while (crashes_.size() < fleet_.poison().crash_count()) {
                crashes_.push_back(record_.now_ms());
            }
            co_await sleep_for(poll_interval);
        }
    }

    /** Records how many of the sound prompts of a time were answered. */
    void write_sound(const std::string& when, double from, double until)
    {
        const auto count = [&](const std::vector<double>& sent) {
            return std::count_if(sent.begin(), sent.end(),
                                 [&](double at) { return at >= from && at < until; });
        };
        record_.write("sound prompts sent " + when + ": " + std::to_string(count(sound_)) +
                      ", answered whole " + std::to_string(count(answered_)));
    }

    asio::awaitable<void> send_sound()
    {
        for (std::size_t i = 0; !over_; ++i) {
            sound_.push_back(record_.now_ms());
            asio::co_spawn(context_, send(false, i % node_count), asio::detached);
            co_await sleep_for(sound_gap);
        }
    }

    asio::awaitable<void> send(bool crashing, std::size_t node)
    {
        soak::sent_call call;
        const std::string number = std::to_string(++number_);
        call.id = (crashing ? "crashing-" : "sound-") + number;
        call.target = "/draft/" + call.id;
        call.team = "yards";
        call.key = "yards-1";
        call.poisoned = crashing;
        call.event_count = stream_events;
        call.body = std::to_string(stream_events);
        for (int i = 0; i < parts_before_; ++i) {
            call.prompt += "5c1e07" + std::to_string(10 + i) + ":40,";
        }
        call.prompt += crashing ? std::string(soak::poison_part) + ":50," : std::string();
        call.prompt += "a" + number + ":40";
        call.sent_at = monotonic_clock::now();
        const double sent_at_ms = record_.now_ms();
        call.time_limit = time_limit;
        fleet_.checker().record_sent(call);
        if (crashing) {
            fleet_.poison().record_sent(call.id, node);
        }
        http_request request = soak::write_call(call, "soak.example", "small");
        http_call_options options;
        options.timeout = time_limit;
        options.fresh_connection = true;
        const std::string address = fleet_.nodes()[node]->ip + ":8000";
        record_.write("sent " + call.id + " to " + fleet_.nodes()[node]->name);
        http_client http(context_.get_executor());
        auto answer = co_await http.call(address, std::move(request), options);
        if (!crashing && answer && answer->status == 200) {
            answered_.push_back(sent_at_ms);
        }
        record_.write("answered " + call.id + ": " +
                      (answer ? "status " + std::to_string(answer->status) : "no complete answer") +
                      "; servers crashed so far: " + std::to_string(fleet_.poison().crash_count()));
    }

    asio::io_context& context_;
    const case_options& options_;
    recorder& record_;
    soak::soak_fleet fleet_;
    int parts_before_ = default_parts_before;
    std::size_t number_ = 0;
    std::vector<double> sound_;    // When each sound prompt was sent, in ms.
    std::vector<double> answered_; // When each that was answered had been sent.
    std::vector<double> crashes_;  // When servers crashed by the part.
    bool over_ = false;
};

} // namespace

int main(int argc, char** argv)
{
    return run_case<parts_case>(argc, argv);
}
