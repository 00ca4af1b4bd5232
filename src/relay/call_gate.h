/** \file
 * Defines call_gate, where calls to models wait for a replica with room, and where those that can't
 * be answered in time are refused at once.
 */
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "routing/fair_queue.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

struct gate_request {
    replica_request wanted;
    std::string team;
    std::uint32_t urgency = 0; // A higher one goes first.
    time_point wait_until{};   // Refused then.
    double fill_limit = 1;     // Of a replica's places that may be taken before it.
    bool goes_on = false;      // It was at a replica before and is not refused before its time.
};

enum class gate_verdict { admitted, no_replica, too_many_waiting, waited_too_long };

/** \return the verdict as logs show it. */
const char* to_text(gate_verdict verdict);

struct gate_answer {
    gate_verdict verdict = gate_verdict::no_replica;
    std::optional<selected_replica> offer;
    std::unique_ptr<replica_balancer::call> use; // Holds the place at the replica.
    std::optional<time_point> paused_until;      // All replicas want no calls until then.
    std::string seen; // What the board said of the model's replicas, for the log.
};

struct gate_settings {
    std::uint32_t max_waiting = 200; // Calls of one model; a second of a node's calls at the peak.
    duration rate_window = 2s;       // Over which the rate of admissions is averaged.
};

class call_gate {
  public:
    call_gate(boost::asio::any_io_executor executor, replica_balancer& board,
              gate_settings settings = {});

    /** Waits for a replica with room. */
    boost::asio::awaitable<gate_answer> enter(gate_request request);

    /** \return a place for a call that leaves its replica, or nothing when there is none now. */
    std::optional<gate_answer> enter_now(const gate_request& request);

    /** Gives room to waiting calls; to be called whenever a call ends, replicas change or peers'
     * counts come.
     */
    void pump();

    std::size_t waiting() const;

  private:
    struct waiter;
    struct lane { // The calls of one model.
        fair_queue order;
        std::map<std::uint64_t, std::shared_ptr<waiter>> waiters;
        double admissions_per_s = 0;
        time_point rate_at{};
    };

    std::optional<gate_answer> try_admit(const gate_request& request);
    bool too_late(const lane& queue, const gate_request& request, time_point now) const;
    void note_admission(lane& queue, time_point now);

    boost::asio::any_io_executor executor_;
    replica_balancer& board_;
    gate_settings settings_;
    std::map<std::string, lane> lanes_; // By service and model.
    std::uint64_t next_id_ = 0;
    bool pumping_ = false;
};

} // namespace chervildyke
