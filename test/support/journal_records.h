/** \file
 * Defines functions that build configurations and journal records for tests.
 */
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "journal.pb.h"

namespace chervildyke {

/** \return a valid configuration with one template, one model and the given teams.
 * \param replicas the number of replicas of each team.
 */
schema::fleet_configuration small_configuration(const std::vector<std::string>& teams,
                                                std::uint32_t replicas,
                                                std::uint32_t vms_per_replica);

schema::journal_record configuration_record(const std::string& id, std::uint64_t base,
                                            const schema::fleet_configuration& configuration);
schema::journal_record formation_record(const std::string& id, const std::string& team,
                                        std::uint64_t version, const std::vector<std::string>& vms);
schema::journal_record serving_record(const std::string& id, std::uint64_t replica);
schema::journal_record retirement_record(const std::string& id, std::uint64_t replica);
schema::journal_record release_record(const std::string& id, std::uint64_t replica,
                                      const std::string& vm);

} // namespace chervildyke
