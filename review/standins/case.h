// What the cases of the review share: the record, the dispatcher's processes, the platform's agent and the
// settings.
#ifndef SAGETALLY_REVIEW_STANDINS_CASE_H_
#define SAGETALLY_REVIEW_STANDINS_CASE_H_

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

#include <condition_variable>
#include <cstdarg>
#include <fstream>
#include <mutex>
#include <set>
#include <utility>
#include <vector>

#include "http.h"

namespace review {

inline std::string Env(const char* name, const char* fallback = "") {
  const char* value = std::getenv(name);
  return value == nullptr ? fallback : value;
}

// Whether the disruption takes place. TROUBLE=0 leaves it out.
inline bool HasTrouble() { return Env("TROUBLE", "1") != "0"; }

// Writes lines with the time since the start to record.txt.
class Record {
 public:
  Record() : file_(std::fopen(Env("RECORD", "record.txt").c_str(), "w")), start_(NowMs()) {
    if (file_ == nullptr) std::exit(2);
  }
  __attribute__((format(printf, 2, 3))) void Line(const char* format, ...) {
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard lock(mutex_);
    std::fprintf(file_, "%8.3f %s\n", static_cast<double>(NowMs() - start_) / 1000, text);
    std::fflush(file_);
  }
  // Writes a line to the record and to standard output.
  void Say(const std::string& text) {
    Line("%s", text.c_str());
    std::printf("%s\n", text.c_str());
    std::fflush(stdout);
  }

 private:
  std::mutex mutex_;
  std::FILE* file_;
  const std::int64_t start_;
};

// The bytes as text in which everything but plain ASCII is shown as \xHH.
inline std::string Printable(const std::string& bytes) {
  std::string text;
  for (const char c : bytes) {
    const auto byte = static_cast<unsigned char>(c);
    char escaped[8];
    std::snprintf(escaped, sizeof escaped, "\\x%02x", byte);
    text += byte >= 0x20 && byte < 0x7f ? std::string(1, c) : std::string(escaped);
  }
  return text;
}

using Environment = std::vector<std::pair<std::string, std::string>>;

// A process of the program, started by the line `run` of the deploy file from the repository's root. It gets
// SIGKILL when the case ends, however that happens.
class Node {
 public:
  Node(std::string name, Environment environment)
      : name_(std::move(name)), environment_(std::move(environment)) {}
  ~Node() { Kill(); }

  void Start() {
    const std::string run = Env("RUN_LINE");
    const std::string root = Env("ROOT");
    const std::string log = Env("WORK") + "/" + name_ + ".log";
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent || ::chdir(root.c_str()) != 0) ::_exit(127);
    const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(fd, 1);
    ::dup2(fd, 2);
    for (const auto& [key, value] : environment_) ::setenv(key.c_str(), value.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", run.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  // `run` ends in exec, so the process that was started is the program itself.
  void Signal(int number) const {
    if (pid_ > 0) ::kill(pid_, number);
  }
  void Wait() {
    if (pid_ > 0) ::waitpid(pid_, nullptr, 0);
    pid_ = 0;
  }
  void Kill() {
    Signal(SIGKILL);
    Wait();
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    if (pid_ <= 0 || ::waitpid(pid_, nullptr, WNOHANG) == 0) return false;
    pid_ = 0;
    return true;
  }

 private:
  const std::string name_;
  const Environment environment_;
  pid_t pid_ = 0;
};

// Waits until GET /healthz answers 200. Ends the case with 2 if it doesn't within 20 s.
inline void AwaitReady(int port, Record& record) {
  const std::int64_t give_up = NowMs() + 20'000;
  while (NowMs() < give_up) {
    const int fd = Connect(port);
    if (fd >= 0) {
      Connection connection(fd);
      Message answer;
      if (connection.Write("GET /healthz HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") &&
          ReadMessage(connection, answer, NowMs() + 1000) == ReadResult::kMessage && answer.status == 200) {
        return;
      }
    }
    SleepMs(30);
  }
  record.Say("could not run: a node isn't ready");
  std::exit(2);
}

inline std::string MakeFolder(const std::string& name) {
  std::string path = Env("WORK") + "/" + name;
  ::mkdir(path.c_str(), 0700);
  return path;
}

inline std::string WriteFile(const std::string& name, const std::string& text) {
  std::string path = Env("WORK") + "/" + name;
  std::ofstream(path) << text;
  return path;
}

struct ListedEndpoint {
  std::string uid;
  int port = 0;
  int destination = 0;
};

inline std::string EndpointList(const std::vector<ListedEndpoint>& endpoints) {
  std::string targets;
  for (const ListedEndpoint& endpoint : endpoints) {
    targets += (targets.empty() ? "" : ",") + std::string("{\"uid\":\"") + endpoint.uid +
               "\",\"endpoint\":\"127.0.0.1:" + std::to_string(endpoint.port) +
               "\",\"az\":\"recife-1\",\"model\":\"parceiro\",\"pod_group\":" +
               std::to_string(endpoint.destination) +
               ",\"state\":\"in_service\",\"capacity_hint\":50.0,\"boot_ms\":0}";
  }
  return "{\"rev\":1,\"all\":true,\"targets\":[" + targets + "]}";
}

// The settings of a small deployment, with the classes of BRIEF. `deadline_ms` shortens the deadlines.
inline std::string Settings(int deadline_ms = 0) {
  const auto deadline = [&](int usual) { return std::to_string(deadline_ms > 0 ? deadline_ms : usual); };
  return R"({"balancers":2,"ordinal":0,"tick":5,"flavors":["grande-conta","parceiro"],"zones":["recife-1"],"zone":0,)"
         R"("grades":[{"name":"aviso","slo":2000,"deadline":)" +
         deadline(24000) +
         R"(,"idempotency":"pure","credit":1,"lateShare":0.5},)"
         R"({"name":"pedido","slo":2500,"deadline":)" +
         deadline(16000) +
         R"(,"idempotency":"token","group":"all","repeatWindow":10000,"credit":2,"lateShare":0.4},)"
         R"({"name":"pagamento","slo":2500,"deadline":)" +
         deadline(20000) +
         R"(,"idempotency":"side_effect","credit":5,"lateShare":0.3}],)"
         R"("specifics":{"callsOut":20,"bundleMax":[1,1],"kindApart":[false,false],"late":"linear"},)"
         R"("caps":{"mostHeld":400,"maxAttempts":6,"connIdle":15000,"connectTimeout":1500,"cancel":true,"probes":true,)"
         R"("peers":false,"retryAfter":false,"secondCopies":false,"multiplex":1},)"
         R"("rules":{"answerSlack":50,"drainGrace":2000,"coldShare":0.3,"fallMultiple":1.5,"tipAfter":1500,"warmWithin":11000},)"
         R"("discovery":"automatic","weightKind":"rough","loadReport":{"how":"silent","fields":[]}})";
}

inline std::string Config(const std::string& name, int listen, int discovery, const std::string& list,
                          const std::string& settings) {
  const auto address = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
  return "{\"name\":\"" + name + "\",\"listen\":" + address(listen) + ",\"discovery\":" + address(discovery) +
         ",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024,\"disk_"
         "mb\":3}," +
         "\"known\":" + list + ",\"settings\":" + settings + "}";
}

// Writes the answer to a watch and keeps it open, with an empty line every 2 s. Returns when the watch ends.
inline bool ServeWatch(Connection& connection, const std::string& list) {
  const auto chunk = [&](const std::string& text) {
    char size[32];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return connection.Write(size + text + "\r\n");
  };
  if (!connection.Write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") || !chunk(list + "\n"))
    return false;
  while (connection.Fill(NowMs() + 2000) != 0) {
    if (!chunk("\n")) return false;
  }
  return false;
}

}  // namespace review

#endif  // SAGETALLY_REVIEW_STANDINS_CASE_H_
