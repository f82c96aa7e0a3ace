// The journal's settings, from the platform's configuration and the operator's file.
#ifndef SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_
#define SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_

#include "config/config.h"
#include "config/node_file.h"
#include "journal/segment_journal.h"

namespace sagetally {

// Throws std::runtime_error naming the key at fault.
JournalSettings MakeJournalSettings(const Config& config, const JournalFileSettings& file);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_
