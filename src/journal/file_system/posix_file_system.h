// The FileSystem of the operating system, used by the running program and its commands. New files and folders
// can be read and written by their owner only. Not thread-safe; see file_system.h.
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
  // These overloads return the errno value in `error` and the object, or null, as the result.
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
  // Makes the next call of Lock return this lock, which another process has passed to this one. If the
  // descriptor is -1, Lock acquires the lock as usual.
  void Adopt(FileDescriptor lock) { adopted_lock_ = std::move(lock); }

 private:
  FileDescriptor adopted_lock_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_
