// The files in the journal's folder that hold the remembered ids (core/id_history.h) whose messages have left
// the segments, or that never had a message. Each file is a sequence of fixed-size entries with a checksum; a
// torn or damaged entry is skipped. The oldest file is removed once all its ids have expired, or when the
// files take more space than they may. docs/format.md describes the format. Owned by the journal, used on the
// event loop's thread.
#ifndef SAGETALLY_SRC_JOURNAL_ID_LOG_H_
#define SAGETALLY_SRC_JOURNAL_ID_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/id_history.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

class IdLog {
 public:
  static constexpr std::size_t kEntryBytes = 20;

  // `max_bytes` limits the disk space of all files together. Keeps a reference to `files`.
  IdLog(FileSystem& files, std::string folder, std::uint64_t max_bytes);

  // Reads the files in the folder and passes each valid entry to `history`. Changes nothing. `salt` is that
  // of the journal's manifest.
  void Load(std::uint64_t salt, IdHistory& history, Time now);
  // Appends the ids. Returns an errno value; after an error some of them may be missing.
  int Append(const std::deque<RememberedId>& ids, std::uint64_t salt, Time now);
  // Removes the files whose ids have all expired.
  void RemoveExpired(Time now);

  // Disk space of all files in bytes, as the budget counts it.
  std::uint64_t disk_bytes() const;

 private:
  struct IdFile {
    std::uint64_t number = 0;
    std::uint64_t bytes = 0;
    Time expires_at{0};  // when its last id expires
  };

  std::string PathOf(std::uint64_t number) const;
  int AppendEntries(const std::string& entries, Time expires_at);
  int StartFile();
  void RemoveOldest();

  FileSystem& files_;
  const std::string folder_;
  const std::uint64_t max_bytes_;
  const std::uint64_t max_file_bytes_;
  std::deque<IdFile> id_files_;  // oldest first
  std::unique_ptr<File> head_;   // the newest file, once this process has begun one
};

// Returns the entry of an id as it is stored. `salt` makes the checksum of one journal's entries invalid in
// another's.
std::string EncodeIdEntry(const RememberedId& id, std::uint64_t salt);
// Reads what EncodeIdEntry() wrote. Returns nothing if the entry is damaged.
std::optional<RememberedId> DecodeIdEntry(std::string_view entry, std::uint64_t salt);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_ID_LOG_H_
