/** \file
 * Defines how a control describes itself to operators and to its metrics page.
 */
#pragma once

#include <string>

#include "control_api.pb.h"
#include "journal/journal_node.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** What a status is made of. */
struct status_sources {
    std::string vm;
    std::string incarnation;
    const journal_node* journal = nullptr;
    const report_table* table = nullptr;
    std::uint64_t entry_configuration_version = 0;
};

/** \param with_replicas also lists replicas and reports, which is long. */
schema::status_reply make_status(const status_sources& sources, bool with_replicas);

/** \return the control's gauges as Prometheus text. */
std::string make_metrics(const status_sources& sources);

} // namespace chervildyke
