/** \file
 * Tests that nodes report demand by priority only where priorities differ, and that invalid numbers
 * of another node do not change the sum.
 */
#include <limits>

#include <doctest/doctest.h>

#include "relay/demand_report.h"

using namespace chervildyke;

TEST_CASE("demand by priority is reported where priorities differ, and summed over nodes")
{
    backend_service service;
    service.name = "pool";
    service.engine.emplace();
    service.engine->models.resize(1);
    service.engine->models[0].name = "small";
    call_route route;
    route.streaming = true;
    route.services = {{"pool", 1}};
    published_configuration::builder mixed;
    mixed.service(service).route(route);
    const auto same = published_configuration::builder().service(service).route(route).build();
    route.priority = 1;
    const auto different = mixed.route(route).build();

    demand_meter meter;
    const time_point now{100s};
    meter.note("small", 30ms, now, 1);
    known_node node;
    report_demand(meter, same, now, node.state);
    CHECK(node.state.demands(0).work_by_priority_size() == 0);
    node.state.clear_demands();
    report_demand(meter, different, now, node.state);
    REQUIRE(node.state.demands(0).work_by_priority_size() == 1);
    auto& reported = *node.state.mutable_demands(0)->mutable_work_by_priority(0);
    const demand_rate own = meter.rates_by_priority(now).at("small").at(1);
    CHECK(total_demand_by_priority(meter, {&node}, now).at("small").at(1).work_ms_per_s ==
          doctest::Approx(2 * own.work_ms_per_s));
    for (const double invalid : {-1.0, std::numeric_limits<double>::quiet_NaN(),
                                 std::numeric_limits<double>::infinity()}) {
        reported.set_work_ms_per_s(invalid);
        CHECK(total_demand_by_priority(meter, {&node}, now).at("small").at(1) == own);
    }
}
