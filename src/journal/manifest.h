// The manifest: one JSON file that says which segments a journal has, whose it is and in which epoch.
// Replaced atomically by a rename.
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
  std::uint64_t epoch = 0;  // grows with each process that opens the journal: a fencing token
  // Numbers of its segments, without a gap between.
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  // First sequence number of which nothing is known although its record may have been written, in a restored
  // snapshot. 0: none.
  std::uint64_t unknown_from = 0;
  bool migrating = false;            // a log of format 1 is being taken over and still counts
  std::uint64_t salt = 0;            // SegmentHeader::salt of all its segments
  std::vector<std::string> classes;  // names, by the numbers that messages carry
  Timestamp written;
};

constexpr char kManifestName[] = "MANIFEST";
// The next manifest, until it is renamed into place.
constexpr char kNextManifestName[] = "MANIFEST.new";

std::string EncodeManifest(const Manifest& manifest);
// None if it can't be read. Throws UnsupportedFormatError, without a path.
std::optional<Manifest> DecodeManifest(const std::string& text);

struct ManifestFile {
  std::optional<Manifest> manifest;  // none, too, if the file's content is malformed
  int error = 0;                     // an errno number; ENOENT if there is no file
};
// Throws UnsupportedFormatError, without a path.
ManifestFile ReadManifestFile(FileSystem& files, const std::string& folder);
// Replaces the manifest; with `sync` a loss of power leaves the old or the new one. Gives an errno number.
int WriteManifest(FileSystem& files, const std::string& folder, const Manifest& manifest, bool sync);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_MANIFEST_H_
