/** \file
 * Defines the validation of a fleet configuration. The operators' tool and every reader of the
 * journal use the same validation.
 */
#pragma once

#include <string>
#include <vector>

#include "configuration.pb.h"

namespace chervildyke {

/** One error in a configuration. */
struct configuration_fault {
    std::string path;   // The path in the document, such as /teams/2/template.
    std::string reason; // What is wrong and what is expected.

    /** \return the text "PATH: REASON". */
    std::string to_string() const { return path + ": " + reason; }
    bool operator==(const configuration_fault&) const = default;
};

/** Finds every error in a configuration. Readers of the journal accept or reject configurations by
 * this function, so a change to it requires a new journal format.
 * \return all errors in the order of the document; empty when the configuration is valid.
 */
std::vector<configuration_fault> validate(const schema::fleet_configuration& configuration);

/** \return the errors as one text, separated by "; ". */
std::string join_faults(const std::vector<configuration_fault>& faults);

} // namespace chervildyke
