/** \file
 * Defines the check of a whole fleet configuration, as operators and every reader of the journal
 * make it.
 */
#pragma once

#include <string>
#include <vector>

#include "configuration.pb.h"

namespace chervildyke {

/** One thing that is wrong with a configuration. */
struct configuration_fault {
    std::string path;   // Such as /teams/2/template.
    std::string reason; // What is wrong and what is expected.

    /** \return path: reason */
    std::string to_string() const { return path + ": " + reason; }
    bool operator==(const configuration_fault&) const = default;
};

/** Finds every fault of a configuration. The journal's rule uses this check: a change of it is a
 * change of the journal's format.
 * \return all faults in the order of the document; empty when the configuration is valid.
 */
std::vector<configuration_fault> validate(const schema::fleet_configuration& configuration);

/** \return the faults as one text, separated by "; ". */
std::string join_faults(const std::vector<configuration_fault>& faults);

} // namespace chervildyke
