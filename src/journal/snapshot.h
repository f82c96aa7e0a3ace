// Operations on whole journals: reading a journal while another process writes to it, writing a snapshot of
// it, and restoring a snapshot. Called by the commands of `sagetally journal`. Has no state of its own.
#ifndef SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
#define SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/replay.h"

namespace sagetally {

// Replays a journal to which another process may be writing. Replays it again if that process dropped
// segments during the replay. Throws like Replay.
ReplayReport ReplayLive(FileSystem& files, const std::string& folder, MessageTable& messages);

// What WriteSnapshot or RestoreSnapshot wrote.
struct SnapshotResult {
  std::uint64_t segments = 0;  // number of segments
  std::uint64_t bytes = 0;     // size of all segments
  Manifest manifest;           // the manifest that was written
};

// Copies the journal in the folder `source` to the folder `destination`, which must not contain a journal. A
// process may write to the source during the copy: its segments only grow, and a segment that it drops can
// still be read through the open file. Throws JournalIoError, JournalMissingError or JournalExistsError.
SnapshotResult WriteSnapshot(FileSystem& files, const std::string& source, const std::string& destination);

struct RestoreOptions {
  bool replace = false;  // replace a journal in the destination
  // The node was stopped before the snapshot was made, so no records are missing. Otherwise all pending
  // messages of the snapshot are marked as uncertain.
  bool exact = false;
  bool allow_damaged = false;  // restore a damaged snapshot, too
};
// Copies the snapshot in the folder `source` to the folder `destination` as its journal, with an epoch above
// those of the snapshot and of a journal in the destination. An existing journal stays valid until its
// manifest is replaced. Throws JournalError: any of the kinds in errors.h.
SnapshotResult RestoreSnapshot(FileSystem& files, const std::string& source, const std::string& destination,
                               const RestoreOptions& options);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_SNAPSHOT_H_
