// The part of a file system that the journal uses. Two implementations: PosixFileSystem, and
// FaultInjectingFileSystem, which works in memory and fails on demand. Errors are errno numbers, 0 for none.
// Not thread-safe, but for File::Sync, which may run on another thread while the file is written to.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// Unit in which the disk budget counts files, as the platform does.
constexpr std::uint64_t kDiskBlockBytes = 512;

// `bytes` rounded up to whole units.
constexpr std::uint64_t RoundUpTo(std::uint64_t unit, std::uint64_t bytes) {
  return (bytes + unit - 1) / unit * unit;
}
// Bytes that a file of this size takes on the disk.
constexpr std::uint64_t DiskBlocks(std::uint64_t bytes) { return RoundUpTo(kDiskBlockBytes, bytes); }

// What a call gave, and the error that ended it. With an error `value` holds what was done before it.
template <typename Value>
struct IoResult {
  Value value = {};
  int error = 0;
  bool ok() const { return error == 0; }
};

// An open file; closed by its destructor.
class File {
 public:
  virtual ~File() = default;
  // Writes at the file's end, perhaps less than asked. Gives how many bytes; an error only if none were.
  virtual IoResult<std::size_t> Append(std::string_view bytes) = 0;
  // Reads at most `size` bytes; fewer only at the file's end.
  virtual IoResult<std::size_t> ReadAt(std::uint64_t offset, char* destination, std::size_t size) = 0;
  virtual IoResult<std::uint64_t> Size() = 0;
  // Makes the file's bytes survive a loss of power.
  virtual int Sync() = 0;
  virtual int Truncate(std::uint64_t size) = 0;
  // Extends the file to `size`, with blocks of the disk of its own.
  virtual int Allocate(std::uint64_t size) = 0;
};

// A lock on a file, released by the destructor or when the process ends.
class FileLock {
 public:
  virtual ~FileLock() = default;
  // The descriptor by which another process may hold the lock too; -1 if there is none.
  virtual int descriptor() const { return -1; }
};

class FileSystem {
 public:
  enum class Mode {
    kRead,
    kAppend,  // fails with ENOENT if there is no file
    kCreate   // empties a file that is there
  };
  virtual ~FileSystem() = default;
  virtual IoResult<std::unique_ptr<File>> Open(const std::string& path, Mode mode) = 0;
  // Succeeds if the folder is there already.
  virtual int MakeFolder(const std::string& path) = 0;
  // Names of the regular files in a folder.
  virtual IoResult<std::vector<std::string>> List(const std::string& folder) = 0;
  // Atomic; replaces a file of that name.
  virtual int Rename(const std::string& from, const std::string& to) = 0;
  virtual int Remove(const std::string& path) = 0;
  // Makes the folder's entries survive a loss of power.
  virtual int SyncFolder(const std::string& path) = 0;
  // Fails with EWOULDBLOCK while another process, or another lock of this one, holds it.
  virtual IoResult<std::unique_ptr<FileLock>> Lock(const std::string& path) = 0;
};

// Writes all of `bytes`, through short writes and interruptions. Gives how many bytes reached the file.
IoResult<std::size_t> WriteAll(File& file, std::string_view bytes);
// Reads the whole file, or its first `max_bytes`.
IoResult<std::string> ReadAll(File& file, std::uint64_t max_bytes);
// The text of an errno number, such as "No space left on device".
std::string ErrorText(int error);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
