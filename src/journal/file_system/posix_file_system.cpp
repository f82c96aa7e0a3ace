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

int ErrorOf(int result) { return result == 0 ? 0 : errno; }

class RealFile : public File {
 public:
  explicit RealFile(FileDescriptor fd) : fd_(std::move(fd)) {}
  std::size_t Append(std::string_view bytes, int& error) override {
    const ssize_t n = ::write(fd_.get(), bytes.data(), bytes.size());
    error = n < 0 ? errno : 0;
    if (n == 0 && !bytes.empty()) error = ENOSPC;
    return n < 0 ? 0 : static_cast<std::size_t>(n);
  }
  std::size_t ReadAt(std::uint64_t offset, char* to, std::size_t most, int& error) override {
    const ssize_t n = ::pread(fd_.get(), to, most, static_cast<off_t>(offset));
    error = n < 0 ? errno : 0;
    return n < 0 ? 0 : static_cast<std::size_t>(n);
  }
  std::uint64_t Size(int& error) override {
    struct stat state {};
    error = ErrorOf(::fstat(fd_.get(), &state));
    return error == 0 ? static_cast<std::uint64_t>(state.st_size) : 0;
  }
  int Sync() override { return ErrorOf(::fdatasync(fd_.get())); }
  int Truncate(std::uint64_t size) override {
    return ErrorOf(::ftruncate(fd_.get(), static_cast<off_t>(size)));
  }
  int Allocate(std::uint64_t size) override {
    int error = EINTR;
    while (error == EINTR) error = ::posix_fallocate(fd_.get(), 0, static_cast<off_t>(size));
    return error;
  }

 private:
  FileDescriptor fd_;
};

class RealLock : public FileLock {
 public:
  explicit RealLock(FileDescriptor fd) : fd_(std::move(fd)) {}
  int descriptor() const override { return fd_.get(); }

 private:
  FileDescriptor fd_;
};

FileDescriptor OpenFd(const std::string& path, int flags, int& error) {
  FileDescriptor fd(::open(path.c_str(), flags | O_CLOEXEC, 0600));
  error = fd.get() < 0 ? errno : 0;
  return fd;
}

}  // namespace

std::unique_ptr<File> PosixFileSystem::Open(const std::string& path, Mode mode, int& error) {
  const int flags = mode == Mode::kRead     ? O_RDONLY
                    : mode == Mode::kAppend ? O_RDWR | O_APPEND
                                            : O_RDWR | O_APPEND | O_CREAT | O_TRUNC;
  FileDescriptor fd = OpenFd(path, flags, error);
  return error == 0 ? std::make_unique<RealFile>(std::move(fd)) : nullptr;
}

int PosixFileSystem::MakeFolder(const std::string& path) {
  const int error = ErrorOf(::mkdir(path.c_str(), 0700));
  return error == EEXIST ? 0 : error;
}

std::vector<std::string> PosixFileSystem::List(const std::string& folder, int& error) {
  std::vector<std::string> names;
  std::error_code code;
  for (std::filesystem::directory_iterator at(folder, code), end; !code && at != end; at.increment(code)) {
    std::error_code ignored;
    if (at->is_regular_file(ignored)) names.push_back(at->path().filename().string());
  }
  error = code.value();
  return names;
}

int PosixFileSystem::Rename(const std::string& from, const std::string& to) {
  return ErrorOf(std::rename(from.c_str(), to.c_str()));
}

int PosixFileSystem::Remove(const std::string& path) { return ErrorOf(::unlink(path.c_str())); }

int PosixFileSystem::SyncFolder(const std::string& path) {
  int error = 0;
  const FileDescriptor fd = OpenFd(path, O_RDONLY | O_DIRECTORY, error);
  return error == 0 ? ErrorOf(::fsync(fd.get())) : error;
}

std::unique_ptr<FileLock> PosixFileSystem::Lock(const std::string& path, int& error) {
  error = 0;
  if (adopted_.get() >= 0) return std::make_unique<RealLock>(std::move(adopted_));
  FileDescriptor fd = OpenFd(path, O_RDWR | O_CREAT, error);
  if (error != 0) return nullptr;
  error = ErrorOf(::flock(fd.get(), LOCK_EX | LOCK_NB));
  return error == 0 ? std::make_unique<RealLock>(std::move(fd)) : nullptr;
}

}  // namespace sagetally
