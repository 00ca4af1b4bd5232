/** \file
 * Defines evacuated_domains, the failure domains that operators have taken out of service.
 */
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** How a change of the log has changed the set of evacuated domains. */
struct evacuation_changes {
    std::vector<std::string> evacuated; // Domains that are evacuated since the change.
    std::vector<std::string> returned;  // Domains whose evacuation it has ended.

    bool empty() const { return evacuated.empty() && returned.empty(); }

    bool operator==(const evacuation_changes&) const = default;
};

/** Keeps the set of evacuated domains from the records of a topic. A domain is evacuated while the
 * log has a record with the key PREFIX + DOMAIN, whatever its value. After the log was restored
 * from an older copy, operators write their records again; until they have had the time, the
 * evacuations that were in force before remain in force as well.
 */
class evacuated_domains {
  public:
    /** \param key_prefix the prefix of the keys of evacuations; no record has it if it is empty.
     * \param rewrite_time how long operators may take to write their records again after the log
     * was restored.
     */
    explicit evacuated_domains(std::string key_prefix, duration rewrite_time = log_rewrite_time);

    /** Applies a full read of the topic: other keys are not in the log. */
    evacuation_changes replace(const keyed_records& newest, time_point now);

    /** Applies further records, in log order. */
    evacuation_changes apply(const keyed_records& records, time_point now);

    /** Ends the evacuations of an earlier era that a restored log still lacks, if a read of the log
     * began after the operators have had the time to write them again.
     * \param confirmed_at the start of the newest read up to whose end the records were applied.
     */
    evacuation_changes end_unwritten(time_point confirmed_at, time_point now);

    bool contains(const std::string& domain) const { return domains_.contains(domain); }
    const std::set<std::string>& domains() const { return domains_; }

    /** \return when the last evacuation of the domain ended at this node; nothing while the domain
     * is evacuated, and if no evacuation of it has ended in the last ten minutes.
     */
    std::optional<time_point> ended_at(const std::string& domain) const;

  private:
    /** \return the domain of an evacuation's key, or nothing. */
    std::optional<std::string> domain_of(const std::string& key) const;
    void begin(const std::string& domain);
    void end(const std::string& domain, time_point now);
    evacuation_changes changes_since(const std::set<std::string>& before) const;

    std::string key_prefix_;
    duration rewrite_time_;
    std::optional<std::uint64_t> era_;        // Of the records; nothing before the first full read.
    std::set<std::string> domains_;           // All that are evacuated.
    std::set<std::string> unwritten_;         // Those of an earlier era that the log lacks.
    time_point rewritten_by_{};               // When operators have had the time to write them.
    std::map<std::string, time_point> ended_; // By domain.
};

} // namespace chervildyke
