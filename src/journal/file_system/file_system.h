// The file system operations that the journal uses, as an interface. It has two implementations:
// PosixFileSystem uses the operating system's files, and FaultInjectingFileSystem works in memory and fails
// on demand. Errors are returned as errno values, where 0 means success. The classes are not thread-safe,
// with one exception: File::Sync may run on another thread while the file is written to.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// Size of the blocks in which the disk budget counts the space of a file, as the platform counts it.
constexpr std::uint64_t kDiskBlockBytes = 512;

// Returns `bytes` rounded up to a multiple of `unit`, which must not be 0.
constexpr std::uint64_t RoundUpTo(std::uint64_t unit, std::uint64_t bytes) {
  return (bytes + unit - 1) / unit * unit;
}
// Returns how many bytes of the disk a file of `bytes` bytes takes: its size rounded up to whole blocks.
constexpr std::uint64_t DiskBlocks(std::uint64_t bytes) { return RoundUpTo(kDiskBlockBytes, bytes); }

// The result of a call and its errno value, 0 for success. After an error, `value` holds what the call had
// done until then, such as the number of bytes written.
template <typename Value>
struct IoResult {
  Value value = {};
  int error = 0;
  bool ok() const { return error == 0; }
};

// An open file, which the destructor closes.
class File {
 public:
  virtual ~File() = default;
  // Writes at the end of the file and returns the number of bytes written, which may be less than requested.
  // Returns an error only if no byte was written.
  virtual IoResult<std::size_t> Append(std::string_view bytes) = 0;
  // Reads at most `size` bytes from `offset` into `destination` and returns their number. It is less than
  // `size` only at the end of the file.
  virtual IoResult<std::size_t> ReadAt(std::uint64_t offset, char* destination, std::size_t size) = 0;
  // Returns the size of the file in bytes.
  virtual IoResult<std::uint64_t> Size() = 0;
  // Writes the content of the file to the disk, so that it survives a loss of power.
  virtual int Sync() = 0;
  // Sets the size of the file, in bytes.
  virtual int Truncate(std::uint64_t size) = 0;
  // Extends the file to `size` bytes and allocates disk blocks for all of them.
  virtual int Allocate(std::uint64_t size) = 0;
};

// A lock on a file, released by the destructor or when the process ends.
class FileLock {
 public:
  virtual ~FileLock() = default;
  // Returns the descriptor that holds the lock. A process to which it is passed shares the lock. Returns -1
  // if the lock has no descriptor.
  virtual int descriptor() const { return -1; }
};

// The operations on the files and folders of a journal. All paths are complete paths.
class FileSystem {
 public:
  enum class Mode {
    kRead,    // the file must exist
    kAppend,  // the file must exist; Open fails with ENOENT otherwise
    kCreate   // creates the file, or truncates an existing one to length 0
  };
  virtual ~FileSystem() = default;
  // Opens a file; the pointer is null after an error.
  virtual IoResult<std::unique_ptr<File>> Open(const std::string& path, Mode mode) = 0;
  // Creates a folder. Succeeds if it exists already.
  virtual int MakeFolder(const std::string& path) = 0;
  // Returns the names, without a path, of the regular files in a folder, in no particular order.
  virtual IoResult<std::vector<std::string>> List(const std::string& folder) = 0;
  // Renames a file atomically and replaces an existing file of the new name.
  virtual int Rename(const std::string& from, const std::string& to) = 0;
  // Deletes a file; returns ENOENT if there is none.
  virtual int Remove(const std::string& path) = 0;
  // Writes the entries of the folder to the disk, so that they survive a loss of power.
  virtual int SyncFolder(const std::string& path) = 0;
  // Locks a file, which is created if it does not exist. Fails with EWOULDBLOCK while another process, or
  // another FileLock of this process, holds the lock.
  virtual IoResult<std::unique_ptr<FileLock>> Lock(const std::string& path) = 0;
};

// Writes all of `bytes` and repeats writes that were short or interrupted by a signal. Returns how many bytes
// were written, also after an error.
IoResult<std::size_t> WriteAll(File& file, std::string_view bytes);
// Reads the whole file, but not more than its first `max_bytes` bytes.
IoResult<std::string> ReadAll(File& file, std::uint64_t max_bytes);
// Returns the description of an errno value, such as "No space left on device".
std::string ErrorText(int error);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
