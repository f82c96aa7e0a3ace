#include "journal/file_system/posix_file_system.h"

#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <filesystem>
#include <utility>

#include "base/file_descriptor.h"

namespace sagetally {
namespace {

int ErrnoUnlessZero(int result) { return result == 0 ? 0 : errno; }

IoResult<std::size_t> ByteCount(ssize_t result) {
  if (result < 0) return {0, errno};
  return {static_cast<std::size_t>(result), 0};
}

class PosixFile : public File {
 public:
  explicit PosixFile(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}
  IoResult<std::size_t> Append(std::string_view bytes) override {
    IoResult<std::size_t> written = ByteCount(::write(descriptor_.get(), bytes.data(), bytes.size()));
    if (written.ok() && written.value == 0 && !bytes.empty()) written.error = ENOSPC;
    return written;
  }
  IoResult<std::size_t> ReadAt(std::uint64_t offset, char* destination, std::size_t size) override {
    return ByteCount(::pread(descriptor_.get(), destination, size, static_cast<off_t>(offset)));
  }
  IoResult<std::uint64_t> Size() override {
    struct stat status {};
    if (::fstat(descriptor_.get(), &status) != 0) return {0, errno};
    return {static_cast<std::uint64_t>(status.st_size), 0};
  }
  int Sync() override { return ErrnoUnlessZero(::fdatasync(descriptor_.get())); }
  int Truncate(std::uint64_t size) override {
    return ErrnoUnlessZero(::ftruncate(descriptor_.get(), static_cast<off_t>(size)));
  }
  int Allocate(std::uint64_t size) override {
    int error = EINTR;
    while (error == EINTR) error = ::posix_fallocate(descriptor_.get(), 0, static_cast<off_t>(size));
    return error;
  }

 private:
  FileDescriptor descriptor_;
};

class PosixLock : public FileLock {
 public:
  explicit PosixLock(FileDescriptor descriptor) : descriptor_(std::move(descriptor)) {}
  int descriptor() const override { return descriptor_.get(); }

 private:
  FileDescriptor descriptor_;
};

IoResult<FileDescriptor> OpenDescriptor(const std::string& path, int flags) {
  FileDescriptor descriptor(::open(path.c_str(), flags | O_CLOEXEC, 0600));
  const int error = descriptor.get() < 0 ? errno : 0;
  return {std::move(descriptor), error};
}

int OpenFlags(FileSystem::Mode mode) {
  switch (mode) {
    case FileSystem::Mode::kRead:
      return O_RDONLY;
    case FileSystem::Mode::kAppend:
      return O_RDWR | O_APPEND;
    case FileSystem::Mode::kCreate:
      return O_RDWR | O_APPEND | O_CREAT | O_TRUNC;
  }
  return O_RDONLY;
}

}  // namespace

IoResult<std::unique_ptr<File>> PosixFileSystem::Open(const std::string& path, Mode mode) {
  auto [descriptor, error] = OpenDescriptor(path, OpenFlags(mode));
  if (error != 0) return {nullptr, error};
  return {std::make_unique<PosixFile>(std::move(descriptor)), 0};
}

int PosixFileSystem::MakeFolder(const std::string& path) {
  const int error = ErrnoUnlessZero(::mkdir(path.c_str(), 0700));
  return error == EEXIST ? 0 : error;
}

IoResult<std::vector<std::string>> PosixFileSystem::List(const std::string& folder) {
  std::vector<std::string> names;
  std::error_code code;
  const std::filesystem::directory_iterator end;
  for (std::filesystem::directory_iterator entry(folder, code); !code && entry != end;
       entry.increment(code)) {
    std::error_code ignored;
    if (entry->is_regular_file(ignored)) names.push_back(entry->path().filename().string());
  }
  return {std::move(names), code.value()};
}

int PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  return ErrnoUnlessZero(std::rename(from.c_str(), to.c_str()));
}

int PosixFileSystem::Remove(const std::string& path) { return ErrnoUnlessZero(::unlink(path.c_str())); }

int PosixFileSystem::SyncFolder(const std::string& path) {
  const auto [descriptor, error] = OpenDescriptor(path, O_RDONLY | O_DIRECTORY);
  return error == 0 ? ErrnoUnlessZero(::fsync(descriptor.get())) : error;
}

IoResult<std::unique_ptr<FileLock>> PosixFileSystem::Lock(const std::string& path) {
  if (adopted_lock_.get() >= 0) return {std::make_unique<PosixLock>(std::move(adopted_lock_)), 0};
  auto [descriptor, error] = OpenDescriptor(path, O_RDWR | O_CREAT);
  if (error == 0) error = ErrnoUnlessZero(::flock(descriptor.get(), LOCK_EX | LOCK_NB));
  if (error != 0) return {nullptr, error};
  return {std::make_unique<PosixLock>(std::move(descriptor)), 0};
}

}  // namespace sagetally
