// Which segments a journal has, whose it is and in which epoch. One JSON file that a rename switches.
#ifndef SAGETALLY_SRC_JOURNAL_MANIFEST_H_
#define SAGETALLY_SRC_JOURNAL_MANIFEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "journal/file_system/file_system.h"
#include "time/clock.h"

namespace sagetally {

struct Manifest {
  std::string node;
  std::uint64_t epoch = 0;               // grows with each process that opens the journal: a fencing token
  std::uint64_t oldest = 0, newest = 0;  // numbers of its segments, without a break between
  // Sequence number from which on nothing is known although it may have been done: of a restored snapshot. 0:
  // none.
  std::uint64_t unknown_from = 0;
  bool migrating = false;  // a log of format 1 is being taken over: until it is whole, that one counts
  std::uint64_t salt = 0;  // SegmentHeader::salt of all its segments
  std::vector<std::string> classes;  // names, by the numbers that messages carry
  Timestamp written;
};

constexpr char kManifestName[] = "MANIFEST";

std::string EncodeManifest(const Manifest& manifest);
// None: it can't be read. Throws std::runtime_error naming a newer format.
std::optional<Manifest> DecodeManifest(const std::string& text);
// None, too, if there is no file; `error` then is ENOENT.
std::optional<Manifest> ReadManifestFile(FileSystem& files, const std::string& folder, int& error);
// Writes it beside and renames it into place; `synced`: so that a loss of power leaves the old or the new
// one.
int WriteManifest(FileSystem& files, const std::string& folder, const Manifest& manifest, bool synced);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_MANIFEST_H_
