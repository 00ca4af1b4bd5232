/** \file
 * Defines the answers of the simulated engines. Each token is computed from the prompt and the
 * token's index, so that a reader can verify any answer token by token.
 */
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chervildyke::standin {

/** \return the part of a prompt that determines its answer: the text inside the last [[ ]], or else
 * the whole prompt without surrounding whitespace.
 */
std::string answer_subject(std::string_view prompt);

/** \return a token of the answer, with the space that follows it.
 * \param index the token's index in the answer, from zero.
 */
std::string answer_token(std::string_view subject, std::uint32_t index);

/** \return the number of tokens in the whole answer. A subject that contains n=NUMBER sets it;
 * otherwise it is computed from the subject.
 */
std::uint32_t answer_length(std::string_view subject);

} // namespace chervildyke::standin
