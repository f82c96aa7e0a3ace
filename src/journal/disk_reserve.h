// A file that reserves disk blocks for the further records of accepted messages. When other programs have
// filled the disk, the journal releases part of the file and so can still write these records. Owned by the
// journal; used on the thread of the event loop only. All sizes are in bytes.
#ifndef SAGETALLY_SRC_JOURNAL_DISK_RESERVE_H_
#define SAGETALLY_SRC_JOURNAL_DISK_RESERVE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "journal/file_system/file_system.h"

namespace sagetally {

class DiskReserve {
 public:
  // The reserve grows and shrinks by multiples of this size.
  static constexpr std::uint64_t kStepBytes = 64 * 1024;

  // `path` is the path of the reserve file. If `is_enabled` is false, there is no reserve, and Grow does
  // nothing. Keeps a reference to `files`, which must outlive it.
  DiskReserve(FileSystem& files, std::string path, bool is_enabled);

  // Opens the reserve file of an earlier process if there is one, or removes it if the reserve is not
  // enabled.
  void OpenExisting();
  bool is_enabled() const { return is_enabled_; }
  bool is_open() const { return file_ != nullptr; }
  std::uint64_t bytes() const { return bytes_; }

  // Grows the reserve to at least `needed` bytes. Returns false, and changes nothing, if it would become
  // larger than `limit` or the disk is full. If the reserve is not enabled, returns true and does nothing.
  bool Grow(std::uint64_t needed, std::uint64_t limit);
  // Releases space for a record of `size` bytes, or all that is left. Returns false if nothing is left or the
  // file can't be truncated.
  bool Release(std::uint64_t size);
  // Truncates a reserve that is more than about twice as large as `needed`, and leaves one step more than
  // `needed`.
  void Shrink(std::uint64_t needed);
  // Closes the file without removing it, because another process may have changed it.
  void Close();

 private:
  FileSystem& files_;
  const std::string path_;
  const bool is_enabled_;
  std::unique_ptr<File> file_;
  std::uint64_t bytes_ = 0;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_JOURNAL_DISK_RESERVE_H_
