#include "fault_shim.h"

#include <dlfcn.h>
#include <fcntl.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <unistd.h>

#include <atomic>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <memory>
#include <mutex>
#include <vector>

#include "fault_rules.h"

namespace sagetally::fault_shim {
namespace {

constexpr timespec kDelay{0, 5'000'000};  // seconds, nanoseconds

// Returns the C library's function `name`, which this library replaces.
template <typename Function>
Function* LibraryFunction(const char* name) {
  return reinterpret_cast<Function*>(::dlsym(RTLD_NEXT, name));
}

double SteadySeconds() {
  timespec now{};
  ::syscall(SYS_clock_gettime, CLOCK_MONOTONIC, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) / 1e9;
}

// Owns the rules and decides which calls fail. Rules are replaced as a whole. Old rule sets are kept, because
// another thread may still read them.
class Injector {
 public:
  Injector() {
    if (const char* specification = std::getenv(SAGETALLY_FAULTS_VARIABLE)) {
      if (Configure(specification) != 0) {
        std::fprintf(stderr, "fault shim: malformed specification: %s\n", specification);
        std::_Exit(1);
      }
    }
    if (const char* path = std::getenv(SAGETALLY_FAULT_LOG_VARIABLE)) {
      log_ = ::open(path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    }
  }

  int Configure(const char* specification) {
    std::optional<RuleSet> parsed = ParseRules(specification);
    if (!parsed) return -1;
    random_ = parsed->seed * 0x9E3779B97F4A7C15ULL + static_cast<std::uint64_t>(::getpid());
    started_at_ = SteadySeconds();
    const std::lock_guard lock(configure_mutex_);
    rule_sets_.push_back(std::make_unique<RuleSet>(*std::move(parsed)));
    rules_ = rule_sets_.back().get();
    return 0;
  }

  // Returns the rule that applies to this call, or null. Counts and logs the fault.
  const Rule* DrawFault(const char* call, int descriptor) {
    const RuleSet* set = rules_.load();
    if (set == nullptr || set->rules.empty()) return nullptr;
    const double elapsed = SteadySeconds() - started_at_;
    if (elapsed < set->after_seconds || elapsed > set->until_seconds) return nullptr;
    for (const Rule& rule : set->rules) {
      if (rule.call != call || NextRandom() >= rule.probability) continue;
      Record(rule, descriptor, elapsed);
      return &rule;
    }
    return nullptr;
  }

  // Returns by how many seconds the wall clock is moved at the moment.
  double ClockOffset() const {
    const RuleSet* set = rules_.load();
    if (set == nullptr || set->clock_step_seconds == 0) return 0;
    return SteadySeconds() - started_at_ >= set->clock_step_at_seconds ? set->clock_step_seconds : 0;
  }

  long injected() const { return injected_; }

 private:
  // Returns a number from 0 (inclusive) to 1 (exclusive), by the generator splitmix64.
  double NextRandom() {
    std::uint64_t z = random_.fetch_add(0x9E3779B97F4A7C15ULL) + 0x9E3779B97F4A7C15ULL;
    z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
    return static_cast<double>((z ^ (z >> 31U)) >> 11U) / 9007199254740992.0;
  }

  void Record(const Rule& rule, int descriptor, double elapsed) {
    ++injected_;
    if (log_ < 0) return;
    char line[128];
    const int size = std::snprintf(line, sizeof line, "%.6f %d %.3f %s %d %d\n", SteadySeconds(), ::getpid(),
                                   elapsed, rule.call.c_str(), descriptor, rule.error_number);
    ::syscall(SYS_write, log_, line, static_cast<std::size_t>(size));
  }

  std::mutex configure_mutex_;
  std::vector<std::unique_ptr<RuleSet>> rule_sets_;
  std::atomic<const RuleSet*> rules_{nullptr};  // the last element of rule_sets_
  std::atomic<std::uint64_t> random_{1};
  std::atomic<long> injected_{0};
  double started_at_ = 0;
  int log_ = -1;
};

Injector& GlobalInjector() {
  static auto* const injector = new Injector();  // never destroyed, because other threads may use it at exit
  return *injector;
}

bool HasFileType(int descriptor, mode_t type) {
  struct stat status {};
  const int saved_errno = errno;
  const bool matches = ::fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
  errno = saved_errno;
  return matches;
}

// Applies the rules to a call that neither reads nor writes bytes. Returns whether the call must fail, and
// sets errno if so.
bool ShouldFail(const char* call, int descriptor) {
  const Rule* rule = GlobalInjector().DrawFault(call, descriptor);
  if (rule == nullptr) return false;
  if (rule->effect == Effect::kDelay) ::nanosleep(&kDelay, nullptr);
  if (rule->effect != Effect::kError) return false;
  errno = rule->error_number;
  return true;
}

// Applies the rules to a call that reads or writes `size` bytes. Returns how many bytes it may transfer, or
// -1 if it must fail, in which case errno is set.
ssize_t AllowedBytes(const char* call, int descriptor, std::size_t size) {
  const Rule* rule = GlobalInjector().DrawFault(call, descriptor);
  const auto all = static_cast<ssize_t>(size);
  if (rule == nullptr) return all;
  if (rule->effect == Effect::kDelay) ::nanosleep(&kDelay, nullptr);
  if (rule->effect == Effect::kShort) return size > 0 ? 1 : 0;
  if (rule->effect != Effect::kError) return all;
  errno = rule->error_number;
  return -1;
}

std::size_t TotalSize(const iovec* pieces, int count) {
  std::size_t size = 0;
  for (int i = 0; i < count; ++i) size += pieces[i].iov_len;
  return size;
}

// Returns the first byte of the first piece that is not empty.
iovec FirstByte(const iovec* pieces, int count) {
  for (int i = 0; i < count; ++i) {
    if (pieces[i].iov_len > 0) return {pieces[i].iov_base, 1};
  }
  return {nullptr, 0};
}

}  // namespace
}  // namespace sagetally::fault_shim

using sagetally::fault_shim::AllowedBytes;
using sagetally::fault_shim::FirstByte;
using sagetally::fault_shim::GlobalInjector;
using sagetally::fault_shim::HasFileType;
using sagetally::fault_shim::LibraryFunction;
using sagetally::fault_shim::ShouldFail;
using sagetally::fault_shim::TotalSize;

// The functions that replace the C library's have its names and signatures.
// NOLINTBEGIN
extern "C" {

int SagetallyConfigureFaults(const char* specification) { return GlobalInjector().Configure(specification); }
long SagetallyInjectedFaults() { return GlobalInjector().injected(); }

int socket(int domain, int type, int protocol) {
  static auto* const real = LibraryFunction<int(int, int, int)>("socket");
  return ShouldFail("socket", -1) ? -1 : real(domain, type, protocol);
}

int connect(int descriptor, const sockaddr* address, socklen_t size) {
  static auto* const real = LibraryFunction<int(int, const sockaddr*, socklen_t)>("connect");
  return ShouldFail("connect", descriptor) ? -1 : real(descriptor, address, size);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
  static auto* const real = LibraryFunction<int(int, sockaddr*, socklen_t*, int)>("accept4");
  return ShouldFail("accept", descriptor) ? -1 : real(descriptor, address, size, flags);
}

ssize_t readv(int descriptor, const iovec* pieces, int count) {
  static auto* const real = LibraryFunction<ssize_t(int, const iovec*, int)>("readv");
  const std::size_t size = TotalSize(pieces, count);
  const ssize_t allowed = AllowedBytes("readv", descriptor, size);
  if (allowed < 0) return -1;
  if (static_cast<std::size_t>(allowed) == size) return real(descriptor, pieces, count);
  const iovec first = FirstByte(pieces, count);
  return real(descriptor, &first, 1);
}

ssize_t writev(int descriptor, const iovec* pieces, int count) {
  static auto* const real = LibraryFunction<ssize_t(int, const iovec*, int)>("writev");
  const std::size_t size = TotalSize(pieces, count);
  const ssize_t allowed = AllowedBytes("writev", descriptor, size);
  if (allowed < 0) return -1;
  if (static_cast<std::size_t>(allowed) == size) return real(descriptor, pieces, count);
  const iovec first = FirstByte(pieces, count);
  return real(descriptor, &first, 1);
}

ssize_t recv(int descriptor, void* bytes, size_t size, int flags) {
  static auto* const real = LibraryFunction<ssize_t(int, void*, size_t, int)>("recv");
  const ssize_t allowed = AllowedBytes("recv", descriptor, size);
  return allowed < 0 ? -1 : real(descriptor, bytes, static_cast<size_t>(allowed), flags);
}

ssize_t send(int descriptor, const void* bytes, size_t size, int flags) {
  static auto* const real = LibraryFunction<ssize_t(int, const void*, size_t, int)>("send");
  const ssize_t allowed = AllowedBytes("send", descriptor, size);
  return allowed < 0 ? -1 : real(descriptor, bytes, static_cast<size_t>(allowed), flags);
}

ssize_t sendto(int descriptor, const void* bytes, size_t size, int flags, const sockaddr* address,
               socklen_t address_size) {
  static auto* const real =
      LibraryFunction<ssize_t(int, const void*, size_t, int, const sockaddr*, socklen_t)>("sendto");
  return ShouldFail("sendto", descriptor) ? -1 : real(descriptor, bytes, size, flags, address, address_size);
}

int epoll_wait(int descriptor, epoll_event* events, int max_events, int timeout) {
  static auto* const real = LibraryFunction<int(int, epoll_event*, int, int)>("epoll_wait");
  return ShouldFail("epoll_wait", descriptor) ? -1 : real(descriptor, events, max_events, timeout);
}

ssize_t write(int descriptor, const void* bytes, size_t size) {
  static auto* const real = LibraryFunction<ssize_t(int, const void*, size_t)>("write");
  if (!HasFileType(descriptor, S_IFREG)) return real(descriptor, bytes, size);
  const ssize_t allowed = AllowedBytes("write", descriptor, size);
  return allowed < 0 ? -1 : real(descriptor, bytes, static_cast<size_t>(allowed));
}

int fdatasync(int descriptor) {
  static auto* const real = LibraryFunction<int(int)>("fdatasync");
  return ShouldFail("fdatasync", descriptor) ? -1 : real(descriptor);
}

int ftruncate(int descriptor, off_t size) noexcept {
  static auto* const real = LibraryFunction<int(int, off_t)>("ftruncate");
  return ShouldFail("ftruncate", descriptor) ? -1 : real(descriptor, size);
}

int rename(const char* from, const char* to) noexcept {
  static auto* const real = LibraryFunction<int(const char*, const char*)>("rename");
  return ShouldFail("rename", -1) ? -1 : real(from, to);
}

int clock_gettime(clockid_t clock, timespec* time) noexcept {
  const int result = static_cast<int>(::syscall(SYS_clock_gettime, clock, time));
  if (result == 0 && clock == CLOCK_REALTIME)
    time->tv_sec += static_cast<time_t>(GlobalInjector().ClockOffset());
  return result;
}

}  // extern "C"
// NOLINTEND
