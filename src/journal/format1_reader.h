// Format 1: one file of records, as journals were before segments. Read only, to be taken over.
#ifndef SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
#define SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_

#include <cstdint>
#include <string>

#include "core/message_table.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

struct Format1Report {
  bool found = false;
  std::uint64_t records = 0, torn_bytes = 0;
};

// Throws std::runtime_error naming the file if it can't be read.
Format1Report ReadFormat1(FileSystem& files, const std::string& path, MessageTable& ledger);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FORMAT1_READER_H_
