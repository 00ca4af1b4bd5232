/** \file
 * A server of orders fails part of its requests: it runs them and answers 503 or 429 without the
 * header that says that it did not. No request that may run once may be answered 429 or 503 when it
 * has run.
 */
#include <set>

#include <boost/asio.hpp>

#include "base/random.h"
#include "small_fleet.h"
#include "soak/invariant_checker.h"

using namespace chervildyke;
using namespace chervildyke::review;
namespace asio = boost::asio;

namespace {

constexpr std::size_t server_count = 3; // One of them is in trouble.
constexpr double failing_share = 0.4;   // Of its requests.
constexpr std::size_t call_count = 200;
constexpr duration call_interval = 50ms;
constexpr duration route_timeout = 600ms;
constexpr duration work_time = 15ms;
constexpr unsigned unavailable = 503;
constexpr unsigned too_many = 429;

/** What the clients were told and what the servers ran. */
struct order_book {
    std::multiset<std::string> runs; // Ids of attempts, once for each run.
};

/** A server of orders that runs each call it gets. */
class order_server_stand_in {
  public:
    order_server_stand_in(asio::io_context& context, std::string id, bool in_trouble,
                          order_book& book, recorder& record)
        : id_(std::move(id)), in_trouble_(in_trouble), book_(book), record_(record),
          random_(seeded_random(7)),
          server_(context.get_executor(),
                  [this](http_exchange& exchange) { return serve(exchange); })
    {
    }

    bool listen(const std::string& ip)
    {
        ip_ = ip;
        return server_.listen(ip, 0);
    }

    soak::server_entry entry() const
    {
        soak::server_entry made;
        made.id = id_;
        made.service = soak::order_service;
        made.address = ip_ + ":" + std::to_string(server_.port());
        made.failure_domain = "zone-0";
        made.started_ms = wall_clock_ms();
        made.slots = soak::slots_per_order_server;
        return made;
    }

  private:
    asio::awaitable<void> serve(http_exchange& exchange)
    {
        if (soak::read_request_kind(exchange.request()) != soak::request_kind::call) {
            http_reply healthy;
            co_await exchange.respond(std::move(healthy));
            co_return;
        }
        const std::string id = soak::read_arrival(exchange.request()).id;
        co_await sleep_for(work_time);
        book_.runs.insert(id);
        soak::server_answer answer{200, "seal-" + id, "done " + id};
        if (in_trouble_ && random_fraction(random_) < failing_share) {
            answer.status = ++failures_ % 2 == 0 ? too_many : unavailable;
            answer.body = "failed";
        }
        record_.write("server " + id_ + " has run " + id + ", answers " +
                      std::to_string(answer.status));
        http_reply reply = soak::write_server_answer(id, answer);
        co_await exchange.respond(std::move(reply));
    }

    std::string id_;
    std::string ip_;
    bool in_trouble_;
    order_book& book_;
    recorder& record_;
    random_source random_;
    std::size_t failures_ = 0;
    http_server server_;
};

class refused_case {
  public:
    refused_case(asio::io_context& context, const case_options& options, recorder& record)
        : context_(context), options_(options), record_(record), fleet_(context, options, record)
    {
    }

    asio::awaitable<int> run()
    {
        soak::deployment deployed;
        deployed.routes = {
            {"place", "/place/", soak::order_service, false, false, route_timeout, 100ms, 0}};
        deployed.teams = {{"mills", {"mills-1"}}};
        if (!fleet_.start(2, soak::write_configuration(deployed))) {
            co_return exit_not_run;
        }
        std::vector<std::unique_ptr<order_server_stand_in>> servers;
        bool listening = true;
        for (std::size_t i = 0; i < server_count; ++i) {
            const bool in_trouble = options_.trouble && i == 0;
            servers.push_back(std::make_unique<order_server_stand_in>(
                context_, "i-" + std::to_string(i), in_trouble, book_, record_));
            listening = listening && servers.back()->listen(fleet_.server_ip(i));
            fleet_.publish_server(servers.back()->entry());
        }
        const bool ready = co_await fleet_.wait_until_ready(20s);
        if (!listening || !ready) {
            co_await fleet_.stop(9s);
            co_return exit_not_run;
        }
        co_await sleep_for(4s);
        for (std::size_t i = 0; i < call_count; ++i) {
            asio::co_spawn(context_, send(i), asio::detached);
            co_await sleep_for(call_interval);
        }
        co_await sleep_for(2s);
        record_.write("calls: " + std::to_string(call_count) + ", served " +
                      std::to_string(served_) + ", answered 429 or 503 " +
                      std::to_string(refused_.size()) + ", otherwise " +
                      std::to_string(call_count - served_ - refused_.size()));
        std::size_t false_promises = 0;
        for (const std::string& id : refused_) {
            false_promises += book_.runs.contains(id) ? 1 : 0;
        }
        record_.write(std::to_string(false_promises) +
                      " calls were answered 429 or 503 and have run");
        record_.write(false_promises > 0 ? "REFUSED is broken" : "REFUSED held");
        co_await fleet_.stop(9s);
        co_return false_promises > 0 ? exit_broken : exit_held;
    }

  private:
    asio::awaitable<void> send(std::size_t index)
    {
        soak::sent_call call;
        call.id = "call-" + std::to_string(index);
        call.target = "/place/" + std::to_string(index);
        call.body = "order " + std::to_string(index);
        call.key = "mills-1";
        call.time_limit = std::chrono::duration_cast<std::chrono::milliseconds>(route_timeout);
        http_request request = soak::write_call(call, "soak.example", "");
        http_call_options options;
        options.timeout = 1s;
        options.fresh_connection = true;
        const std::string address = fleet_.nodes()[index % fleet_.nodes().size()].call_address;
        auto reply = co_await fleet_.http().call(address, std::move(request), options);
        if (reply && reply->status == 200) {
            ++served_;
        }
        if (reply && (reply->status == unavailable || reply->status == too_many)) {
            refused_.push_back(call.id);
        }
        const std::string seal =
            reply && !reply->header("X-Response-Seal").empty() ? ", with the server's seal" : "";
        record_.write("client: " + call.id + " sent to " + address + ", " +
                      (reply ? "answered " + std::to_string(reply->status) + seal
                             : "no answer, " + reply.failure().reason));
    }

    asio::io_context& context_;
    const case_options& options_;
    recorder& record_;
    small_fleet fleet_;
    order_book book_;
    std::size_t served_ = 0;
    std::vector<std::string> refused_;
};

} // namespace

int main(int argc, char** argv)
{
    return run_case<refused_case>(argc, argv);
}
