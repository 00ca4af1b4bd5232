/** \file
 * Defines model_server, the stand-in for the model engine of a VM, which serves as a member of
 * replicas.
 */
#pragma once

#include <set>

#include "soak/backend_server.h"

namespace chervildyke::soak {

/** Executes the commands of nodes to join, open, close and leave replicas, and streams answers as
 * the head of a replica.
 */
class model_server : public backend_server {
  public:
    using backend_server::backend_server;

    void crash() override;

    /** \return true if the server is alive and a member of the replica. */
    bool is_member(const std::string& replica, std::uint64_t epoch) const;

    /** \return true if the server is the replica's head and open or closing. */
    bool is_open_head(const std::string& replica, std::uint64_t epoch) const;

  protected:
    bool has_running_calls() const override;
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;
    boost::asio::awaitable<void> serve_command(http_exchange& exchange) override;

  private:
    /** \return the HTTP status that answers the command. */
    unsigned execute(const engine_command& command);
    unsigned begin(const engine_command& command);
    unsigned join_replica(const engine_command& command);
    void leave_replica();

    /** These tasks complete a command after some time, unless the membership has changed since.
     * \param membership_version the version when the command was executed.
     */
    boost::asio::awaitable<void> finish_join(std::uint64_t membership_version, duration join_time,
                                             bool loads_weights);
    boost::asio::awaitable<void> finish_open(std::uint64_t membership_version);
    boost::asio::awaitable<void> finish_close(std::uint64_t membership_version);

    /** Loads a model into the memory of the host. */
    boost::asio::awaitable<void> stage_model(std::string model);

    /** Streams the events behind after_event up to last_event. Ends the connection early, within an
     * event, if a fault truncates the stream, and aborts it if the replica breaks.
     * \param ends_with_connection whether the stream has no chunks.
     */
    boost::asio::awaitable<void> write_events(http_exchange& exchange, std::string call_id,
                                              std::uint64_t after_event, std::uint64_t last_event,
                                              bool ends_with_connection);

    /** Crashes because of the prompt of a call, before or after its first event. */
    boost::asio::awaitable<void> crash_by_prompt(http_exchange& exchange, std::string call_id);

    /** Waits for the time of one step, and longer while a member is lost.
     * \return false if the call must end: the replica broke or was closed with its calls aborted,
     * the membership changed, or the server ended.
     */
    boost::asio::awaitable<bool> run_step(duration step_time);
    bool all_members_present() const;
    bool any_member_silent() const;

    /** \return the model server that has this id and has not ended, or null. */
    std::shared_ptr<model_server> find_server(const std::string& id) const;
    void set_phase(membership_phase phase);
    bool is_staged(const std::string& model) const;

    /** Records a load from the weight store, except before the first call. */
    void record_load();

    std::vector<std::string> members_; // The head first.
    std::string model_;                // Of the last replica joined.
    std::string last_model_;           // Of the last replica in which this VM became ready.
    std::uint64_t highest_epoch_ = 0;
    std::uint64_t membership_version_ = 0; // Changes with each join or leave; ends older tasks.
    bool aborts_calls_ = false;
};

} // namespace chervildyke::soak
