/** \file
 * Implements the random sources with the generators of the standard library.
 */
#include "base/random.h"

#include <cstdio>
#include <memory>
#include <random>

namespace chervildyke {

random_source seeded_random(std::uint64_t seed)
{
    return [engine = std::make_shared<std::mt19937_64>(seed)] { return (*engine)(); };
}

random_source system_random()
{
    std::random_device device;
    const std::uint64_t high = device();
    return seeded_random((high << 32U) | device());
}

std::uint64_t random_below(const random_source& random, std::uint64_t limit)
{
    return random() % limit;
}

double random_fraction(const random_source& random)
{
    // A double represents integers of 53 bits exactly, so only the upper 53 bits are used.
    constexpr unsigned unused_bits = 11;
    constexpr double two_to_53 = 9007199254740992.0;
    return static_cast<double>(random() >> unused_bits) / two_to_53;
}

std::string random_id(const random_source& random)
{
    char text[33]; // 32 digits and the terminating null.
    std::snprintf(text, sizeof text, "%016llx%016llx", static_cast<unsigned long long>(random()),
                  static_cast<unsigned long long>(random()));
    return text;
}

} // namespace chervildyke
