/** \file
 * Defines the check of a JSON document against a message of the schema and its field rules.
 */
#pragma once

#include <string>
#include <vector>

#include <google/protobuf/descriptor.h>

#include "base/json_lines.h"
#include "base/settings.h"

namespace chervildyke {

/** Checks keys, types, required fields and bounds; everything that is wrong is listed.
 * \param located the document.
 * \param type the message that the document should hold.
 * \param file the name that faults carry.
 */
std::vector<settings_fault> check_against_schema(const located_json& located,
                                                 const google::protobuf::Descriptor& type,
                                                 const std::string& file);

} // namespace chervildyke
