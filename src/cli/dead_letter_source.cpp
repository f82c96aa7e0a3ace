#include "cli/dead_letter_source.h"

#include <sys/socket.h>
#include <sys/un.h>

#include <cstring>
#include <filesystem>
#include <utility>
#include <vector>

#include "base/file_descriptor.h"
#include "dead_letter/operator_requests.h"
#include "dead_letter/rule_files.h"
#include "time/clock.h"

namespace sagetally {
namespace {

using Json = nlohmann::json;

constexpr std::size_t kReadBytes = 65536;

// Sends requests to the control socket of a running node.
class RunningNode : public DeadLetterSource {
 public:
  explicit RunningNode(FileDescriptor socket) : socket_(std::move(socket)) {}
  bool is_running() const override { return true; }

 private:
  std::string ExecuteRequest(const Json& request) override {
    SendAll(request.dump(-1, ' ', false, Json::error_handler_t::replace) + "\n");
    return ReadLine();
  }

  void SendAll(const std::string& text) {
    std::size_t sent = 0;
    while (sent < text.size()) {
      const ssize_t size = ::send(socket_.get(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
      if (size <= 0) throw DeadLetterSourceError("the node closed the control socket");
      sent += static_cast<std::size_t>(size);
    }
  }

  std::string ReadLine() {
    std::size_t end = 0;
    while ((end = received_.find('\n')) == std::string::npos) {
      char chunk[kReadBytes];
      const ssize_t size = ::recv(socket_.get(), chunk, sizeof chunk, 0);
      if (size <= 0) throw DeadLetterSourceError("the node closed the control socket");
      received_.append(chunk, static_cast<std::size_t>(size));
    }
    std::string line = received_.substr(0, end);
    received_.erase(0, end + 1);
    return line;
  }

  FileDescriptor socket_;
  std::string received_;
};

// Executes requests on the database file of a stopped node, read-only.
class StoppedNode : public DeadLetterSource {
 public:
  StoppedNode(const std::string& path, std::optional<dead_letter::ReviewSettings> review)
      : review_(std::move(review)), database_(ReadOnlySettings(path)) {}
  bool is_running() const override { return false; }

 private:
  static dead_letter::Database::Settings ReadOnlySettings(const std::string& path) {
    dead_letter::Database::Settings settings;
    settings.path = path;
    settings.read_only = true;
    return settings;
  }

  std::string ExecuteRequest(const Json& request) override {
    const std::vector<std::string> classes = review_ ? review_->class_names : std::vector<std::string>();
    const dead_letter::OperatorRequest operation = dead_letter::ParseOperatorRequest(request.dump(), classes);
    if (operation.IsWrite()) {
      throw DeadLetterRequestRejected("the node is stopped: its store can only be read");
    }
    return dead_letter::OkLine(dead_letter::ExecuteOperatorRequest(
        operation, database_, review_ ? &*review_ : nullptr, clock_.CurrentTimestamp()));
  }

  const std::optional<dead_letter::ReviewSettings> review_;
  dead_letter::Database database_;
  SystemClock clock_;
};

// Returns a connected socket, or an empty descriptor if no process listens at `path`.
FileDescriptor ConnectTo(const std::string& path) {
  sockaddr_un address{};
  address.sun_family = AF_UNIX;
  if (path.size() >= sizeof address.sun_path) return FileDescriptor();
  std::memcpy(address.sun_path, path.data(), path.size());
  FileDescriptor socket(::socket(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0));
  if (::connect(socket.get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    return FileDescriptor();
  }
  return socket;
}

}  // namespace

Json DeadLetterSource::SendRequest(Json request) {
  request["v"] = dead_letter::kControlVersion;
  Json response = Json::parse(ExecuteRequest(request), nullptr, false);
  if (!response.is_object()) throw DeadLetterSourceError("the node's response is not a JSON object");
  if (!response.value("ok", false)) throw DeadLetterRequestRejected(response.value("error", "refused"));
  return response;
}

std::unique_ptr<DeadLetterSource> OpenDeadLetterSource(const std::string& state, const Options& options) {
  if (FileDescriptor socket = ConnectTo(dead_letter::SocketPath(state)); socket.get() >= 0) {
    return std::make_unique<RunningNode>(std::move(socket));
  }
  for (const std::string& folder : {state + "/kept", state}) {
    const std::string path = dead_letter::DatabasePath(folder);
    if (std::filesystem::exists(path)) {
      return std::make_unique<StoppedNode>(path, ReadReviewSettings(options));
    }
  }
  throw std::runtime_error(state + ": expected a running node's state folder or one with kept/kept.db");
}

std::optional<dead_letter::ReviewSettings> ReadReviewSettings(const Options& options) {
  if (options.config.empty()) return std::nullopt;
  const Config config = options.ReadConfiguration({.discovery = false, .state = false});
  const NodeFile node_file = options.ReadNode();
  return dead_letter::MakeReviewSettings(config.site, node_file.dead_letters.value_or(DeadLetterSettings()));
}

}  // namespace sagetally
