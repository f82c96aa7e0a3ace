// Journals as a whole: read beside the process that writes one, copied as it stood at a moment, put back.
#ifndef SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
#define SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/replay.h"

namespace sagetally {

// As Replay, but begun anew while a process drops segments under it.
ReplayReport ReplayLive(FileSystem& files, const std::string& folder, MessageTable& ledger);

struct SnapshotResult {
  std::uint64_t segments = 0, bytes = 0;
  Manifest manifest;
};

// Copies the journal in `from` to the folder `to`, which must not hold one. A process may write to it
// meanwhile: its segments only grow, and one that is dropped is read on through its open file. Throws
// std::runtime_error.
SnapshotResult WriteSnapshot(FileSystem& files, const std::string& from, const std::string& to);

struct RestoreOptions {
  bool replace = false;  // the journal that is there goes
  bool exact = false;    // nothing has happened since the snapshot: its node was stopped before it was taken
  bool allow_damaged = false;  // although the snapshot is
};
// Makes the snapshot the journal in `to`, under an epoch above both. Until the manifest is switched the one
// that was there counts. Throws std::runtime_error naming what is in the way.
SnapshotResult RestoreSnapshot(FileSystem& files, const std::string& from, const std::string& to,
                               const RestoreOptions& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
