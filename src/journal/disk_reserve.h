// A file that holds blocks of the disk for the further records of accepted messages, so that a disk filled by
// others costs none of them.
#ifndef SAGETALLY_SRC_JOURNAL_DISK_RESERVE_H_
#define SAGETALLY_SRC_JOURNAL_DISK_RESERVE_H_

#include <cstdint>
#include <memory>
#include <string>

#include "journal/file_system/file_system.h"

namespace sagetally {

class DiskReserve {
 public:
  // It grows and shrinks by multiples of this.
  static constexpr std::uint64_t kStepBytes = 64 * 1024;

  DiskReserve(FileSystem& files, std::string path, bool is_enabled);

  // Takes over the file of an earlier process, or removes it if there is to be no reserve.
  void OpenExisting();
  bool is_enabled() const { return is_enabled_; }
  bool is_open() const { return file_ != nullptr; }
  std::uint64_t bytes() const { return bytes_; }

  // Makes it hold at least `needed` bytes. Returns false, and changes nothing, if it would become larger than
  // `limit` or the disk is full. Does nothing if it isn't enabled.
  bool Grow(std::uint64_t needed, std::uint64_t limit);
  // Frees space for a record of `size` bytes. Returns false if there is none left.
  bool Release(std::uint64_t size);
  // Frees most of what exceeds `needed` by far.
  void Shrink(std::uint64_t needed);
  // Forgets the file: another process may have changed it.
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
