#include "app/journal_settings.h"

#include <algorithm>
#include <stdexcept>

namespace sagetally {

JournalSettings MakeJournalSettings(const Config& config, const JournalFileSettings& file) {
  JournalSettings settings;
  settings.folder = config.state_folder + "/journal";
  settings.format1_path = config.state_folder + "/log";
  settings.node_name = config.name;
  settings.disk_budget = config.disk_limit_bytes;
  settings.class_names = config.site.classes;
  settings.default_durability = file.synced ? Durability::kSynced : Durability::kWritten;
  settings.group_commit_delay = file.group_commit_delay;
  settings.reserve_disk_space = file.reserve_disk_space;
  settings.seed = config.seed;
  settings.segment_bytes = file.segment_bytes;
  for (const std::string& class_name : file.synced_classes) {
    const auto found = std::ranges::find(settings.class_names, class_name);
    if (found == settings.class_names.end()) {
      throw std::runtime_error("/journal/synced_classes: expected names of configured classes, found " +
                               class_name);
    }
    const auto class_number = static_cast<int>(found - settings.class_names.begin());
    settings.class_durability[class_number] = Durability::kSynced;
  }
  return settings;
}

}  // namespace sagetally
