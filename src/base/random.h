/** \file
 * Defines random_source, the hook for random numbers, and functions that draw from it.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <string>

namespace chervildyke {

/** Returns the next 64 random bits. */
using random_source = std::function<std::uint64_t()>;

/** \return a source that gives the same numbers for the same seed. */
random_source seeded_random(std::uint64_t seed);

/** \return a source with a random seed from the operating system. Not for secrets: the numbers can
 * be predicted from earlier ones.
 */
random_source system_random();

/** \return a random number below the limit, which must be above zero. */
std::uint64_t random_below(const random_source& random, std::uint64_t limit);

/** \return a random number from 0 up to, but not including, 1. */
double random_fraction(const random_source& random);

/** \return 128 random bits in hexadecimal. */
std::string random_id(const random_source& random);

} // namespace chervildyke
