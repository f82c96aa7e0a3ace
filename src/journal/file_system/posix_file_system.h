// The system's own files.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_

#include <utility>

#include "base/file_descriptor.h"
#include "journal/file_system/file_system.h"

namespace sagetally {

class PosixFileSystem : public FileSystem {  // new files and folders are the owner's alone
 public:
  std::unique_ptr<File> Open(const std::string& path, Mode mode, int& error) override;
  int MakeFolder(const std::string& path) override;
  std::vector<std::string> List(const std::string& folder, int& error) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Remove(const std::string& path) override;
  int SyncFolder(const std::string& path) override;
  std::unique_ptr<FileLock> Lock(const std::string& path, int& error) override;
  // A lock that another process has passed on is the one that the next Lock gives.
  void Adopt(FileDescriptor lock) { adopted_ = std::move(lock); }

 private:
  FileDescriptor adopted_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_POSIX_FILE_SYSTEM_H_
