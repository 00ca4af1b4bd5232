/** \file
 * Implements the answers of the engine stand-in.
 */
#include "standin/answer_token.h"

#include <charconv>

#include "base/hash.h"

namespace chervildyke::standin {

namespace {
constexpr std::uint32_t shortest_answer = 8;
constexpr std::uint32_t length_spread = 57;
constexpr std::uint64_t length_seed = 0x6c656e;
constexpr std::string_view spaces = " \t\r\n";
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
    const std::size_t first = prompt.find_first_not_of(spaces);
    if (first == std::string_view::npos) {
        return "";
    }
    return std::string(prompt.substr(first, prompt.find_last_not_of(spaces) - first + 1));
}

std::string answer_token(std::string_view subject, std::uint32_t place)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::uint64_t hash = placement_hash(subject, place + 1);
    std::string token = "w";
    for (int i = 0; i < 5; ++i) {
        token += digits[hash & 15U];
        hash >>= 4U;
    }
    return token + " ";
}

std::uint32_t answer_length(std::string_view subject)
{
    const std::size_t stated = subject.find("n=");
    std::uint32_t length = 0;
    if (stated != std::string_view::npos) {
        std::from_chars(subject.data() + stated + 2, subject.data() + subject.size(), length);
    }
    if (length > 0) {
        return length;
    }
    return shortest_answer +
           static_cast<std::uint32_t>(placement_hash(subject, length_seed) % length_spread);
}

} // namespace chervildyke::standin
