/** \file
 * Defines replica_order, what a VM is told to do for a replica, and how it answered.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "fleet/backend.h"

namespace chervildyke {

enum class order_kind {
    join,            // Become a member.
    open,            // To the head: take calls.
    close_when_idle, // To the head: take no more calls, end those that run.
    close_now,       // To the head: break off its calls.
    leave,           // Be a member no more.
    stage,           // Load a model into the host's memory.
};

struct replica_order {
    order_kind kind = order_kind::join;
    std::string replica;
    std::uint64_t epoch = 0;
    std::string model;
    std::vector<std::string> members; // The head first.

    bool operator==(const replica_order&) const = default;
};

enum class order_outcome {
    begun,      // The VM obeys, or already did.
    refused,    // It does not fit the VM's state; nothing was done.
    unclear,    // No answer; it may be obeyed now or many seconds later.
    no_contact, // The VM can't be reached; nothing was done.
    other_vm,   // Another VM has the address: the one meant has ended.
};

/** Whether a VM answers at all. */
enum class probe_outcome { answered, silent, refused };

/** The calls on model engines. */
struct engine_calls {
    std::function<boost::asio::awaitable<order_outcome>(backend vm, replica_order order)> send;
    std::function<boost::asio::awaitable<probe_outcome>(backend vm)> probe;
};

/** \return the order's kind as logs show it. */
const char* to_text(order_kind kind);
const char* to_text(order_outcome outcome);

} // namespace chervildyke
