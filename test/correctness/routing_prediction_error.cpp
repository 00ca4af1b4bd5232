/** \file
 * Tests that predictions follow observed times. Guards against calls that wait for a slot until
 * they are late, because the first events of a full batch take twice as long as predicted.
 */
#include <doctest/doctest.h>

#include "routing/prediction_error.h"
#include "routing/replica_balancer.h"

using namespace chervildyke;

TEST_CASE("predictions follow the observed median")
{
    prediction_error error;
    for (int i = 0; i < 200; ++i) {
        error.note(error.correct(100ms), 190ms);
    }
    CHECK(error.correct(100ms) > 180ms);
    CHECK(error.correct(100ms) < 200ms);
}

TEST_CASE("a few outliers, as at replicas that lost a member, hardly change a prediction")
{
    prediction_error error;
    for (int i = 0; i < 200; ++i) {
        error.note(error.correct(100ms), i % 5 == 0 ? 6s : i % 2 == 0 ? 98ms : 102ms);
    }
    CHECK(error.correct(100ms) < 120ms);
}

TEST_CASE("predictions are bounded in an overload and recover after it")
{
    prediction_error error;
    for (int i = 0; i < 1000; ++i) {
        error.note(error.correct(100ms), 60s);
    }
    CHECK(error.correct(100ms) <= 300ms);
    for (int i = 0; i < 60; ++i) {
        error.note(error.correct(100ms), 50ms);
    }
    CHECK(error.correct(100ms) < 100ms);
}

TEST_CASE("a balancer corrects its predictions by model")
{
    engine_profile engine;
    engine.batch_slots = 4;
    engine.step_ms = 8;
    engine.step_ms_per_call = 0.1;
    for (const char* name : {"a", "b"}) {
        model_profile model;
        model.name = name;
        engine.models.push_back(model);
    }
    replica_balancer balancer(seeded_random(1));
    balancer.set_profile("pool", engine);
    serving_replica replica;
    replica.epoch = 1;
    replica.service = "pool";
    replica.model = "a";
    balancer.set_serving({replica});
    replica_request request;
    request.service = "pool";
    request.model = "a";
    const auto before = balancer.choose(request, 1, time_point(1s)).selected->first_event;
    for (int i = 0; i < 100; ++i) {
        const auto selected = *balancer.choose(request, 1, time_point(1s)).selected;
        balancer.note_first_event(selected, before * 2);
    }
    const auto after = balancer.choose(request, 1, time_point(1s)).selected->first_event;
    CHECK(after > before * 1.8);
    CHECK(balancer.first_event_of_full_batch(request) > after);
    request.model = "b";
    CHECK(balancer.first_event_of_full_batch(request) < after);
}
