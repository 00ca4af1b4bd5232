/** \file
 * Defines the answers of the engine stand-in: each token follows from the prompt and its place, so
 * that a reader can judge any answer token by token.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervildyke::standin {

/** The part of a prompt that its answer depends on: what stands in the last [[ ]], or all of it
 * without spaces around.
 */
std::string answer_subject(std::string_view prompt);

/** The token at a place, counted from zero, with the space that follows it. */
std::string answer_token(std::string_view subject, std::uint32_t place);

/** How many tokens the whole answer has; a subject that holds n=NUMBER states it. */
std::uint32_t answer_length(std::string_view subject);

} // namespace chervildyke::standin
