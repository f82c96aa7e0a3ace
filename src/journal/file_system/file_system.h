// What the journal needs of a disk. Two stand behind it: the system's own, and one in memory that fails on
// demand. Errors are errno's numbers, 0 for none.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

class File {  // closed when it goes
 public:
  virtual ~File() = default;
  // Writes at the file's end, perhaps less than asked; returns how many bytes. `error` is set if none could
  // be.
  virtual std::size_t Append(std::string_view bytes, int& error) = 0;
  // Fewer than `most` only at the file's end or with an error.
  virtual std::size_t ReadAt(std::uint64_t offset, char* to, std::size_t most, int& error) = 0;
  virtual std::uint64_t Size(int& error) = 0;
  virtual int Sync() = 0;  // its bytes outlast the machine's power
  virtual int Truncate(std::uint64_t size) = 0;
  virtual int Allocate(std::uint64_t size) = 0;  // makes it that long, with blocks of its own
};

class FileLock {  // held until it goes, or the process ends
 public:
  virtual ~FileLock() = default;
  // By which another process may hold it too; -1: none.
  virtual int descriptor() const { return -1; }
};

class FileSystem {
 public:
  enum class Mode { kRead, kAppend, kCreate };  // kCreate: empty, whether or not there was one
  virtual ~FileSystem() = default;
  virtual std::unique_ptr<File> Open(const std::string& path, Mode mode, int& error) = 0;
  virtual int MakeFolder(const std::string& path) = 0;                               // 0 too if it is there
  virtual std::vector<std::string> List(const std::string& folder, int& error) = 0;  // names of files
  virtual int Rename(const std::string& from, const std::string& to) = 0;            // atomic
  virtual int Remove(const std::string& path) = 0;
  virtual int SyncFolder(const std::string& path) = 0;  // its names outlast the machine's power
  // Null with EWOULDBLOCK while another process, or another lock of this one, holds it.
  virtual std::unique_ptr<FileLock> Lock(const std::string& path, int& error) = 0;
};

// All of it, through short writes and interruptions. Returns how many bytes stand in the file.
std::size_t WriteAll(File& file, std::string_view bytes, int& error);
// The whole file, or its first `most` bytes.
std::string ReadAll(File& file, std::uint64_t most, int& error);
// "No space left on device".
std::string ErrorText(int error);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FILE_SYSTEM_H_
