#include "journal/errors.h"

#include <fmt/format.h>

#include "journal/file_system/file_system.h"
#include "journal/segment.h"

namespace sagetally {

JournalIoError::JournalIoError(const std::string& path, int error)
    : JournalError(path, ErrorText(error)), error_(error) {}

UnsupportedFormatError::UnsupportedFormatError(const std::string& path, std::uint32_t format)
    : JournalError(path, fmt::format("the journal has format {}; this program reads formats up to {}", format,
                                     kJournalFormat)),
      format_(format) {}

void ThrowOnError(const std::string& path, int error) {
  if (error != 0) throw JournalIoError(path, error);
}

}  // namespace sagetally
