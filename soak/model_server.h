/** \file
 * Defines model_server, the stand-in for a VM that runs a model with others.
 */
#pragma once

#include <set>

#include "soak/backend_server.h"

namespace chervildyke::soak {

class model_server : public backend_server {
  public:
    using backend_server::backend_server;

    void crash() override;

    /** True when the VM is in the replica and its engine runs. */
    bool holds(const std::string& replica, std::uint64_t epoch) const;

    /** True while it heads the replica and takes calls or ends some. */
    bool heads_open(const std::string& replica, std::uint64_t epoch) const;

  protected:
    bool has_work() const override;
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;
    boost::asio::awaitable<void> take_order(http_exchange& exchange) override;

  private:
    unsigned carry_out(const engine_order& order);
    unsigned join(const engine_order& order);
    void leave_replica();
    boost::asio::awaitable<void> become_ready(std::uint64_t change, duration span, bool loads);
    boost::asio::awaitable<void> become_open(std::uint64_t change);
    boost::asio::awaitable<void> finish_closing(std::uint64_t change);
    boost::asio::awaitable<void> stage(std::string model);
    boost::asio::awaitable<void> write_events(http_exchange& exchange, std::string call_id,
                                              std::uint64_t from, std::uint64_t to);

    /** Waits out the time of one step, or longer while a member is lost.
     * \return false when the replica broke or this life ended.
     */
    boost::asio::awaitable<bool> step(duration span);
    bool whole() const;
    void enter(member_state state);
    bool is_staged(const std::string& model) const;
    void note_load();

    std::vector<std::string> members_; // The head first.
    std::string model_;
    std::string last_model_;
    std::uint64_t highest_epoch_ = 0;
    std::uint64_t changes_ = 0; // Of its membership; tells a late task that it came too late.
    bool aborts_ = false;
};

} // namespace chervildyke::soak
