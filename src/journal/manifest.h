// The manifest of a journal: one JSON file that names the journal's segments, the node that owns it and its
// epoch. It is replaced atomically by a rename. The functions read and write the file; they are called by the
// journal, by its replay and by snapshots.
#ifndef SAGETALLY_SRC_JOURNAL_MANIFEST_H_
#define SAGETALLY_SRC_JOURNAL_MANIFEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "journal/file_system/file_system.h"
#include "time/clock.h"

namespace sagetally {

// The content of the manifest.
struct Manifest {
  std::string node;  // name of the node that owns the journal
  // Increased by each process that opens the journal. A process that finds a later epoch than its own in the
  // file stops writing, so the epoch serves as a fencing token.
  std::uint64_t epoch = 0;
  // Numbers of the oldest and the newest segment. The journal consists of these and all segments between
  // them.
  std::uint64_t oldest = 0;
  std::uint64_t newest = 0;
  // Set in a restored snapshot: the node may have written records from this sequence number on after the
  // snapshot was made, and these are not known. 0 if there are no such records.
  std::uint64_t unknown_from = 0;
  bool migrating = false;  // a log of format 1 is being migrated; until it is done, the log is valid
  std::uint64_t salt = 0;  // SegmentHeader::salt of all segments
  std::vector<std::string> classes;  // names of the classes, indexed by the class numbers in the messages
  Timestamp written;                 // when the present newest segment was begun
};

constexpr char kManifestName[] = "MANIFEST";
// Name of the next manifest until it is renamed and replaces the present one.
constexpr char kNextManifestName[] = "MANIFEST.new";

// Returns the content of the manifest file, with a checksum and a final newline.
std::string EncodeManifest(const Manifest& manifest);
// Reads what EncodeManifest wrote. Returns nothing if the text is malformed or its checksum is wrong. Throws
// UnsupportedFormatError with an empty path.
std::optional<Manifest> DecodeManifest(const std::string& text);

// The result of ReadManifestFile.
struct ManifestFile {
  std::optional<Manifest> manifest;  // empty after an error, or if the content of the file is malformed
  int error = 0;                     // an errno value; ENOENT if there is no file
};
// Reads the manifest in `folder`. Throws UnsupportedFormatError with an empty path.
ManifestFile ReadManifestFile(FileSystem& files, const std::string& folder);
// Replaces the manifest in `folder`. With `sync`, the file and the folder are synced, so that after a loss of
// power the folder contains either the old or the new manifest. Returns an errno value.
int WriteManifest(FileSystem& files, const std::string& folder, const Manifest& manifest, bool sync);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_MANIFEST_H_
