/** \file
 * Defines backend_server, what all stand-ins for backend servers share: a listing in the store, a
 * life that ends by a crash, and answers that go wrong.
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
#include "soak/promises.h"
#include "soak/store.h"
#include "soak/wire.h"

namespace chervildyke::soak {

/** How the answers of a server go wrong. */
struct server_faults {
    double fails = 0;         // The share of calls that run and get a failure.
    double loses_answers = 0; // The share of calls that run and whose answer never comes.
    double breaks_off = 0;    // The share of answers that are cut off.
    duration order_delay{};   // Orders are carried out so late, and not answered.
    double slowness = 1;      // A factor on all times.
};

class model_server;

/** What the servers of a soak share. */
struct server_surroundings {
    boost::asio::any_io_executor executor;
    metadata_store& store;
    promise_book& book;
    random_source random;
    std::map<std::string, std::weak_ptr<model_server>> models_by_id; // The servers that live.
    std::map<std::string, std::uint64_t> newest_lives; // Of each id, by the time of its start.
    std::map<std::string, deployed_model> models;
    bool calls_began = false;
};

/** One life of a backend server. */
class backend_server : public std::enable_shared_from_this<backend_server> {
  public:
    backend_server(server_surroundings& around, server_entry entry)
        : around_(around), entry_(std::move(entry))
    {
    }
    virtual ~backend_server() = default;
    backend_server(const backend_server&) = delete;
    backend_server& operator=(const backend_server&) = delete;

    /** Listens and lists itself.
     * \param ip where to listen; the port is taken from those that are free.
     * \return false with the address in use.
     */
    bool start(const std::string& ip);
    std::string listening_address() const;

    /** Ends this life at once; its entry lapses later. */
    virtual void crash();

    /** Reports that it is leaving; it serves on for a while and ends then. */
    void leave();

    /** From now on the store does not hear of it. */
    void cut_from_store();

    bool lives() const { return lives_; }
    bool leaving() const { return entry_.leaving; }
    const server_entry& entry() const { return entry_; }
    server_faults& faults() { return faults_; }

  protected:
    virtual boost::asio::awaitable<void> serve_call(http_exchange& exchange) = 0;
    virtual boost::asio::awaitable<void> take_order(http_exchange& exchange);

    /** True while it may not end, though it has reported that it leaves. */
    virtual bool has_work() const { return running_ > 0; }

    /** Brings the store's entry up to date. */
    void publish();

    boost::asio::awaitable<void> refuse(http_exchange& exchange, unsigned status);

    /** Notes the arrival of a call that is refused. */
    void note_refused(const http_request& request);
    bool happens(double share) const { return random_fraction(around_.random) < share; }
    std::string make_seal() const;

    server_surroundings& around_;
    server_entry entry_;
    server_faults faults_;
    std::uint32_t running_ = 0;

  private:
    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> lapse();
    boost::asio::awaitable<void> end_after_drain();

    std::unique_ptr<http_server> server_;
    std::string ip_;
    bool lives_ = true;
    bool listed_ = true;
};

/** A server of orders: runs each call once and answers it whole. */
class order_server : public backend_server {
  public:
    using backend_server::backend_server;

  protected:
    boost::asio::awaitable<void> serve_call(http_exchange& exchange) override;
};

} // namespace chervildyke::soak
