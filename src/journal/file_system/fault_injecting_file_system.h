// A file system in memory that fails on demand, for crash tests and simulations. Its calls are numbered from
// 1, and a function of the test decides for each of them whether it fails and how. The same decisions lead to
// the same run. Not thread-safe.
#ifndef SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FAULT_INJECTING_FILE_SYSTEM_H_
#define SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FAULT_INJECTING_FILE_SYSTEM_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>

#include "journal/file_system/file_system.h"

namespace sagetally {

// Thrown by the call at which the simulated process crashes, and by every call after it until Restart.
struct Crash {};

// Represents one disk. The process under test uses it through FileSystem; the test injects faults, restarts
// the process and inspects the files.
class FaultInjectingFileSystem : public FileSystem {
 public:
  FaultInjectingFileSystem() = default;
  // Copies the disk with all its files; later changes of one disk don't affect the other.
  FaultInjectingFileSystem(const FaultInjectingFileSystem& other);
  FaultInjectingFileSystem& operator=(const FaultInjectingFileSystem&) = delete;

  enum class Fault {
    kNone,
    kCrash,       // the process crashes before the call has an effect
    kCrashAfter,  // the process crashes after the call has had its effect
    // The call returns Step::error and has no effect, except that a failed Sync loses the unsynced bytes.
    kError,
    kShortWrite,  // Append writes only half of its bytes; other calls succeed
    kTornWrite    // Append writes only half of its bytes; the process crashes after this or any other call
  };
  // The decision about one call.
  struct Step {
    Fault fault = Fault::kNone;
    int error = 0;  // the errno value that kError returns
  };
  // Decides about a call before it is made. The arguments are the number of the call and its name, such as
  // "append", "sync" or "rename". Without a function no call fails.
  std::function<Step(std::uint64_t call, std::string_view call_name)> plan;

  // Returns the number of calls made so far.
  std::uint64_t calls() const { return calls_; }
  // Size of the disk in bytes. Each file takes whole blocks of it.
  std::uint64_t capacity = UINT64_MAX;
  // Returns how many bytes of the disk are taken.
  std::uint64_t UsedBytes() const;
  // Ends the process and starts the next one: all locks are released, and calls on files that are still open
  // throw Crash.
  void Restart();
  // Discards all file contents and folder entries that were not synced, then restarts.
  void LosePower();
  // Flips one bit of a file. Throws std::out_of_range if there is no such file or byte.
  void FlipBit(const std::string& path, std::uint64_t byte, int bit);
  // Removes `size` bytes from a file, which becomes shorter by as many. Throws std::out_of_range if there is
  // no such file, or if it ends before `offset`.
  void EraseBytes(const std::string& path, std::uint64_t offset, std::uint64_t size);
  bool Exists(const std::string& path) const { return entries_.contains(path); }
  // Returns the content of a file. Throws std::out_of_range if there is no such file.
  std::string Content(const std::string& path) const;
  // Creates or replaces a file, whose content and entry count as synced. This is not one of the counted
  // calls.
  void Put(const std::string& path, const std::string& content);

  IoResult<std::unique_ptr<File>> Open(const std::string& path, Mode mode) override;
  int MakeFolder(const std::string& path) override;
  IoResult<std::vector<std::string>> List(const std::string& folder) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Remove(const std::string& path) override;
  int SyncFolder(const std::string& path) override;
  IoResult<std::unique_ptr<FileLock>> Lock(const std::string& path) override;

 private:
  friend class FaultInjectingFile;
  friend class FaultInjectingLock;
  // The content of a file, apart from its name.
  struct Node {
    std::string bytes;
    std::string synced_bytes;  // the content after a loss of power
  };
  using Entries = std::map<std::string, std::shared_ptr<Node>>;  // by path

  // Counts the call and returns the decision of `plan`. Throws Crash if the process crashes here.
  Step BeginCall(const char* name);
  // Throws Crash if the process crashes after the call.
  void EndCall(const Step& step);
  // Returns the bytes in blocks that no file takes.
  std::uint64_t FreeBlockBytes() const;

  Entries entries_;
  Entries synced_entries_;
  std::set<std::string> folders_;
  std::set<std::string> locks_;
  std::uint64_t calls_ = 0;
  std::uint64_t process_ = 0;  // identifies the current process: the number of restarts before it
  bool has_crashed_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FAULT_INJECTING_FILE_SYSTEM_H_
