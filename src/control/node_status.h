/** \file
 * Defines the status reply and the metrics of a control node.
 */
#pragma once

#include <string>

#include "control_api.pb.h"
#include "journal/journal_node.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** The inputs of a status. The pointers must not be null. */
struct status_sources {
    std::string vm;
    std::string incarnation;
    const journal_node* journal = nullptr;
    const report_table* reports = nullptr;
    std::uint64_t entry_configuration_version = 0; // In force at the entry on the same VM.
};

/** Builds the reply to a status request.
 * \param with_replicas whether to list all replicas and VM reports, which can be long.
 */
schema::status_reply make_status(const status_sources& sources, bool with_replicas);

/** \return the gauges of the control node in the Prometheus text format. */
std::string format_metrics(const status_sources& sources);

} // namespace chervildyke
