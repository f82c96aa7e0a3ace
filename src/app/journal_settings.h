// Makes the journal's settings from the platform's configuration and the operator's file. Called by
// JournalService and by the command check-config. No I/O.
#ifndef SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_
#define SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_

#include "config/config.h"
#include "config/node_file.h"
#include "journal/segment_journal.h"

namespace sagetally {

// Returns the settings. Throws std::runtime_error that names the key whose value can't be used.
JournalSettings MakeJournalSettings(const Config& config, const JournalFileSettings& file);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_JOURNAL_SETTINGS_H_
