// A disk in memory that fails on demand: for the crash tests and for models. Calls are numbered from 1; a
// plan says what becomes of one, or draws faults by a seed. One seed, one run.
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

struct Crash {};  // thrown by the call at which the process ends; from then on every call throws it

class FaultInjectingFileSystem : public FileSystem {
 public:
  FaultInjectingFileSystem() = default;
  FaultInjectingFileSystem(const FaultInjectingFileSystem& other);  // a disk of its own with the same content
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
    int error = 0;
  };
  // Asked before each call with its number and name ("append", "sync", "rename", ...).
  std::function<Step(std::uint64_t call, std::string_view what)> plan;

  std::uint64_t calls() const { return calls_; }
  std::uint64_t capacity = UINT64_MAX;  // bytes, each file counted in whole 512 bytes
  std::uint64_t Used() const;
  // The next process: locks are free, open files of the last one are dead.
  void Restart();
  // The machine loses its power: what was not synced is gone, names too.
  void LosePower();
  void FlipBit(const std::string& path, std::uint64_t byte, int bit);
  void CutOut(const std::string& path, std::uint64_t from, std::uint64_t size);  // bytes in the middle
  bool Exists(const std::string& path) const { return names_.contains(path); }
  std::string Content(const std::string& path) const;
  void Put(const std::string& path, std::string content);  // as if it had always been there

  std::unique_ptr<File> Open(const std::string& path, Mode mode, int& error) override;
  int MakeFolder(const std::string& path) override;
  std::vector<std::string> List(const std::string& folder, int& error) override;
  int Rename(const std::string& from, const std::string& to) override;
  int Remove(const std::string& path) override;
  int SyncFolder(const std::string& path) override;
  std::unique_ptr<FileLock> Lock(const std::string& path, int& error) override;

 private:
  friend class FaultInjectingFile;
  friend class FaultInjectingLock;
  struct Node {
    std::string bytes;
    std::string synced;  // what a loss of power leaves
  };
  using Names = std::map<std::string, std::shared_ptr<Node>>;

  Step Next(const char* what);  // throws Crash
  void Ended(const Step& step);
  std::uint64_t Room() const;

  Names names_, synced_names_;
  std::set<std::string> folders_, locks_;
  std::uint64_t calls_ = 0;
  std::uint64_t life_ = 0;
  bool dead_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_FILE_SYSTEM_FAULT_INJECTING_FILE_SYSTEM_H_
