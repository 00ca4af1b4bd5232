/** \file
 * Defines the answer to callers who ask which entries to use.
 */
#pragma once

#include <string>

#include "base/clock.h"
#include "base/random.h"
#include "control_api.pb.h"

namespace chervildyke {

/** Picks entries for one caller: none that drains, the less loaded ones first among random pairs,
 * and neighbours in the list from different failure domains where there are some.
 * \param view what is known of the others; may be null.
 * \param own this entry, as it is now.
 * \param validity how long the caller may keep the answer.
 * \return the JSON body of GET /v1/entries.
 */
std::string entries_document(const schema::routing_view* view, const schema::entry_load& own,
                             duration validity, const random_source& random);

} // namespace chervildyke
