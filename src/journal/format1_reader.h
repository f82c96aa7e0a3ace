// Reads format 1 of the journal, a single file of records that was used before there were segments. Such a
// log is never written any more. It is read once, when the journal migrates it to the present format. Has no
// state of its own; called at the start, on the thread of the event loop.
#ifndef SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
#define SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

// What ReadFormat1 found.
struct Format1Report {
  bool found = false;            // whether the file exists
  std::uint64_t records = 0;     // number of records that were applied
  std::uint64_t torn_bytes = 0;  // bytes after the last complete and valid record, which are ignored
};

// Adds the messages of the log at `path` to `messages`. Attempts that were in flight at the end of the log
// are marked as uncertain. Throws JournalIoError if an existing file can't be read.
Format1Report ReadFormat1(FileSystem& files, const std::string& path, MessageTable& messages);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
