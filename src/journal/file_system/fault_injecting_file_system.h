// A file system in memory that fails on demand, for crash tests and models. Each call has a number, counted
// from 1; a plan decides what becomes of it. Equal plans give equal runs.
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

// Thrown by the call at which the simulated process ends, and by every call after it until Restart.
struct Crash {};

class FaultInjectingFileSystem : public FileSystem {
 public:
  FaultInjectingFileSystem() = default;
  // A disk of its own with the same content.
  FaultInjectingFileSystem(const FaultInjectingFileSystem& other);
  FaultInjectingFileSystem& operator=(const FaultInjectingFileSystem&) = delete;

  enum class Fault {
    kNone,
    kCrash,       // the process ends before the call has an effect
    kCrashAfter,  // ... after it
    kError,       // the call fails with `error`
    kShort,       // a write takes half of its bytes
    kTorn         // ... and the process ends
  };
  struct Step {
    Fault fault = Fault::kNone;
    int error = 0;  // an errno number, for kError
  };
  // Asked before each call with its number and name ("append", "sync", "rename", ...). May be empty.
  std::function<Step(std::uint64_t call, std::string_view what)> plan;

  // How many calls there were.
  std::uint64_t calls() const { return calls_; }
  // Size of the disk in bytes; each file takes whole blocks.
  std::uint64_t capacity = UINT64_MAX;
  std::uint64_t Used() const;
  // Begins the next process: locks are free, files that the last one had open are dead.
  void Restart();
  // Drops all bytes and entries that were not synced, then restarts.
  void LosePower();
  // Flips one bit of a file. Throws std::out_of_range if there is no such byte.
  void FlipBit(const std::string& path, std::uint64_t byte, int bit);
  // Removes bytes from the middle of a file.
  void EraseBytes(const std::string& path, std::uint64_t offset, std::uint64_t size);
  bool Exists(const std::string& path) const { return entries_.contains(path); }
  std::string Content(const std::string& path) const;
  // Makes a file that counts as synced.
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
  struct Node {
    std::string bytes;
    std::string synced;  // what a loss of power leaves
  };
  using Entries = std::map<std::string, std::shared_ptr<Node>>;

  // Counts the call and asks the plan. Throws Crash.
  Step BeginCall(const char* name);
  // Throws Crash if the plan ends the process after the call.
  void EndCall(const Step& step);
  // Bytes in blocks that no file has.
  std::uint64_t FreeBlocks() const;

  Entries entries_;
  Entries synced_entries_;
  std::set<std::string> folders_;
  std::set<std::string> locks_;
  std::uint64_t calls_ = 0;
  std::uint64_t process_ = 0;  // counts restarts
  bool has_crashed_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FAULT_INJECTING_FILE_SYSTEM_H_
