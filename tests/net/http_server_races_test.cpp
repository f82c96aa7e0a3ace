// Clients: where a request, an answer and a close cross. The clients of these tests are bare sockets on the
// same thread, so what they do between two rounds of the loop has happened before the server hears of it.
#include <sys/socket.h>

#include "../app/world.h"

namespace sagetally {
namespace {

const std::string kAsk = "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n";

class Client {
 public:
  explicit Client(std::uint16_t port) : fd_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_port = htons(port);
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    assert(::connect(fd_.get(), reinterpret_cast<sockaddr*>(&at), sizeof at) == 0);
  }
  bool Say(const std::string& text) {
    return ::send(fd_.get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size());
  }
  void Reset() {
    const linger at_once{1, 0};
    ::setsockopt(fd_.get(), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    fd_ = FileDescriptor();
  }
  // What has come; `ended` once the other side has ended in order, `reset` if it broke.
  const std::string& Got() {
    char text[4096];
    ssize_t n = 0;
    while (!ended && !reset && (n = ::recv(fd_.get(), text, sizeof text, MSG_DONTWAIT)) > 0) {
      got_.append(text, static_cast<std::size_t>(n));
    }
    if (n == 0 && !ended && !reset) ended = true;
    if (n < 0 && errno != EAGAIN) reset = true;
    return got_;
  }
  int Answers() {
    int n = 0;
    for (std::size_t at = 0; (at = Got().find("HTTP/1.1 ", at)) != std::string::npos; ++at) ++n;
    return n;
  }
  bool ended = false, reset = false;

 private:
  FileDescriptor fd_;
  std::string got_;
};

struct ServerWorld {
  explicit ServerWorld(std::size_t connections = 16)
      : server(loop, {"127.0.0.1", 0}, {1024, connections},
               [this](const std::shared_ptr<Exchange>& exchange) {
                 ++asked;
                 if (hold) {
                   held.push_back(exchange);
                 } else {
                   exchange->Respond(200);
                 }
                 if (then) then();
               }) {}
  Client& Add(const std::string& text = "") {
    clients.push_back(std::make_unique<Client>(server.port()));
    assert(clients.back()->Say(text));
    return *clients.back();
  }
  Client& Answered() {  // a resting one
    Client& client = Add(kAsk);
    Until(loop, [&] { return client.Answers() == 1; });
    return client;
  }
  void UntilEnded(Client& client) {
    Until(loop, [&] { return client.Got(), client.ended || client.reset; });
    assert(!client.reset);
  }
  EventLoop loop;
  int asked = 0;
  bool hold = false;
  std::function<void()> then;
  std::vector<std::shared_ptr<Exchange>> held;
  std::vector<std::unique_ptr<Client>> clients;
  HttpServer server;
};

// The shutdown comes in the round in which an answer was given and not yet written.
void AnAnswerNotYetWrittenIsNotClosedUpon() {
  ServerWorld w;
  w.then = [&] { w.server.CloseBetweenRequests(); };
  Client& client = w.Add(kAsk);
  w.UntilEnded(client);
  assert(client.Answers() == 1);
}

// A request stands unread in the socket, whole or in part, as the server shuts: it is answered, and the last.
void AnUnreadRequestIsAnsweredAtShutdown() {
  for (const std::size_t first : {kAsk.size(), std::size_t{1}, kAsk.size() - 1}) {
    ServerWorld w;
    Client& client = w.Answered();
    assert(client.Say(kAsk.substr(0, first)));
    w.server.CloseBetweenRequests(true);  // before the loop has read it
    assert(client.Say(kAsk.substr(first)));
    w.UntilEnded(client);
    assert(client.Answers() == 2 && client.Got().find("Connection: close") != std::string::npos);
  }
}

// The server has ended its side when a resting client's next request arrives: the client hears an end and no
// reset, so that it asks again elsewhere, and the request is not carried out.
void ARequestThatCrossesTheShutdownIsNotCarriedOut() {
  ServerWorld w;
  Client& client = w.Answered();
  w.server.CloseBetweenRequests();
  assert(client.Say(kAsk));
  w.UntilEnded(client);
  Until(w.loop, [&] { return w.server.connections() == 0; });
  assert(client.Answers() == 1 && w.asked == 1);
}

// The same where the server ends what has been idle for long; one whose request has come is not idle.
void AnIdleConnectionEndsInOrder() {
  ServerWorld w;
  Client &rests = w.Answered(), &asks = w.Answered();
  const auto begun = std::chrono::steady_clock::now();
  Until(w.loop, [&] {
    // Just before the end of its time, without a round of the loop until after it.
    if (std::chrono::steady_clock::now() < begun + 3900ms) return false;
    while (std::chrono::steady_clock::now() < begun + 4100ms) continue;
    return asks.Say(kAsk);
  });
  Until(w.loop, [&] { return asks.Answers() == 2; });
  w.UntilEnded(rests);
  assert(rests.Answers() == 1 && !asks.ended);
}

// Who has connected is in the queue of the listener when it closes: served, not reset.
void TheQueueOfAClosingListenerIsServed() {
  ServerWorld w;
  for (int i = 0; i < 5; ++i) w.Add(i < 4 ? kAsk : "");
  w.server.StopListening();
  w.server.CloseBetweenRequests();
  Until(w.loop, [&] {
    return std::all_of(w.clients.begin(), w.clients.end() - 1,
                       [](const auto& c) { return c->Answers() == 1; });
  });
  Client& late = *w.clients.back();  // a new one that has not asked yet, and does now
  assert(!late.ended && late.Say(kAsk));
  Until(w.loop, [&] { return late.Answers() == 1; });
  for (const auto& client : w.clients) w.UntilEnded(*client);
}

// What the client sends behind its last request must not cost it the answer: there is no reset.
void BytesBehindTheLastRequestCostNoAnswer() {
  ServerWorld w;
  w.hold = true;
  Client& client = w.Add("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
  Until(w.loop, [&] { return w.held.size() == 1; });
  assert(client.Say(kAsk + kAsk));
  w.held[0]->Respond(200);
  w.UntilEnded(client);
  assert(client.Answers() == 1 && w.asked == 1);
}

// It has gone, in order or by a reset, when its answer is given: known as gone, and nothing is left of it.
void AClientThatGoesAsItIsAnswered() {
  for (const bool reset : {false, true}) {
    ServerWorld w;
    w.hold = true;
    Client& client = w.Add(kAsk);
    Until(w.loop, [&] { return w.held.size() == 1; });
    if (reset) client.Reset();
    if (!reset) w.clients.clear();
    w.held[0]->Respond(200, std::string(100, 'x'));  // before the loop has told of it
    Until(w.loop, [&] { return w.server.connections() == 0; });
    assert(!w.held[0]->Respond(200));
  }
}

// Half a request is answered as such once its time is over; what comes after that is not read as another one.
void HalfARequestIsToldSo() {
  ServerWorld w;
  Client& client = w.Answered();
  assert(client.Say(kAsk.substr(0, 10)));
  Until(w.loop, [&] { return client.Answers() == 2; });
  assert(client.Got().find("HTTP/1.1 408 ") != std::string::npos);
  client.Say(kAsk);
  w.UntilEnded(client);
  assert(w.asked == 1);
}

// SIGTERM to a whole dispatcher: a client that rests, one amid a request, one unread, one in the listener's
// queue and a partner that hangs. Every request that was read is answered, and it is over in time.
void ShutdownAnswersAllThatHasCome() {
  World w;
  w.endpoints[0]->otherwise = 0;
  w.Start();
  const auto message = [](const std::string& id) {
    return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
           "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nok";
  };
  Client rests(w.dispatcher->port()), half(w.dispatcher->port()), unread(w.dispatcher->port());
  assert(rests.Say(message("rests")) && half.Say(message("half").substr(0, 40)) &&
         unread.Say(message("first")));
  Until(w.loop, [&] { return rests.Answers() == 1 && unread.Answers() == 1 && w.Calls() == 2; });
  assert(unread.Say(message("unread")));
  Client queued(w.dispatcher->port());
  assert(queued.Say(message("queued")));
  const auto begun = std::chrono::steady_clock::now();
  w.dispatcher->Shutdown();
  assert(half.Say(message("half").substr(40)) && rests.Say(message("late")));
  event_base_dispatch(w.loop.base());
  assert(std::chrono::steady_clock::now() - begun < 3700ms);
  w.Kill();
  for (Client* client : {&rests, &half, &unread, &queued}) {
    client->Got();
    assert(client->ended && !client->reset);
  }
  assert(rests.Answers() == 1 && w.CallsOf("late") == 0);  // it came after the end: not read
  assert(half.Answers() == 1 && unread.Answers() == 2 && queued.Answers() == 1);
  w.endpoints[0]->Release();
  w.Start();  // what was taken on is in the journal
  Until(w.loop, [&] { return w.CallsOf("half") > 0 && w.CallsOf("unread") > 0 && w.CallsOf("queued") > 0; });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  AnAnswerNotYetWrittenIsNotClosedUpon();
  AnUnreadRequestIsAnsweredAtShutdown();
  ARequestThatCrossesTheShutdownIsNotCarriedOut();
  AnIdleConnectionEndsInOrder();
  TheQueueOfAClosingListenerIsServed();
  BytesBehindTheLastRequestCostNoAnswer();
  AClientThatGoesAsItIsAnswered();
  HalfARequestIsToldSo();
  ShutdownAnswersAllThatHasCome();
  std::puts("9 passed, 0 failed");
}
