/** \file
 * Tests that predictions follow what replicas show. The load answered: a full batch whose first
 * events take twice as long as predicted, so that calls wait for a place until they are late.
 */
#include <doctest/doctest.h>

#include "routing/prediction_error.h"
#include "routing/replica_board.h"

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

TEST_CASE("a few calls at lost replicas do not move a prediction")
{
    prediction_error error;
    for (int i = 0; i < 200; ++i) {
        error.note(error.correct(100ms), i % 5 == 0 ? 6s : i % 2 == 0 ? 98ms : 102ms);
    }
    CHECK(error.correct(100ms) < 120ms);
}

TEST_CASE("an overload does not let predictions grow without end")
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

TEST_CASE("a board corrects its offers by model")
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
    replica_board board(seeded_random(1));
    board.set_profile("pool", engine);
    serving_replica replica;
    replica.epoch = 1;
    replica.service = "pool";
    replica.model = "a";
    board.set_serving({replica});
    replica_request request;
    request.service = "pool";
    request.model = "a";
    const auto before = board.choose(request, 1, time_point(1s)).offer->first_event;
    for (int i = 0; i < 100; ++i) {
        const auto offer = *board.choose(request, 1, time_point(1s)).offer;
        board.note_first_event(offer, before * 2);
    }
    const auto after = board.choose(request, 1, time_point(1s)).offer->first_event;
    CHECK(after > before * 1.8);
    CHECK(board.first_event_of_full_batch(request) > after);
    request.model = "b";
    CHECK(board.first_event_of_full_batch(request) < after);
}
