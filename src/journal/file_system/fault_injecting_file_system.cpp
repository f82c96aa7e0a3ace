#include "journal/file_system/fault_injecting_file_system.h"

#include <algorithm>
#include <cerrno>

namespace sagetally {
namespace {

constexpr std::uint64_t kBlock = 512;

std::uint64_t Blocks(std::uint64_t bytes) { return (bytes + kBlock - 1) / kBlock * kBlock; }

}  // namespace

class FaultInjectingFile : public File {
 public:
  FaultInjectingFile(FaultInjectingFileSystem& disk, std::shared_ptr<FaultInjectingFileSystem::Node> node,
                     bool writes)
      : disk_(disk), life_(disk.life_), node_(std::move(node)), writes_(writes) {}

  std::size_t Append(std::string_view bytes, int& error) override {
    const auto step = Next("append");
    error = step.fault == FaultInjectingFileSystem::Fault::kError ? step.error : writes_ ? 0 : EBADF;
    if (error != 0) return 0;
    std::size_t size = bytes.size();
    if (step.fault == FaultInjectingFileSystem::Fault::kShort ||
        step.fault == FaultInjectingFileSystem::Fault::kTorn) {
      size = (size + 1) / 2;
    }
    size = std::min<std::uint64_t>(size, RoomHere());
    if (size == 0 && !bytes.empty()) error = ENOSPC;
    node_->bytes += bytes.substr(0, size);
    disk_.Ended(step);
    return size;
  }
  std::size_t ReadAt(std::uint64_t offset, char* to, std::size_t most, int& error) override {
    const auto step = Next("read");
    error = step.fault == FaultInjectingFileSystem::Fault::kError ? step.error : 0;
    if (error != 0 || offset >= node_->bytes.size()) return 0;
    const std::size_t size = std::min<std::uint64_t>(most, node_->bytes.size() - offset);
    std::copy_n(node_->bytes.data() + offset, size, to);
    disk_.Ended(step);
    return size;
  }
  std::uint64_t Size(int& error) override {
    const auto step = Next("size");
    error = step.fault == FaultInjectingFileSystem::Fault::kError ? step.error : 0;
    disk_.Ended(step);
    return error == 0 ? node_->bytes.size() : 0;
  }
  int Sync() override {
    const auto step = Next("sync");
    if (step.fault == FaultInjectingFileSystem::Fault::kError) {
      // As on Linux: what could not be written is marked clean, and a second sync would pretend.
      node_->bytes = node_->synced;
      return step.error;
    }
    node_->synced = node_->bytes;
    disk_.Ended(step);
    return 0;
  }
  int Truncate(std::uint64_t size) override {
    const auto step = Next("truncate");
    if (step.fault == FaultInjectingFileSystem::Fault::kError) return step.error;
    node_->bytes.resize(size);
    disk_.Ended(step);
    return 0;
  }
  int Allocate(std::uint64_t size) override {
    const auto step = Next("allocate");
    if (step.fault == FaultInjectingFileSystem::Fault::kError) return step.error;
    if (size > node_->bytes.size() && size - node_->bytes.size() > RoomHere()) return ENOSPC;
    node_->bytes.resize(std::max<std::size_t>(node_->bytes.size(), size));
    disk_.Ended(step);
    return 0;
  }

 private:
  FaultInjectingFileSystem::Step Next(const char* what) {
    if (life_ != disk_.life_) throw Crash();  // of a process that is gone
    return disk_.Next(what);
  }
  // What its last block still holds, and the blocks that are free.
  std::uint64_t RoomHere() const {
    if (disk_.capacity == UINT64_MAX) return UINT64_MAX;
    return Blocks(node_->bytes.size()) - node_->bytes.size() + disk_.Room();
  }
  FaultInjectingFileSystem& disk_;
  const std::uint64_t life_;
  std::shared_ptr<FaultInjectingFileSystem::Node> node_;
  const bool writes_;
};

class FaultInjectingLock : public FileLock {
 public:
  FaultInjectingLock(FaultInjectingFileSystem& disk, std::string path)
      : disk_(disk), life_(disk.life_), path_(std::move(path)) {}
  ~FaultInjectingLock() override {
    if (life_ == disk_.life_) disk_.locks_.erase(path_);
  }

 private:
  FaultInjectingFileSystem& disk_;
  const std::uint64_t life_;
  const std::string path_;
};

FaultInjectingFileSystem::FaultInjectingFileSystem(const FaultInjectingFileSystem& other)
    : plan(other.plan),
      capacity(other.capacity),
      folders_(other.folders_),
      locks_(other.locks_),
      calls_(other.calls_),
      life_(other.life_),
      dead_(other.dead_) {
  std::map<const Node*, std::shared_ptr<Node>> copies;
  const auto copy = [&](const Names& from, Names& to) {
    for (const auto& [name, node] : from) {
      std::shared_ptr<Node>& twin = copies[node.get()];
      if (!twin) twin = std::make_shared<Node>(*node);
      to[name] = twin;
    }
  };
  copy(other.names_, names_);
  copy(other.synced_names_, synced_names_);
}

std::uint64_t FaultInjectingFileSystem::Used() const {
  std::uint64_t used = 0;
  for (const auto& [name, node] : names_) used += Blocks(node->bytes.size());
  return used;
}

std::uint64_t FaultInjectingFileSystem::Room() const {
  const std::uint64_t used = Used();
  return used >= capacity ? 0 : (capacity - used) / kBlock * kBlock;
}

FaultInjectingFileSystem::Step FaultInjectingFileSystem::Next(const char* what) {
  if (dead_) throw Crash();
  const Step step = plan ? plan(++calls_, what) : Step{};
  if (!plan) ++calls_;
  if (step.fault == Fault::kCrash) {
    dead_ = true;
    throw Crash();
  }
  return step;
}

void FaultInjectingFileSystem::Ended(const Step& step) {
  if (step.fault != Fault::kCrashAfter && step.fault != Fault::kTorn) return;
  dead_ = true;
  throw Crash();
}

void FaultInjectingFileSystem::Restart() {
  dead_ = false;
  ++life_;
  locks_.clear();
}

void FaultInjectingFileSystem::LosePower() {
  names_ = synced_names_;
  for (auto& [name, node] : names_) {
    node = std::make_shared<Node>(Node{node->synced, node->synced});
  }
  synced_names_ = names_;
  Restart();
}

void FaultInjectingFileSystem::FlipBit(const std::string& path, std::uint64_t byte, int bit) {
  names_.at(path)->bytes.at(byte) ^= static_cast<char>(1 << bit);
}

void FaultInjectingFileSystem::CutOut(const std::string& path, std::uint64_t from, std::uint64_t size) {
  names_.at(path)->bytes.erase(from, size);
}

std::string FaultInjectingFileSystem::Content(const std::string& path) const {
  return names_.at(path)->bytes;
}

void FaultInjectingFileSystem::Put(const std::string& path, std::string content) {
  names_[path] = synced_names_[path] = std::make_shared<Node>(Node{content, content});
}

std::unique_ptr<File> FaultInjectingFileSystem::Open(const std::string& path, Mode mode, int& error) {
  const Step step = Next(mode == Mode::kCreate ? "create" : "open");
  error = step.fault == Fault::kError ? step.error : 0;
  if (error != 0) return nullptr;
  auto at = names_.find(path);
  if (mode == Mode::kCreate) {
    if (at == names_.end()) {
      at = names_.emplace(path, std::make_shared<Node>()).first;
    } else {
      at->second->bytes.clear();
    }
  }
  if (at == names_.end()) {
    error = ENOENT;
    return nullptr;
  }
  Ended(step);
  return std::make_unique<FaultInjectingFile>(*this, at->second, mode != Mode::kRead);
}

int FaultInjectingFileSystem::MakeFolder(const std::string& path) {
  const Step step = Next("mkdir");
  if (step.fault == Fault::kError) return step.error;
  folders_.insert(path);
  Ended(step);
  return 0;
}

std::vector<std::string> FaultInjectingFileSystem::List(const std::string& folder, int& error) {
  const Step step = Next("list");
  error = step.fault == Fault::kError ? step.error : 0;
  std::vector<std::string> names;
  if (error != 0) return names;
  for (const auto& [path, node] : names_) {
    if (path.size() > folder.size() + 1 && path.starts_with(folder) && path[folder.size()] == '/' &&
        path.find('/', folder.size() + 1) == path.npos) {
      names.push_back(path.substr(folder.size() + 1));
    }
  }
  Ended(step);
  return names;
}

int FaultInjectingFileSystem::Rename(const std::string& from, const std::string& to) {
  const Step step = Next("rename");
  if (step.fault == Fault::kError) return step.error;
  const auto at = names_.find(from);
  if (at == names_.end()) return ENOENT;
  names_[to] = at->second;
  names_.erase(from);
  Ended(step);
  return 0;
}

int FaultInjectingFileSystem::Remove(const std::string& path) {
  const Step step = Next("remove");
  if (step.fault == Fault::kError) return step.error;
  const int error = names_.erase(path) == 0 ? ENOENT : 0;
  Ended(step);
  return error;
}

int FaultInjectingFileSystem::SyncFolder(const std::string& path) {
  const Step step = Next("sync folder");
  if (step.fault == Fault::kError) return step.error;
  const auto inside = [&](const std::string& name) { return name.starts_with(path + "/"); };
  std::erase_if(synced_names_, [&](const auto& entry) { return inside(entry.first); });
  for (const auto& [name, node] : names_) {
    if (inside(name)) synced_names_[name] = node;
  }
  Ended(step);
  return 0;
}

std::unique_ptr<FileLock> FaultInjectingFileSystem::Lock(const std::string& path, int& error) {
  const Step step = Next("lock");
  error = step.fault == Fault::kError ? step.error : 0;
  if (error == 0 && !locks_.insert(path).second) error = EWOULDBLOCK;
  if (error != 0) return nullptr;
  Ended(step);
  return std::make_unique<FaultInjectingLock>(*this, path);
}

}  // namespace sagetally
