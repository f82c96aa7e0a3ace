#include "journal/file_system/fault_injecting_file_system.h"

#include <algorithm>
#include <cerrno>

namespace sagetally {
class FaultInjectingFile : public File {
 public:
  FaultInjectingFile(FaultInjectingFileSystem& disk, std::shared_ptr<FaultInjectingFileSystem::Node> node,
                     bool is_writable)
      : disk_(disk), process_(disk.process_), node_(std::move(node)), is_writable_(is_writable) {}

  IoResult<std::size_t> Append(std::string_view bytes) override {
    const auto step = BeginCall("append");
    if (step.fault == Fault::kError) return {0, step.error};
    if (!is_writable_) return {0, EBADF};
    std::size_t size = bytes.size();
    if (step.fault == Fault::kShortWrite || step.fault == Fault::kTornWrite) size = (size + 1) / 2;
    size = std::min<std::uint64_t>(size, FreeBytes());
    const int error = size == 0 && !bytes.empty() ? ENOSPC : 0;
    node_->bytes += bytes.substr(0, size);
    disk_.EndCall(step);
    return {size, error};
  }
  IoResult<std::size_t> ReadAt(std::uint64_t offset, char* destination, std::size_t size) override {
    const auto step = BeginCall("read");
    if (step.fault == Fault::kError) return {0, step.error};
    if (offset >= node_->bytes.size()) return {0, 0};
    const std::size_t count = std::min<std::uint64_t>(size, node_->bytes.size() - offset);
    std::copy_n(node_->bytes.data() + offset, count, destination);
    disk_.EndCall(step);
    return {count, 0};
  }
  IoResult<std::uint64_t> Size() override {
    const auto step = BeginCall("size");
    disk_.EndCall(step);
    if (step.fault == Fault::kError) return {0, step.error};
    return {node_->bytes.size(), 0};
  }
  int Sync() override {
    const auto step = BeginCall("sync");
    if (step.fault == Fault::kError) {
      // As on Linux, pages that could not be written are marked clean and lost. A second sync would succeed
      // without writing them.
      node_->bytes = node_->synced_bytes;
      return step.error;
    }
    node_->synced_bytes = node_->bytes;
    disk_.EndCall(step);
    return 0;
  }
  int Truncate(std::uint64_t size) override {
    const auto step = BeginCall("truncate");
    if (step.fault == Fault::kError) return step.error;
    node_->bytes.resize(size);
    disk_.EndCall(step);
    return 0;
  }
  int Allocate(std::uint64_t size) override {
    const auto step = BeginCall("allocate");
    if (step.fault == Fault::kError) return step.error;
    if (size > node_->bytes.size() && size - node_->bytes.size() > FreeBytes()) return ENOSPC;
    node_->bytes.resize(std::max<std::size_t>(node_->bytes.size(), size));
    disk_.EndCall(step);
    return 0;
  }

 private:
  using Fault = FaultInjectingFileSystem::Fault;

  FaultInjectingFileSystem::Step BeginCall(const char* name) {
    if (process_ != disk_.process_) throw Crash();  // the file was opened by a process that has ended
    return disk_.BeginCall(name);
  }
  // Returns by how many bytes the file may grow: the rest of its last block and all free blocks.
  std::uint64_t FreeBytes() const {
    if (disk_.capacity == UINT64_MAX) return UINT64_MAX;
    return DiskBlocks(node_->bytes.size()) - node_->bytes.size() + disk_.FreeBlockBytes();
  }
  FaultInjectingFileSystem& disk_;
  const std::uint64_t process_;
  std::shared_ptr<FaultInjectingFileSystem::Node> node_;
  const bool is_writable_;
};

class FaultInjectingLock : public FileLock {
 public:
  FaultInjectingLock(FaultInjectingFileSystem& disk, std::string path)
      : disk_(disk), process_(disk.process_), path_(std::move(path)) {}
  ~FaultInjectingLock() override {
    if (process_ == disk_.process_) disk_.locks_.erase(path_);
  }

 private:
  FaultInjectingFileSystem& disk_;
  const std::uint64_t process_;
  const std::string path_;
};

FaultInjectingFileSystem::FaultInjectingFileSystem(const FaultInjectingFileSystem& other)
    : plan(other.plan),
      capacity(other.capacity),
      folders_(other.folders_),
      locks_(other.locks_),
      calls_(other.calls_),
      process_(other.process_),
      has_crashed_(other.has_crashed_) {
  std::map<const Node*, std::shared_ptr<Node>> copies;
  const auto copy = [&](const Entries& source, Entries& destination) {
    for (const auto& [name, node] : source) {
      std::shared_ptr<Node>& copied = copies[node.get()];
      if (!copied) copied = std::make_shared<Node>(*node);
      destination[name] = copied;
    }
  };
  copy(other.entries_, entries_);
  copy(other.synced_entries_, synced_entries_);
}

std::uint64_t FaultInjectingFileSystem::UsedBytes() const {
  std::uint64_t used = 0;
  for (const auto& [name, node] : entries_) used += DiskBlocks(node->bytes.size());
  return used;
}

std::uint64_t FaultInjectingFileSystem::FreeBlockBytes() const {
  const std::uint64_t used = UsedBytes();
  return used >= capacity ? 0 : (capacity - used) / kDiskBlockBytes * kDiskBlockBytes;
}

FaultInjectingFileSystem::Step FaultInjectingFileSystem::BeginCall(const char* name) {
  if (has_crashed_) throw Crash();
  const Step step = plan ? plan(++calls_, name) : Step{};
  if (!plan) ++calls_;
  if (step.fault == Fault::kCrash) {
    has_crashed_ = true;
    throw Crash();
  }
  return step;
}

void FaultInjectingFileSystem::EndCall(const Step& step) {
  if (step.fault != Fault::kCrashAfter && step.fault != Fault::kTornWrite) return;
  has_crashed_ = true;
  throw Crash();
}

void FaultInjectingFileSystem::Restart() {
  has_crashed_ = false;
  ++process_;
  locks_.clear();
}

void FaultInjectingFileSystem::LosePower() {
  entries_ = synced_entries_;
  for (auto& [name, node] : entries_) {
    node = std::make_shared<Node>(Node{node->synced_bytes, node->synced_bytes});
  }
  synced_entries_ = entries_;
  Restart();
}

void FaultInjectingFileSystem::FlipBit(const std::string& path, std::uint64_t byte, int bit) {
  entries_.at(path)->bytes.at(byte) ^= static_cast<char>(1 << bit);
}

void FaultInjectingFileSystem::EraseBytes(const std::string& path, std::uint64_t offset, std::uint64_t size) {
  entries_.at(path)->bytes.erase(offset, size);
}

std::string FaultInjectingFileSystem::Content(const std::string& path) const {
  return entries_.at(path)->bytes;
}

void FaultInjectingFileSystem::Put(const std::string& path, const std::string& content) {
  auto node = std::make_shared<Node>(Node{content, content});
  entries_[path] = node;
  synced_entries_[path] = std::move(node);
}

IoResult<std::unique_ptr<File>> FaultInjectingFileSystem::Open(const std::string& path, Mode mode) {
  const Step step = BeginCall(mode == Mode::kCreate ? "create" : "open");
  if (step.fault == Fault::kError) return {nullptr, step.error};
  auto entry = entries_.find(path);
  if (mode == Mode::kCreate) {
    if (entry == entries_.end()) {
      entry = entries_.emplace(path, std::make_shared<Node>()).first;
    } else {
      entry->second->bytes.clear();
    }
  }
  if (entry == entries_.end()) return {nullptr, ENOENT};
  EndCall(step);
  return {std::make_unique<FaultInjectingFile>(*this, entry->second, mode != Mode::kRead), 0};
}

int FaultInjectingFileSystem::MakeFolder(const std::string& path) {
  const Step step = BeginCall("mkdir");
  if (step.fault == Fault::kError) return step.error;
  folders_.insert(path);
  EndCall(step);
  return 0;
}

IoResult<std::vector<std::string>> FaultInjectingFileSystem::List(const std::string& folder) {
  const Step step = BeginCall("list");
  if (step.fault == Fault::kError) return {{}, step.error};
  const std::string prefix = folder + "/";
  std::vector<std::string> names;
  for (const auto& [path, node] : entries_) {
    if (path.size() > prefix.size() && path.starts_with(prefix) &&
        path.find('/', prefix.size()) == std::string::npos) {
      names.push_back(path.substr(prefix.size()));
    }
  }
  EndCall(step);
  return {std::move(names), 0};
}

int FaultInjectingFileSystem::Rename(const std::string& from, const std::string& to) {
  const Step step = BeginCall("rename");
  if (step.fault == Fault::kError) return step.error;
  const auto entry = entries_.find(from);
  if (entry == entries_.end()) return ENOENT;
  entries_[to] = entry->second;
  entries_.erase(from);
  EndCall(step);
  return 0;
}

int FaultInjectingFileSystem::Remove(const std::string& path) {
  const Step step = BeginCall("remove");
  if (step.fault == Fault::kError) return step.error;
  const int error = entries_.erase(path) == 0 ? ENOENT : 0;
  EndCall(step);
  return error;
}

int FaultInjectingFileSystem::SyncFolder(const std::string& path) {
  const Step step = BeginCall("sync folder");
  if (step.fault == Fault::kError) return step.error;
  const auto is_inside = [&](const std::string& name) { return name.starts_with(path + "/"); };
  std::erase_if(synced_entries_, [&](const auto& entry) { return is_inside(entry.first); });
  for (const auto& [name, node] : entries_) {
    if (is_inside(name)) synced_entries_[name] = node;
  }
  EndCall(step);
  return 0;
}

IoResult<std::unique_ptr<FileLock>> FaultInjectingFileSystem::Lock(const std::string& path) {
  const Step step = BeginCall("lock");
  if (step.fault == Fault::kError) return {nullptr, step.error};
  if (!locks_.insert(path).second) return {nullptr, EWOULDBLOCK};
  EndCall(step);
  return {std::make_unique<FaultInjectingLock>(*this, path), 0};
}

}  // namespace sagetally
