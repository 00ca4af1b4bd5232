/** \file
 * Defines the reading of recorded traces: one JSON object a line, with comment lines.
 */
#pragma once

#include <fstream>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <google/protobuf/message.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

namespace chervildyke::test {

/** \return the trace's lines; the test fails on one that can't be read. */
inline std::vector<nlohmann::json> read_trace_file(const std::string& file)
{
    std::ifstream stream(file);
    REQUIRE(stream);
    std::vector<nlohmann::json> lines;
    for (std::string line; std::getline(stream, line);) {
        if (!line.starts_with("//")) {
            lines.push_back(nlohmann::json::parse(line));
        }
    }
    return lines;
}

/** Reads a message from a line's part; unknown fields fail the test. */
inline void read_message(const nlohmann::json& part, google::protobuf::Message& into)
{
    const auto status = google::protobuf::util::JsonStringToMessage(part.dump(), &into);
    REQUIRE_MESSAGE(status.ok(), part.dump());
}

} // namespace chervildyke::test
