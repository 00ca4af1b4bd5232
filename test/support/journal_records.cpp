/** \file
 * Implements the functions that build configurations and journal records for tests.
 */
#include "support/journal_records.h"

namespace chervildyke {

namespace {

schema::journal_record record_with(const std::string& id)
{
    schema::journal_record record;
    record.set_id(id);
    record.set_writer("test");
    record.set_format(1);
    return record;
}

} // namespace

schema::fleet_configuration small_configuration(const std::vector<std::string>& teams,
                                                std::uint32_t replicas,
                                                std::uint32_t vms_per_replica)
{
    schema::fleet_configuration made;
    made.set_deployment("test");
    made.mutable_weights()->set_group_downtime(2);
    made.mutable_weights()->set_stranded_accelerator(1);
    made.add_backend_pools("model-pool");
    made.add_models()->set_name("plinthe-70b");
    schema::team_template* base = made.add_templates();
    base->set_name("large");
    base->mutable_parameters()->set_model("plinthe-70b");
    base->mutable_parameters()->set_replicas(replicas);
    base->mutable_parameters()->set_vms_per_replica(vms_per_replica);
    for (const std::string& name : teams) {
        schema::team* team = made.add_teams();
        team->set_name(name);
        team->set_template_("large");
    }
    return made;
}

schema::journal_record configuration_record(const std::string& id, std::uint64_t base,
                                            const schema::fleet_configuration& configuration)
{
    schema::journal_record record = record_with(id);
    record.mutable_configuration()->set_base_version(base);
    *record.mutable_configuration()->mutable_configuration() = configuration;
    record.mutable_configuration()->set_author(id);
    return record;
}

schema::journal_record formation_record(const std::string& id, const std::string& team,
                                        std::uint64_t version, const std::vector<std::string>& vms)
{
    schema::journal_record record = record_with(id);
    record.mutable_formation()->set_team(team);
    record.mutable_formation()->set_configuration_version(version);
    record.mutable_formation()->set_model("plinthe-70b");
    for (const std::string& vm : vms) {
        record.mutable_formation()->add_vms(vm);
    }
    return record;
}

schema::journal_record serving_record(const std::string& id, std::uint64_t replica)
{
    schema::journal_record record = record_with(id);
    record.mutable_serving()->set_replica_id(replica);
    return record;
}

schema::journal_record retirement_record(const std::string& id, std::uint64_t replica)
{
    schema::journal_record record = record_with(id);
    record.mutable_retirement()->set_replica_id(replica);
    return record;
}

schema::journal_record release_record(const std::string& id, std::uint64_t replica,
                                      const std::string& vm)
{
    schema::journal_record record = record_with(id);
    record.mutable_release()->set_replica_id(replica);
    record.mutable_release()->set_vm(vm);
    record.mutable_release()->set_evidence(schema::engine_confirmed);
    return record;
}

} // namespace chervildyke
