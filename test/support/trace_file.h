/** \file
 * Defines functions that read recorded traces: one JSON object per line, and comment lines that
 * start with //.
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

/** \return the objects of the trace; the test fails on a line that can't be parsed. */
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

/** Parses a message from a part of a line; the test fails on unknown fields. */
inline void read_message(const nlohmann::json& part, google::protobuf::Message& into)
{
    const auto status = google::protobuf::util::JsonStringToMessage(part.dump(), &into);
    REQUIRE_MESSAGE(status.ok(), part.dump());
}

} // namespace chervildyke::test
