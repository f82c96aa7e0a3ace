// Case 1: a bad client hands in one message whose id is no UTF-8. Usual clients go on, and a partner refuses
// connections for 18 s, so that messages end by notices. Checks that every message that was taken on has its
// end.
#include "../standins/case.h"

#include <algorithm>

namespace {

using namespace review;

constexpr int kRefusing = 1;  // the destination that refuses connections for a while
constexpr int kSound = 2;
constexpr int kDeadlineMs = 5000;
constexpr int kClients = 16;
constexpr int kIntervalMs = 200;            // of one client: 80 messages a second in all
constexpr int kRefusingPercent = 28;        // of the traffic
constexpr std::int64_t kOutageMs = 18'000;  // from the start of the traffic
constexpr std::int64_t kBadClientAtMs = 3000;
constexpr std::int64_t kTrafficMs = 25'000;
constexpr std::int64_t kGraceMs = 500;          // after its time a message is lost
constexpr char kBadId[] = "pedido-n\xba-0077";  // Latin-1; the byte \xba alone is no UTF-8

struct Submitted {
  std::int64_t due = 0;  // when its time is up
  int destination = 0;
  int answer = 0;
};

std::mutex mutex;
std::map<std::string, Submitted> submitted;
std::map<std::string, std::int64_t> ended;  // by a delivery or a notice: when
int delivered = 0;
int notified = 0;
int unread_posts = 0;
int posts = 0;
std::atomic<int> next_id{0};

// Whether the text is UTF-8 as JSON demands it (RFC 8259, 8.1).
bool IsUtf8(const std::string& text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const int more = lead < 0x80                   ? 0
                     : lead >= 0xc2 && lead < 0xe0 ? 1
                     : (lead & 0xf0) == 0xe0       ? 2
                     : lead >= 0xf0 && lead < 0xf5 ? 3
                                                   : -1;
    if (more < 0 || i + static_cast<std::size_t>(more) >= text.size() + (more == 0 ? 1 : 0)) return false;
    for (int j = 1; j <= more; ++j) {
      if ((static_cast<unsigned char>(text[i + static_cast<std::size_t>(j)]) & 0xc0) != 0x80) return false;
    }
    i += static_cast<std::size_t>(more) + 1;
  }
  return true;
}

std::string JsonText(const std::string& line, const std::string& key) {
  const std::size_t at = line.find("\"" + key + "\":\"");
  if (at == std::string::npos) return "";
  const std::size_t begin = at + key.size() + 4;
  return line.substr(begin, line.find('"', begin) - begin);
}

// The platform: takes each line that it can read, and answers 400 if there is one that it can't.
void TakeNotices(const Message& request, Connection& connection, Record& record) {
  int unread = 0;
  const std::lock_guard lock(mutex);
  ++posts;
  for (std::size_t at = 0; at < request.body.size();) {
    const std::size_t end = std::min(request.body.find('\n', at), request.body.size());
    const std::string line = request.body.substr(at, end - at);
    at = end + 1;
    if (line.empty()) continue;
    const std::string id = JsonText(line, "id");
    if (!IsUtf8(line) || id.empty()) {
      ++unread;
      if (unread_posts < 3) record.Line("platform: can't read the notice %s", Printable(line).c_str());
    } else if (ended.emplace(id, NowMs()).second) {
      ++notified;
      record.Line("platform: notice %s %s", id.c_str(), JsonText(line, "status").c_str());
    }
  }
  if (unread > 0 && unread_posts++ < 3) record.Line("platform: answers 400");
  connection.Write(Answer(unread > 0 ? 400 : 204));
}

std::string Notice(const std::string& id, const char* message_class, int destination, int deadline_ms) {
  return "POST /" + std::string(message_class) + " HTTP/1.1\r\nHost: backend.local\r\nX-Request-Id: " + id +
         "\r\nX-Class: " + message_class + "\r\nX-Deadline: " + std::to_string(deadline_ms) +
         "m\r\nX-Envelope: dest=" + std::to_string(destination) + "\r\nIdempotency-Key: key-" +
         std::to_string(next_id) + "\r\nContent-Length: 5\r\n\r\nhello";
}

// A usual client on one kept connection.
void RunClient(int number, int port, std::int64_t until, Record& record) {
  static constexpr const char* kClasses[] = {"aviso", "aviso", "pedido", "pagamento"};
  std::unique_ptr<Connection> connection;
  SleepMs(number * kIntervalMs / kClients);
  for (int i = number; NowMs() < until; ++i, SleepMs(kIntervalMs)) {
    const int serial = ++next_id;
    char id[32];
    std::snprintf(id, sizeof id, "%016x", static_cast<unsigned>(serial) * 2654435761U);
    const int destination = serial * 37 % 100 < kRefusingPercent ? kRefusing : kSound;
    const std::string text = Notice(id, kClasses[i % 4], destination, kDeadlineMs);
    const std::int64_t sent = NowMs();
    int status = 0;
    for (int attempt = 0; attempt < 2 && status == 0; ++attempt) {
      if (!connection) connection = std::make_unique<Connection>(Connect(port));
      Message answer;
      const bool is_answered =
          connection->Write(text) && ReadMessage(*connection, answer, sent + 400) == ReadResult::kMessage;
      if (is_answered) status = answer.status;
      if (!is_answered || answer.Header("connection") == "close") connection.reset();
    }
    record.Line("client: %s %s dest=%d -> %d", id, kClasses[i % 4], destination, status);
    const std::lock_guard lock(mutex);
    submitted[id] = {sent + kDeadlineMs, destination, status};
  }
}

void SendBadMessage(int port, Record& record) {
  Connection connection(Connect(port));
  Message answer;
  connection.Write(Notice(kBadId, "aviso", kRefusing, 3000));
  const ReadResult result = ReadMessage(connection, answer, NowMs() + 3000);
  record.Say("bad client: id " + Printable(kBadId) + " -> " +
             (result == ReadResult::kMessage ? std::to_string(answer.status) : "no answer"));
}

}  // namespace

int main() {
  Record record;
  const auto serve_partner = [&](const Message& request, Connection& connection) {
    const std::string id = request.Header("x-request-id");
    SleepMs(60);
    const std::lock_guard lock(mutex);
    if (ended.emplace(id, NowMs()).second) ++delivered;
    record.Line("partner: ran %s", Printable(id).c_str());
    return connection.Write(Answer(200));
  };
  // A bound port without a listener refuses connections. The sound partner's server is the other one's when
  // it is up.
  Server sound(serve_partner);
  int refusing_port = 0;
  const int refusing = Bind(0, refusing_port);
  std::atomic<bool> accepts{false};
  std::thread([&] {
    while (!accepts) SleepMs(1);
    ::listen(refusing, 512);
    while (true) {
      const int fd = ::accept4(refusing, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        SleepMs(5);
        continue;
      }
      std::thread([&, fd] {
        Connection connection(fd);
        Message request;
        while (ReadMessage(connection, request, NowMs() + 600'000) == ReadResult::kMessage) {
          if (!serve_partner(request, connection)) return;
        }
      }).detach();
    }
  }).detach();

  const std::string list =
      EndpointList({{"s-refusing", refusing_port, kRefusing}, {"s-sound", sound.port(), kSound}});
  Server agent([&](const Message& request, Connection& connection) {
    if (request.target == "/v1/notices") {
      TakeNotices(request, connection, record);
      return true;
    }
    if (request.target.find("watch=1") != std::string::npos) return ServeWatch(connection, list);
    return connection.Write(Answer(200, list));
  });

  const int listen = FreePort();
  const std::string config =
      WriteFile("config.json", Config("n0", listen, agent.port(), list, Settings(kDeadlineMs)));
  Node node("n0", {{"BALANCER_CONFIG", config}, {"BALANCER_STATE", MakeFolder("state")}});
  node.Start();
  AwaitReady(listen, record);

  const std::int64_t start = NowMs();
  record.Say("partner of destination 1 refuses connections for 18 s");
  std::vector<std::thread> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.emplace_back([&, i] { RunClient(i, listen, start + kTrafficMs, record); });
  }
  SleepMs(kBadClientAtMs);
  if (HasTrouble()) SendBadMessage(listen, record);
  SleepMs(start + kOutageMs - NowMs());
  accepts = true;
  record.Say("partner of destination 1 is back");
  for (std::thread& client : clients) client.join();
  SleepMs(kDeadlineMs + kGraceMs + 3000);

  const std::lock_guard lock(mutex);
  int taken = 0;
  int lost = 0;
  for (const auto& [id, message] : submitted) {
    if (message.answer != 202 && message.answer != 200) continue;
    ++taken;
    const auto end = ended.find(id);
    if (end != ended.end() && end->second <= message.due + kGraceMs) continue;
    ++lost;
    record.Line("lost: %s to destination %d, %s", id.c_str(), message.destination,
                end == ended.end() ? "never ended" : "ended late");
  }
  record.Say(std::to_string(submitted.size()) + " sent by usual clients, " + std::to_string(taken) +
             " taken on, " + std::to_string(delivered) + " delivered, " + std::to_string(notified) +
             " ended by a notice, " + std::to_string(lost) + " lost; " + std::to_string(unread_posts) +
             " of " + std::to_string(posts) + " posts of notices could not be read");
  if (node.HasEnded()) record.Say("the dispatcher has ended by itself");
  if (taken < 500 || notified == 0) {
    record.Say("could not run: too little traffic, or no message that ended by a notice");
    return 2;
  }
  return lost > 0 ? 1 : 0;
}
