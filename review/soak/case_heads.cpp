/** \file
 * A server of orders that answers each call with interim heads without end. Calls to the route must
 * still be answered within half a second of the route's timeout.
 */
#include <array>

#include <boost/asio.hpp>

#include "small_fleet.h"
#include "soak/invariant_checker.h"

using namespace chervildyke;
using namespace chervildyke::review;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

constexpr auto as_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::size_t server_count = 3;
constexpr std::size_t call_count = 240;
constexpr duration call_interval = 50ms;
constexpr duration route_timeout = 1s;
constexpr duration call_time_limit = 6s;
constexpr duration late_after_timeout = 500ms; // Of the rule.
constexpr std::size_t min_late_calls = 8;      // Of the rule.
constexpr std::size_t heads_in_piece = 2000;

/** A server of orders. It answers at once, or, when it is in trouble, sends interim heads until the
 * caller closes the connection.
 */
class order_server_stand_in {
  public:
    order_server_stand_in(asio::io_context& context, const std::string& ip, std::string id,
                          bool in_trouble, recorder& record)
        : id_(std::move(id)), in_trouble_(in_trouble), record_(record),
          acceptor_(context, {asio::ip::make_address(ip), 0})
    {
        for (std::size_t i = 0; i < heads_in_piece; ++i) {
            piece_ += "HTTP/1.1 100 Continue\r\n\r\n";
        }
        asio::co_spawn(context, accept(), asio::detached);
    }

    soak::server_entry entry() const
    {
        soak::server_entry made;
        made.id = id_;
        made.service = soak::order_service;
        const auto local = acceptor_.local_endpoint();
        made.address = local.address().to_string() + ":" + std::to_string(local.port());
        made.failure_domain = "zone-0";
        made.started_ms = wall_clock_ms();
        made.slots = soak::slots_per_order_server;
        return made;
    }

    int open_endless() const { return open_endless_; }

  private:
    asio::awaitable<void> accept()
    {
        while (true) {
            auto [error, peer] = co_await acceptor_.async_accept(as_tuple);
            if (!error) {
                asio::co_spawn(acceptor_.get_executor(), serve(std::move(peer)), asio::detached);
            }
        }
    }

    static std::string header_of(const std::string& head, const std::string& name)
    {
        const std::size_t found = head.find("\r\n" + name + ": ");
        if (found == std::string::npos) {
            return {};
        }
        const std::size_t begin = found + name.size() + 4;
        return head.substr(begin, head.find("\r\n", begin) - begin);
    }

    asio::awaitable<void> serve(tcp::socket peer)
    {
        std::string bytes;
        while (true) {
            const auto [error, head_bytes] = co_await asio::async_read_until(
                peer, asio::dynamic_buffer(bytes), "\r\n\r\n", as_tuple);
            if (error) {
                co_return;
            }
            const std::string head = bytes.substr(0, head_bytes);
            const std::string length = header_of(head, "Content-Length");
            const std::size_t all = head_bytes + (length.empty() ? 0 : std::stoul(length));
            while (bytes.size() < all) {
                std::array<char, 4096> part{};
                const auto [failed, count] =
                    co_await peer.async_read_some(asio::buffer(part), as_tuple);
                if (failed) {
                    co_return;
                }
                bytes.append(part.data(), count);
            }
            bytes.erase(0, all);
            const std::string call = header_of(head, "X-Attempt-Id");
            record_.write("server " + id_ + " got " + (call.empty() ? "no call" : call));
            if (in_trouble_ && !call.empty()) {
                co_await send_heads(peer, call);
                co_return;
            }
            const std::string answer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + call +
                                       "\r\nX-Response-Seal: s\r\nX-Served-By: " + id_ +
                                       "\r\nContent-Length: 4\r\n\r\ndone";
            const auto [failed, written] =
                co_await asio::async_write(peer, asio::buffer(answer), as_tuple);
            if (failed) {
                co_return;
            }
        }
    }

    asio::awaitable<void> send_heads(tcp::socket& peer, std::string call)
    {
        ++open_endless_;
        std::size_t sent = 0;
        while (true) {
            const auto [error, bytes] =
                co_await asio::async_write(peer, asio::buffer(piece_), as_tuple);
            sent += bytes;
            if (error) {
                break;
            }
        }
        --open_endless_;
        record_.write("server " + id_ + ": connection of " + call + " closed after " +
                      std::to_string(sent) + " bytes");
    }

    std::string id_;
    bool in_trouble_;
    recorder& record_;
    std::string piece_;
    tcp::acceptor acceptor_;
    int open_endless_ = 0;
};

/** What became of one call. */
struct sent_call_state {
    std::optional<double> answered_after_ms; // Or ended with its connection.
    unsigned status = 0;
};

class heads_case {
  public:
    heads_case(asio::io_context& context, const case_options& options, recorder& record)
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
        for (std::size_t i = 0; i < server_count; ++i) {
            const bool in_trouble = options_.trouble && i == 0;
            servers.push_back(std::make_unique<order_server_stand_in>(
                context_, fleet_.server_ip(i), "i-" + std::to_string(i), in_trouble, record_));
            fleet_.publish_server(servers.back()->entry());
        }
        const bool ready = co_await fleet_.wait_until_ready(20s);
        if (!ready) {
            co_await fleet_.stop(9s);
            co_return exit_not_run;
        }
        co_await sleep_for(4s);
        calls_.resize(call_count);
        for (std::size_t i = 0; i < call_count; ++i) {
            asio::co_spawn(context_, send(i), asio::detached);
            co_await sleep_for(call_interval);
        }
        const duration rest = call_time_limit + 1s;
        co_await sleep_for(rest);
        const int result = judge();
        co_await fleet_.stop(9s);
        co_return result;
    }

  private:
    asio::awaitable<void> send(std::size_t index)
    {
        soak::sent_call call;
        call.id = "call-" + std::to_string(index);
        call.target = "/place/" + std::to_string(index);
        call.body = "order " + std::to_string(index);
        call.key = "mills-1";
        call.time_limit = std::chrono::duration_cast<std::chrono::milliseconds>(call_time_limit);
        http_request request = soak::write_call(call, "soak.example", "");
        http_call_options options;
        options.timeout = call_time_limit;
        options.fresh_connection = true;
        const std::string address = fleet_.nodes()[index % fleet_.nodes().size()].call_address;
        const time_point sent_at = monotonic_clock::now();
        record_.write("sent " + call.id + " to " + address);
        auto reply = co_await fleet_.http().call(address, std::move(request), options);
        const double took =
            std::chrono::duration<double, std::milli>(monotonic_clock::now() - sent_at).count();
        const bool gave_up =
            !reply &&
            took >= 0.99 * std::chrono::duration<double, std::milli>(call_time_limit).count();
        if (!gave_up) {
            calls_[index].answered_after_ms = took;
        }
        calls_[index].status = reply ? reply->status : 0;
        record_.write(call.id +
                      (reply     ? ": status " + std::to_string(reply->status)
                       : gave_up ? ": no answer, the client gives up"
                                 : ": its connection ended, " + reply.failure().reason) +
                      " after " + std::to_string(took) + " ms");
    }

    int judge()
    {
        using ms = std::chrono::duration<double, std::milli>;
        const double timeout = ms(route_timeout).count();
        const double limit = ms(route_timeout + late_after_timeout).count();
        std::size_t at_timeout = 0;
        std::size_t late = 0;
        std::size_t served = 0;
        for (const sent_call_state& call : calls_) {
            const bool open = !call.answered_after_ms || *call.answered_after_ms > timeout;
            const bool is_late = !call.answered_after_ms || *call.answered_after_ms > limit;
            at_timeout += open ? 1 : 0;
            late += is_late ? 1 : 0;
            served += call.status == 200 ? 1 : 0;
        }
        record_.write("calls: " + std::to_string(calls_.size()) + ", served " +
                      std::to_string(served) + ", unanswered at the timeout of the route " +
                      std::to_string(at_timeout) + ", still unanswered 500 ms later " +
                      std::to_string(late));
        const bool broken = late >= min_late_calls && 2 * late > at_timeout;
        record_.write(broken ? "CONFIG is broken" : "CONFIG held");
        return broken ? exit_broken : exit_held;
    }

    asio::io_context& context_;
    const case_options& options_;
    recorder& record_;
    small_fleet fleet_;
    std::vector<sent_call_state> calls_;
};

} // namespace

int main(int argc, char** argv)
{
    return run_case<heads_case>(argc, argv);
}
