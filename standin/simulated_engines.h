/** \file
 * Defines simulated_engines, the stand-in of the model engines of several VMs in one process.
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
#include "standin/continuous_batch.h"
#include "standin/fault_injector.h"
#include "standin/prefix_cache.h"

namespace chervildyke::standin {

/** Simulates the engines of several VMs, each on its own address. The head of a replica, its first
 * member, takes the calls; they advance only while all members are ready. Members that are
 * simulated by other processes are polled for their reports.
 */
class simulated_engines {
  public:
    simulated_engines(boost::asio::any_io_executor executor,
                      schema::standin_engine_settings settings);

    /** Starts to listen on all addresses.
     * \return false when that fails; the reason is logged.
     */
    bool listen();

    /** Applies a fault to one VM.
     * \return false for an unknown fault or VM.
     */
    bool apply(const schema::fault_request& request);

    /** \return the port of one VM that is alive; for tests that listen on port zero. */
    std::uint16_t port(const std::string& vm) const;

  private:
    /** The load at one time. Reports show it with a lag. */
    struct load_sample {
        time_point taken_at;
        std::uint32_t running;
        std::uint32_t queued;
        std::uint32_t token_time_us;
    };

    /** The engine of one VM. A restart loses all state but the VM and the counters. */
    struct vm_engine {
        schema::standin_vm vm;
        std::unique_ptr<http_server> server; // Null while the VM is dead.
        fault_injector faults;
        std::uint64_t start_count = 0;        // Distinguishes the incarnations.
        schema::engine_report current_report; // Without lag and without the load, which batch has.
        std::uint64_t highest_fencing = 0;
        std::vector<schema::engine_peer> group; // The replica's members, the head first.
        std::set<std::string> accepted_command_ids;
        /** Incremented to invalidate running tasks: a load that ends late must not change the state
         * of a newer one.
         */
        std::uint64_t task_generation = 0;
        bool is_leaving_replica = false;         // Commanded to leave; waits for calls in progress.
        std::uint32_t pending_stray_chunks = 0;  // Chunks of a foreign attempt to be sent.
        std::uint32_t stale_commands_obeyed = 0; // Accepted with an old fencing number.
        std::uint32_t refused_incomplete = 0;    // Calls refused because a member was not ready.
        std::shared_ptr<continuous_batch> batch;
        std::shared_ptr<prefix_cache> cache;
        std::deque<load_sample> load_samples;
    };

    /** A member that another process simulates, by its last report. */
    struct remote_member {
        schema::engine_report report;
        time_point received_at{};
        time_point last_needed_at{};
    };

    enum class member_state {
        ready,
        not_ready,  // For now.
        reassigned, // It belongs to another replica, or to none.
        dead,
    };

    /** Starts an engine, or restarts it with empty state. */
    bool start_engine(vm_engine& engine);
    void replace_batch(vm_engine& engine);
    boost::asio::awaitable<void> serve(vm_engine& engine, http_exchange& exchange);
    boost::asio::awaitable<void> serve_faults(http_exchange& exchange);
    std::string ground_truth_json() const;
    boost::asio::awaitable<void> generate(vm_engine& engine, http_exchange& exchange);
    boost::asio::awaitable<void> stream_attempt(vm_engine& engine, http_exchange& exchange,
                                                std::shared_ptr<attempt> source,
                                                std::uint32_t next_sequence);
    boost::asio::awaitable<void> serve_command(vm_engine& engine, http_exchange& exchange);
    /** Exports the hashes of cached prefixes (GET) or imports those of the body (POST). */
    boost::asio::awaitable<void> serve_kv_blocks(vm_engine& engine, http_exchange& exchange);
    /** \return the reason why the command is rejected; empty when it is accepted. */
    std::string apply_command(vm_engine& engine, const schema::engine_order& command);
    void join_replica(vm_engine& engine, const schema::engine_order& command);
    boost::asio::awaitable<void> load_weights(vm_engine& engine, std::uint64_t generation,
                                              std::uint64_t bytes);
    boost::asio::awaitable<void> leave_replica(vm_engine& engine, std::uint64_t generation);
    boost::asio::awaitable<void> load_adapter(vm_engine& engine, std::string adapter,
                                              std::uint64_t generation);
    /** \return the code with which a call is refused; empty when it is not refused. */
    std::string refusal_code(vm_engine& engine, const schema::engine_call& call);
    /** \return the report with the load and the cached prefixes of report_lag_ms and
     * cache_event_lag_ms ago.
     */
    schema::engine_report lagged_report(vm_engine& engine);
    member_state find_member_state(const vm_engine& engine, const schema::engine_peer& peer);
    /** \return whether all members are ready.
     * \param for_new_call a member that is leaving the replica counts as not ready for a new call.
     */
    bool is_group_ready(const vm_engine& engine, bool for_new_call);
    /** \return whether some member is dead or reassigned. */
    bool has_lost_member(const vm_engine& engine);
    bool has_dead_member(const vm_engine& engine);
    boost::asio::awaitable<void> sample_loads();
    boost::asio::awaitable<void> poll_remote_members();

    boost::asio::any_io_executor executor_;
    schema::standin_engine_settings settings_;
    random_source random_;
    std::shared_ptr<http_client> http_;
    std::map<std::string, std::unique_ptr<vm_engine>> engines_; // By VM.
    std::map<std::string, remote_member> remote_members_;       // By address.
    http_server fault_server_;
};

} // namespace chervildyke::standin
