#include "journal/disk_reserve.h"

#include <algorithm>
#include <utility>

namespace sagetally {
DiskReserve::DiskReserve(FileSystem& files, std::string path, bool is_enabled)
    : files_(files), path_(std::move(path)), is_enabled_(is_enabled) {}

void DiskReserve::OpenExisting() {
  auto opened = files_.Open(path_, FileSystem::Mode::kAppend);
  if (!opened.ok()) return;
  bytes_ = opened.value->Size().value;
  if (is_enabled_) {
    file_ = std::move(opened.value);
  } else {
    opened.value.reset();
    if (files_.Remove(path_) == 0) bytes_ = 0;
  }
}

bool DiskReserve::Grow(std::uint64_t needed, std::uint64_t limit) {
  if (!is_enabled_ || needed <= bytes_) return true;
  const std::uint64_t size = RoundUpTo(kStepBytes, needed);
  if (size > limit) return false;
  if (!file_) {
    auto created = files_.Open(path_, FileSystem::Mode::kCreate);
    if (!created.ok()) return false;
    file_ = std::move(created.value);
  }
  if (file_->Allocate(size) != 0) return false;
  bytes_ = size;
  return true;
}

bool DiskReserve::Release(std::uint64_t size) {
  if (!file_ || bytes_ == 0) return false;
  const std::uint64_t freed = std::min(bytes_, RoundUpTo(kStepBytes, size));
  if (file_->Truncate(bytes_ - freed) != 0) return false;
  bytes_ -= freed;
  return true;
}

void DiskReserve::Shrink(std::uint64_t needed) {
  const std::uint64_t wanted = RoundUpTo(kStepBytes, needed) + kStepBytes;
  if (!file_ || bytes_ <= 2 * wanted) return;
  if (file_->Truncate(wanted) == 0) bytes_ = wanted;
}

void DiskReserve::Close() {
  file_.reset();
  bytes_ = 0;
}

}  // namespace sagetally
