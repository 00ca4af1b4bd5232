/** \file
 * Defines engine, the stand-in of the model engines of many VMs in one process.
 */
#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/http_server.h"
#include "base/random.h"
#include "platform.pb.h"
#include "settings.pb.h"
#include "standin/faults.h"
#include "standin/generation.h"
#include "standin/prefix_cache.h"

namespace chervildyke::standin {

/** Serves the engines of several VMs, each on its own address. A replica's first member takes the
 * calls; they advance only while all members are there. Members in other processes are asked for
 * their reports.
 */
class engine {
  public:
    engine(boost::asio::any_io_executor executor, schema::standin_engine_settings settings);

    bool listen();
    bool apply(const schema::fault_request& request);

    /** The port of one VM; for tests that listen on port zero. */
    std::uint16_t port(const std::string& vm) const;

  private:
    /** What a report says late. */
    struct load_sample {
        time_point taken;
        std::uint32_t running;
        std::uint32_t queued;
        std::uint32_t token_time_us;
    };

    /** One VM's engine. All but the VM itself is lost when it dies. */
    struct node {
        schema::standin_vm vm;
        std::unique_ptr<http_server> server; // Empty while the VM is dead.
        fault_switch faults;
        std::uint64_t lives = 0;
        schema::engine_report now; // Without lag; running and queued are taken from the batch.
        std::uint64_t highest_fencing = 0;
        std::vector<schema::engine_peer> group;
        std::set<std::string> obeyed;
        std::uint64_t joins = 0; // An older load that ends must not change a newer one's state.
        bool releasing = false;
        std::uint32_t stray_chunks = 0;
        std::uint32_t stale_orders_obeyed = 0;
        std::uint32_t refused_incomplete = 0;
        std::shared_ptr<generation> batch;
        std::shared_ptr<prefix_cache> cache;
        std::deque<load_sample> samples;
    };

    /** What another process's engine last said. */
    struct remote_member {
        schema::engine_report report;
        time_point heard{};
        time_point wanted{};
    };

    enum class member_state { present, absent, moved, dead };

    bool start(node& on);
    void new_batch(node& on);
    boost::asio::awaitable<void> serve(node& on, http_exchange& exchange);
    boost::asio::awaitable<void> serve_faults(http_exchange& exchange);
    std::string truth() const;
    boost::asio::awaitable<void> generate(node& on, http_exchange& exchange);
    boost::asio::awaitable<void> stream(node& on, http_exchange& exchange,
                                        std::shared_ptr<attempt> from, std::uint32_t next);
    boost::asio::awaitable<void> take_order(node& on, http_exchange& exchange);
    boost::asio::awaitable<void> exchange_kv(node& on, http_exchange& exchange);
    std::string obey(node& on, const schema::engine_order& order);
    void join(node& on, const schema::engine_order& order);
    boost::asio::awaitable<void> load(node& on, std::uint64_t join_number, std::uint64_t bytes);
    boost::asio::awaitable<void> leave(node& on, std::uint64_t join_number);
    boost::asio::awaitable<void> load_adapter(node& on, std::string adapter,
                                              std::uint64_t join_number);
    std::string why_refused(node& on, const schema::engine_call& call);
    schema::engine_report lagged_report(node& on);
    member_state look_at(const node& on, const schema::engine_peer& peer);
    bool group_whole(const node& on, bool for_new_call);
    bool group_lost(const node& on);
    bool has_dead_member(const node& on);
    boost::asio::awaitable<void> sample_loads();
    boost::asio::awaitable<void> poll_remote_members();

    boost::asio::any_io_executor executor_;
    schema::standin_engine_settings settings_;
    random_source random_;
    std::shared_ptr<http_client> http_;
    std::map<std::string, std::unique_ptr<node>> nodes_;
    std::map<std::string, remote_member> remote_; // By address.
    http_server fault_server_;
};

} // namespace chervildyke::standin
