/** \file
 * Defines backend_server, the base of all stand-ins for backend servers: it publishes an entry in
 * the store, can crash or drain, and serves faulty answers on demand. Also defines order_server.
 */
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_server.h"
#include "base/random.h"
#include "soak/deployment.h"
#include "soak/invariant_checker.h"
#include "soak/metadata_store.h"
#include "soak/poison_check.h"
#include "soak/wire_format.h"

namespace chervildyke::soak {

/** Faults that are active on one server. */
struct server_faults {
    double failure_probability = 0;     // A call runs and is answered with status 500.
    double answer_loss_probability = 0; // A call runs and is not answered.
    double truncation_probability = 0;  // An answer ends before the end of its body.
    duration command_delay{};           // If not zero: commands run after it and are not answered.
    bool sends_without_end = false;     // Answers to calls, checks and commands do not end.
    double slowdown_factor = 1;         // Multiplies the time that calls take.
};

class model_server;

/** State that all servers of one soak share. */
struct server_environment {
    boost::asio::any_io_executor executor;
    metadata_store& store;
    invariant_checker& checker;
    poison_check& poison;
    random_source random;
    /** The model servers that have not ended. */
    std::map<std::string, std::weak_ptr<model_server>> model_servers_by_id;
    /** Unix time of the start of each id's latest incarnation. */
    std::map<std::string, std::uint64_t> newest_start_ms_by_id;
    std::map<std::string, deployed_model> models_by_name;
    bool has_received_call = false; // True once any server got a call.
};

/** One incarnation of a backend server. */
class backend_server : public std::enable_shared_from_this<backend_server> {
  public:
    backend_server(server_environment& environment, server_entry entry)
        : environment_(environment), entry_(std::move(entry))
    {
    }
    virtual ~backend_server() = default;
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;

    /** Starts to listen on a free port and publishes the server's entry.
     * \return false if the server can't listen on the address.
     */
    bool start(const std::string& ip);

    /** \return ip:port. */
    std::string listening_address() const;

    /** Ends this incarnation at once. Its entry expires later. */
    virtual void crash();

    /** Publishes that the server is leaving. It still serves for the drain period, then ends. */
    void leave();

    /** Makes the server accept, answer and send nothing for the span; then it goes on where it was.
     * Does nothing soon after another silence of the server.
     */
    void fall_silent(duration span);
    bool silent() const { return monotonic_clock::now() < silent_until_; }

    /** Stops updates of the server's entry, which expires later. The server still serves. */
    void disconnect_from_store();

    /** Ends disconnect_from_store(): the server writes its entry again, if it is alive. */
    void reconnect_to_store();

    bool alive() const { return alive_; }

    /** \return true if the server has crashed and its address must refuse connections. Otherwise
     * the address of an ended server resets them.
     */
    bool refuses_connections() const { return refuses_connections_; }
    bool leaving() const { return entry_.leaving; }
    const server_entry& entry() const { return entry_; }
    server_faults& faults() { return faults_; }

  protected:
    virtual boost::asio::awaitable<void> serve_call(http_exchange& exchange) = 0;
    virtual boost::asio::awaitable<void> serve_command(http_exchange& exchange);

    /** \return true while calls run that delay the end of a leaving server. */
    virtual bool has_running_calls() const { return running_calls_ > 0; }

    /** Writes the server's entry to the store, and retries while the store is down. */
    void publish();

    /** Waits while the server is silent. */
    boost::asio::awaitable<void> wait_while_silent() const;

    /** Sends a reply once the server is not silent.
     * \param reply may end with the connection.
     */
    boost::asio::awaitable<void> send(http_exchange& exchange, http_reply reply);

    /** Sends bytes that are no whole answer until the peer closes the connection or the fault ends.
     * \param start the head of the answer.
     */
    boost::asio::awaitable<void> send_without_end(http_exchange& exchange, http_reply start);

    /** Answers that the call or command was not executed. */
    boost::asio::awaitable<void> refuse(http_exchange& exchange, unsigned status);

    /** Records the arrival of a call at the checks. */
    void record_arrival(const call_arrival& arrival);

    /** Draws whether an answer has neither a length nor chunks and ends with its connection. */
    bool draw_ends_with_connection() const;

    /** Draws one random number. */
    bool draw_with_probability(double probability) const
    {
        return random_fraction(environment_.random) < probability;
    }

    /** \return a random value by which the checker recognizes an answer. */
    std::string make_seal() const;

    server_environment& environment_;
    server_entry entry_;
    server_faults faults_;
    std::uint32_t running_calls_ = 0;
    std::uint64_t begun_commands_ = 0;
    bool refuses_connections_ = false;

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);

    /** Deletes the server's entry after its TTL unless a newer incarnation uses the id. */
    boost::asio::awaitable<void> expire_entry();
    boost::asio::awaitable<void> stop_after_drain();

    std::unique_ptr<http_server> server_;
    std::string ip_;
    bool alive_ = true;
    bool publishes_entry_ = true;
    time_point silent_until_{};
};

/** A stand-in for a server of orders, which answers calls without streaming. */
class order_server : public backend_server {
  public:
    using backend_server::backend_server;

  protected:
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;
};

} // namespace chervildyke::soak
