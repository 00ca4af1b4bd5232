/** \file
 * Defines the list of entries that callers can use.
 */
#pragma once

#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "control_api.pb.h"

namespace chervildyke {

/** Lists entries for one caller. Draining entries are left out. The order spreads load: each next
 * entry is the better of two random ones, where one in another failure domain than the entry before
 * it is better, then the one with fewer calls in flight.
 * \param view lists the other entries; may be null.
 * \param own the current load of this entry.
 * \param validity how long the caller may use the list.
 * \return the JSON body of the reply to GET /v1/entries.
 */
std::string entry_list_json(const schema::routing_view* view, const schema::entry_load& own,
                            duration validity, const random_source& random);

} // namespace chervildyke
