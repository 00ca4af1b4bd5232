/** \file
 * Implements the answers of the simulated engines.
 */
#include "standin/answer_token.h"

#include <charconv>

#include "base/hash.h"

namespace chervildyke::standin {

namespace {
constexpr std::uint32_t min_answer_tokens = 8;
constexpr std::uint32_t answer_length_range = 57;
constexpr std::uint64_t length_seed = 0x6c656e; // "len" in ASCII.
constexpr int token_digits = 5;
constexpr std::string_view whitespace = " \t\r\n";
} // namespace

std::string answer_subject(std::string_view prompt)
{
    const std::size_t open = prompt.rfind("[[");
    if (open != std::string_view::npos) {
        const std::size_t close = prompt.find("]]", open);
        if (close != std::string_view::npos) {
            return std::string(prompt.substr(open + 2, close - open - 2));
        }
    }
    const std::size_t first = prompt.find_first_not_of(whitespace);
    if (first == std::string_view::npos) {
        return "";
    }
    return std::string(prompt.substr(first, prompt.find_last_not_of(whitespace) - first + 1));
}

std::string answer_token(std::string_view subject, std::uint32_t index)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = placement_hash(subject, index + 1);
    std::string token = "w";
    for (int i = 0; i < token_digits; ++i) {
        token += digits[hash & 15U];
        hash >>= 4U;
    }
    return token + " ";
}

std::uint32_t answer_length(std::string_view subject)
{
    const std::size_t length_option = subject.find("n=");
    std::uint32_t length = 0;
    if (length_option != std::string_view::npos) {
        std::from_chars(subject.data() + length_option + 2, subject.data() + subject.size(),
                        length);
    }
    if (length > 0) {
        return length;
    }
    return min_answer_tokens +
           static_cast<std::uint32_t>(placement_hash(subject, length_seed) % answer_length_range);
}

} // namespace chervildyke::standin
