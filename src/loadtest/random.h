// Seeded random numbers. Each purpose has its own stream, so that a changed number of draws for one purpose
// doesn't change the draws for the others. A stream is not thread-safe.
#ifndef SAGETALLY_SRC_LOADTEST_RANDOM_H_
#define SAGETALLY_SRC_LOADTEST_RANDOM_H_

#include <xxhash.h>

#include <cstdint>
#include <pcg_random.hpp>
#include <string_view>

namespace sagetally::loadtest {

using Random = pcg64;  // PCG XSL RR 128/64 (O'Neill, 2014)

// Returns the stream for a purpose. Equal seeds and purposes give equal streams.
inline Random Stream(std::uint64_t seed, std::string_view purpose) {
  const XXH128_hash_t hash = XXH3_128bits_withSeed(purpose.data(), purpose.size(), seed);
  return Random(hash.low64, hash.high64);
}

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_RANDOM_H_
