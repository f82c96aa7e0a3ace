// FileSystem on the operating system's files. New files and folders are readable by their owner only.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_

#include <utility>

#include "base/file_descriptor.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

class PosixFileSystem : public FileSystem {
 public:
  IoResult<std::unique_ptr<File>> Open(const std::string& path, Mode mode) override;
  int MakeFolder(const std::string& path) override;
  IoResult<std::vector<std::string>> List(const std::string& folder) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Remove(const std::string& path) override;
  int SyncFolder(const std::string& path) override;
  IoResult<std::unique_ptr<FileLock>> Lock(const std::string& path) override;
  // The same for callers of the earlier interface: journal_commands.cpp and handover_session.cpp.
  std::unique_ptr<File> Open(const std::string& path, Mode mode, int& error) {
    auto result = Open(path, mode);
    error = result.error;
    return std::move(result.value);
  }
  std::unique_ptr<FileLock> Lock(const std::string& path, int& error) {
    auto result = Lock(path);
    error = result.error;
    return std::move(result.value);
  }
  // The next call of Lock gives this lock, which another process has passed on.
  void Adopt(FileDescriptor lock) { adopted_lock_ = std::move(lock); }

 private:
  FileDescriptor adopted_lock_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_
