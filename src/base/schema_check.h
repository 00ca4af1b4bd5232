/** \file
 * Defines check_against_schema, which checks a JSON document against a message of the schema.
 */
#pragma once

#include <string>
#include <vector>

#include <google/protobuf/descriptor.h>

#include "base/located_json.h"
#include "base/settings.h"

namespace chervildyke {

/** Checks keys, types, required fields and bounds.
 * \param located the document.
 * \param type the message that the document should contain, with the rules of its fields.
 * \param file the file name to put into the faults.
 * \return all faults found; empty if the document matches the message.
 */
std::vector<settings_fault> check_against_schema(const located_json& located,
                                                 const google::protobuf::Descriptor& type,
                                                 const std::string& file);

} // namespace chervildyke
