// Seeded random numbers, in a stream for each purpose, so that a change of the draws for one leaves the
// others as they are.
#ifndef SAGETALLY_SRC_LOADTEST_RANDOM_H_
#define SAGETALLY_SRC_LOADTEST_RANDOM_H_

#include <xxhash.h>

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace sagetally::loadtest {

using Random = pcg64;  // PCG XSL RR 128/64 (O'Neill, 2014)

// Equal seeds and purposes give equal streams.
inline Random Stream(std::uint64_t seed, std::string_view purpose) {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(purpose.data(), purpose.size(), seed);
  return Random(hash.low64, hash.high64);
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_RANDOM_H_
