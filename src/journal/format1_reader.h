// Reads format 1 of the journal: a single file of records, as there was before segments. Such a log is only
// read, once, when a journal of the present format takes it over.
#ifndef SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
#define SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

struct Format1Report {
  bool found = false;  // whether there is such a file
  std::uint64_t records = 0;
  std::uint64_t torn_bytes = 0;  // after the last whole record
};

// Adds the messages of the log to `messages`. Throws JournalIoError.
Format1Report ReadFormat1(FileSystem& files, const std::string& path, MessageTable& messages);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
