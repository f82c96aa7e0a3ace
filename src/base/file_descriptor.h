// A move-only owner of a file descriptor, which its destructor closes. Used wherever the program holds files,
// sockets and locks. An object is used by one thread at a time.
#ifndef SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_
#define SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_

#include <unistd.h>

#include <utility>

namespace sagetally {

// Owns one open descriptor, or none.
class FileDescriptor {
 public:
  // Takes ownership of `fd`; -1 means that there is no descriptor.
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
  // Returns the descriptor, which stays owned by this object, or -1 if there is none.
  int get() const { return fd_; }
  // Returns the descriptor and passes its ownership to the caller.
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_BASE_FILE_DESCRIPTOR_H_
