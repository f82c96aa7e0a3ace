// An owned file descriptor, closed by the destructor. -1 stands for none.
#ifndef SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_
#define SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace sagetally {

class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept : fd_(other.Release()) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    if (this != &other) {
      if (fd_ >= 0) ::close(fd_);
      fd_ = other.Release();
    }
    return *this;
  }
  ~FileDescriptor() {
    if (fd_ >= 0) ::close(fd_);
  }
  int get() const { return fd_; }
  // Gives up ownership.
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_
