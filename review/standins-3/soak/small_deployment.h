/** \file
 * Defines small_deployment, a few real nodes as processes with stand-ins of the store and of
 * servers of orders, for the cases of the review.
 */
#pragma once

#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/http_client.h"
#include "base/http_server.h"
#include "soak/backend_server.h"
#include "soak/deployment.h"
#include "soak/fault_tracker.h"
#include "soak/invariant_checker.h"
#include "soak/link_proxy.h"
#include "soak/metadata_store.h"
#include "soak/model_server.h"
#include "soak/node_process.h"
#include "soak/poison_check.h"

namespace chervildyke::review {

// Exit codes of a case.
inline constexpr int exit_held = 0;
inline constexpr int exit_broken = 1;
inline constexpr int exit_not_run = 2;

/** The record of a case: a line for each thing that was sent, answered or run. */
class case_record {
  public:
    explicit case_record(const std::string& file);

    /** Writes a line, preceded by the time since the start of the case. */
    void write(const std::string& line);

    /** \return the time since the start of the case. */
    duration now() const { return monotonic_clock::now() - began_at_; }

  private:
    std::ofstream file_;
    time_point began_at_ = monotonic_clock::now();
};

/** A call that a server has begun to run. */
struct executed_call {
    std::string id;
    std::string team;
    time_point at{};
};

/** A server of orders that tells of each call that it runs. */
class recording_server : public soak::backend_server {
  public:
    recording_server(soak::server_environment& environment, soak::server_entry entry,
                     std::function<void(const executed_call&)> on_run)
        : backend_server(environment, std::move(entry)), on_run_(std::move(on_run))
    {
    }

  protected:
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;

  private:
    std::function<void(const executed_call&)> on_run_;
};

/** A VM of a model engine. It reads a prompt for a while before it begins to write. */
class reading_model_server : public soak::model_server {
  public:
    /** \param drops_calls whether it drops a call whose connection has closed by then.
     * \param on_arrival called with the id and the prompt of each call that reaches it.
     */
    reading_model_server(
        soak::server_environment& environment, soak::server_entry entry, bool drops_calls,
        std::function<void(const std::string& id, const std::string& prompt)> on_arrival)
        : model_server(environment, std::move(entry)), drops_calls_(drops_calls),
          on_arrival_(std::move(on_arrival))
    {
    }

  protected:
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;

  private:
    bool drops_calls_ = false;
    std::function<void(const std::string&, const std::string&)> on_arrival_;
};

/** Passes on the calls of one node to the store and bounds the answers to its reads: each holds
 * whole records of at most max-kb, by default 1,024 KB, or one record.
 */
class store_front {
  public:
    store_front(boost::asio::any_io_executor executor, std::string store_address);

    /** \return false if it can't listen on the address. */
    bool listen(const std::string& ip, std::uint16_t port) { return server_.listen(ip, port); }

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);

    std::string store_address_;
    std::shared_ptr<http_client> http_;
    http_server server_;
};

/** What a client got for a call. */
struct call_outcome {
    unsigned status = 0; // Zero: the connection ended without an answer.
    std::string seal;    // Empty if no server made the answer.
    std::string body;
};

/** The nodes, their store and the servers of one case, all on addresses 127.NET.x.y. */
class small_deployment {
  public:
    /** \param node_program the program of a node.
     * \param folder for the nodes' settings and logs.
     */
    small_deployment(boost::asio::any_io_executor executor, case_record& record,
                     std::string node_program, std::filesystem::path folder);

    /** Starts the store, the servers and the nodes.
     * \return false if no free addresses were found or a program can't be started.
     */
    bool start(std::size_t nodes, std::size_t servers);

    /** Starts VMs of model engines, in fabric domains of seven. One that crashes is back under
     * another id after some seconds. Two of five VMs do not drop calls whose connection closes.
     */
    bool start_model_servers(std::size_t count);

    /** Waits until all nodes say that they are ready.
     * \return false after a timeout.
     */
    boost::asio::awaitable<bool> wait_until_ready();

    /** Sends a call of a client to a node over a new connection.
     * \param id of the attempt.
     */
    boost::asio::awaitable<call_outcome> call(std::size_t node, std::string path, std::string key,
                                              std::string id);

    /** Writes the configuration as the operator does; the store acknowledges it at once. */
    void publish();

    /** Sends a call of a client whose prompt is for a model, and reads its stream.
     * \param leave_after when the client closes the connection; none: it waits for the end.
     * \return the status, and the events that arrived. A stream that broke off has no seal.
     */
    boost::asio::awaitable<call_outcome> stream(std::size_t node, std::string model,
                                                std::string prompt, std::string id,
                                                std::optional<duration> leave_after);

    soak::poison_check& poison() { return poison_; }
    soak::server_environment& environment() { return environment_; }
    soak::metadata_store& store() { return store_; }
    soak::deployment& configuration() { return configuration_; }
    soak::node_process& node(std::size_t index) { return *nodes_.at(index); }

    /** Called with each call that a server begins to run. */
    std::function<void(const executed_call&)> on_run = [](const executed_call&) {};

    /** Called with the id and the prompt of each call that reaches a VM of a model engine. */
    std::function<void(const std::string& id, const std::string& prompt)> on_arrival =
        [](const std::string&, const std::string&) {};

  private:
    bool find_network(std::size_t nodes);
    std::string ip_of(unsigned subnet, std::size_t index) const;
    void write_settings(std::size_t index);
    bool start_server(std::size_t index);
    bool start_model_server(std::size_t index);
    boost::asio::awaitable<void> restart_model_servers();

    boost::asio::any_io_executor executor_;
    case_record& record_;
    std::string node_program_;
    std::filesystem::path folder_;
    unsigned network_ = 0; // Second byte of all addresses.
    std::size_t node_count_ = 0;
    soak::invariant_checker checker_; // Of the stand-ins; its findings are not used.
    soak::fault_tracker tracker_;
    soak::poison_check poison_;
    soak::metadata_store store_;
    soak::server_environment environment_;
    soak::deployment configuration_;
    std::vector<std::shared_ptr<recording_server>> servers_;
    std::vector<std::shared_ptr<reading_model_server>> model_servers_;
    std::vector<std::unique_ptr<soak::link_proxy>> model_links_; // Before the VMs.
    std::size_t model_starts_ = 0;
    std::vector<std::unique_ptr<soak::link_proxy>> links_; // Before the servers.
    std::vector<std::unique_ptr<store_front>> fronts_;     // One for each node.
    std::vector<std::unique_ptr<soak::node_process>> nodes_;
};

/** Runs a case: its task with a folder of its own for settings and logs, which is removed after it.
 * Arguments of the program: the program of a node, and the file of the record.
 * \param task returns the exit code.
 */
int run_case(int argc, char** argv,
             const std::function<boost::asio::awaitable<int>(small_deployment&, case_record&,
                                                             bool trouble)>& task);

} // namespace chervildyke::review
