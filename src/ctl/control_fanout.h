/** \file
 * Defines how chervilctl asks the controls for their state.
 */
#pragma once

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "control_api.pb.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** The answer of one control, or why there is none. */
struct control_answer {
    std::string address;
    std::optional<schema::status_reply> status;
    std::string last_reason;
};

/** Asks every control of the settings at the same time.
 * \return an answer for each, in the given order.
 */
boost::asio::awaitable<std::vector<control_answer>> ask_all(boost::asio::any_io_executor executor,
                                                            std::vector<std::string> addresses,
                                                            bool with_replicas);

/** How far a configuration version has come. */
struct in_force_count {
    std::size_t controls = 0; // Controls that judge by it.
    std::size_t entries = 0;  // Entries that route by it.
    std::size_t answered = 0; // Controls that answered at all.
    std::size_t asked = 0;

    /** True when everyone who answered has it, and somebody did. */
    bool everywhere() const { return answered > 0 && entries == answered && controls == answered; }

    bool operator==(const in_force_count&) const = default;
};

/** Counts the controls and entries that have a version, or a newer one, in force. */
in_force_count count_in_force(const std::vector<control_answer>& answers, std::uint64_t version);

} // namespace chervildyke
