// Lists and notices: where what our call does crosses what discovery does. Many watches run side by side, so
// that the seconds that the protocol gives are waited for once.
#include <sys/socket.h>

#include "../app/world.h"
#include "net/endpoint_list_watcher.h"
#include "net/notification_client.h"

namespace sagetally {
namespace {

using Clock = std::chrono::steady_clock;

std::string List(int revision, const std::string& state, bool whole = false) {
  return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + (whole ? "true" : "false") +
         R"(,"targets":[{"uid":"s","endpoint":"127.0.0.1:9","pod_group":7,"state":")" + state +
         R"(","capacity_hint":5,"boot_ms":0}]})";
}

// A discovery whose calls the test answers, and a watch on it that holds version 41.
struct Watched {
  Watched(EventLoop& loop, bool on_request, int senders = 3, std::uint64_t seed = 1)
      : discovery(loop, {"127.0.0.1", 0}, [this](const std::shared_ptr<loadtest::Call>& call) {
          calls.push_back(call);
          asked_at.push_back(Clock::now());
          if (answer) answer(*call);
        }) {
    site.policy.endpoint_list_on_request = on_request;
    site.policy.dispatcher_count = senders;
    site.policy.max_poll_interval = 10s;
    watch = std::make_unique<EndpointListWatcher>(
        loop, Address{"127.0.0.1", discovery.port()}, site, 41, seed,
        [this](const EndpointListUpdate& news) {
          for (const EndpointUpdate& e : news.endpoints) heard.push_back(e.record.state);
          heard_at = Clock::now();
        },
        log);
  }
  loadtest::Call& call() { return *calls.back(); }
  bool Drained() const { return !heard.empty() && heard.back() == EndpointRecord::State::kDraining; }
  std::function<void(loadtest::Call&)> answer;
  std::vector<std::shared_ptr<loadtest::Call>> calls;
  std::vector<Clock::time_point> asked_at;
  std::vector<EndpointRecord::State> heard;
  Clock::time_point heard_at, silent_at;
  SiteSettings site;
  Logger log;
  loadtest::Listener discovery;
  std::unique_ptr<EndpointListWatcher> watch;
};

// The watch falls silent after a line, then a drain is listed. The next ask is never answered, refused late,
// reset, ended or spoilt: the drain is heard before it binds, 6 + 2 s later, all the same.
void ASilentWatchHearsOfADrainBeforeItBinds() {
  EventLoop loop;
  std::vector<std::unique_ptr<Watched>> all;
  std::vector<std::unique_ptr<Timer>> late;
  for (const bool on_request : {false, true}) {
    for (int how = 0; how < 5; ++how) {
      all.push_back(std::make_unique<Watched>(loop, on_request));
      Watched& w = *all.back();
      w.answer = [&w, &late, &loop, how](loadtest::Call& call) {
        if (w.calls.size() == 1) {
          call.StartChunks();
          call.Chunk(List(41, "in_service", true) + "\n");
          w.silent_at = Clock::now();
        } else if (w.calls.size() > 2) {
          call.StartChunks();
          call.Chunk(List(42, "terminating") + "\n");
        } else if (how == 1) {
          late.push_back(
              std::make_unique<Timer>(loop, [held = w.calls.back()] { held->Answer(503, "busy\n"); }));
          late.back()->Schedule(1900ms);
        } else if (how == 2) {
          call.Reset();
        } else if (how == 3) {
          call.Answer(200);
        } else if (how == 4) {
          call.StartChunks();
          call.Chunk(List(42, "terminating").substr(0, 60) + "\n\n");
        }  // 0: nothing
      };
    }
  }
  Until(loop, [&] { return std::ranges::all_of(all, [](const auto& w) { return w->Drained(); }); });
  for (const auto& w : all) assert(w->heard_at - w->silent_at < 8s && w->calls.size() <= 4);
}

// Discovery is down, then back: whoever it has refused for long asks again in time, in a small fleet and in a
// large one, and none of them more often than a large fleet may.
void DiscoveryThatComesBackIsAskedInTime() {
  EventLoop loop;
  std::vector<std::unique_ptr<Watched>> all;
  for (int i = 0; i < 60; ++i) {
    all.push_back(std::make_unique<Watched>(loop, true, i < 30 ? 3 : 300, static_cast<std::uint64_t>(i)));
    all.back()->answer = [](loadtest::Call& call) { call.Answer(503); };
  }
  RunFor(loop, 6s);  // the protocol's own time
  const auto back = Clock::now();
  for (int i = 0; i < 60; ++i) {
    assert(i < 30 ? all[static_cast<std::size_t>(i)]->calls.size() >= 6
                  : all[static_cast<std::size_t>(i)]->calls.size() <= 12);
    all[static_cast<std::size_t>(i)]->answer = [](loadtest::Call& call) {
      call.StartChunks();
      call.Chunk(List(42, "terminating") + "\n");
    };
  }
  Until(loop, [&] { return std::ranges::all_of(all, [](const auto& w) { return w->Drained(); }); });
  assert(Clock::now() - back < 6s);
}

// As some discoveries write them, in any pieces; an empty line between two is a sign of life.
void ListsMayBeIndented() {
  EventLoop loop;
  Watched w(loop, false);
  Until(loop, [&] { return !w.calls.empty(); });
  w.call().StartChunks();
  const std::string indented =
      "\n{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": \"s\",\n      "
      "\"endpoint\": "
      "\"127.0.0.1:9\",\n      \"az\": \"a } \\\" { \\\\\",\n      \"pod_group\": 7,\n      \"state\": "
      "\"terminating\",\n      \"capacity_hint\": 1.0,\n      \"boot_ms\": 0\n    }\n  ]\n}\n\n";
  for (const char c : indented) w.call().Chunk(std::string(1, c));
  w.call().Chunk(List(43, "in_service") + List(44, "terminating"));  // and without a line's end
  Until(loop, [&] { return w.heard.size() == 3; });
  assert(w.Drained() && w.watch->revision() == 44 && w.calls.size() == 1);
}

// Nothing has changed: the head comes at once and the first line only with the next sign of life.
void AWatchWithNothingToTellIsNotLost() {
  EventLoop loop;
  Watched w(loop, false), asked(loop, true);
  for (Watched* each : {&w, &asked}) each->answer = [](loadtest::Call& call) { call.StartChunks(); };
  Until(loop, [&] { return !w.calls.empty() && !asked.calls.empty(); });
  RunFor(loop, 2500ms);  // longer than an ask may stay without an answer
  for (Watched* each : {&w, &asked}) assert(each->calls.size() == 1 && each->call().Chunk("\n"));
}

// What can't be read is one log line and a new watch after the version held, whose answer brings what was in
// it.
void AListThatCannotBeReadIsAskedForAgain() {
  const std::string spoilt[] = {"this is no list\n",
                                List(42, "resting") + "\n",
                                R"({"rev":42,"all":)" + std::string("\n\n"),
                                "\xff\xfe{}\n",
                                "[1,2,3]\n",
                                R"({"rev":"x"})"};
  for (const std::string& text : spoilt) {
    EventLoop loop;
    Watched w(loop, false);
    Until(loop, [&] { return !w.calls.empty(); });
    w.call().StartChunks();
    w.call().Chunk(text);
    w.call().Chunk(List(43, "in_service") + "\n");  // nothing behind it is trusted
    Until(loop, [&] { return w.calls.size() == 2; });
    assert(w.calls[1]->target.ends_with("after=41") && w.heard.empty());
    w.call().StartChunks();
    w.call().Chunk(List(42, "terminating") + "\n");
    Until(loop, [&] { return w.Drained(); });
  }
}

// SIGHUP amid an ask: what the old address still answers is nobody's.
void TheOldAddressAnswerNeverWins() {
  EventLoop loop;
  Watched w(loop, false);
  Until(loop, [&] { return !w.calls.empty(); });
  std::shared_ptr<loadtest::Call> at_new;
  loadtest::Listener other(loop, {"127.0.0.1", 0}, [&](const auto& call) { at_new = call; });
  w.call().StartChunks();
  w.call().Chunk(List(99, "in_service", true) + "\n");  // on its way
  w.watch->ChangeAddress({"127.0.0.1", other.port()});
  Until(loop, [&] { return at_new != nullptr; });
  w.call().Chunk(List(100, "in_service", true) + "\n");
  at_new->StartChunks();
  at_new->Chunk(List(42, "terminating") + "\n");
  Until(loop, [&] { return !w.heard.empty(); });
  assert(w.heard.size() == 1 && w.Drained() && w.watch->revision() == 42);
}

// A discovery that lags behind does not bring back what was told to drain; one that counts anew is followed.
void AnOlderListWaitsUntilItIsTheOnlyOne() {
  EventLoop loop;
  Watched lags(loop, false), anew(loop, false);
  for (Watched* w : {&lags, &anew}) {
    Until(loop, [&] { return !w->calls.empty(); });
    w->call().StartChunks();
    w->call().Chunk(List(40, "in_service", true) + "\n");
  }
  lags.call().Chunk(List(41, "terminating") + "\n");
  const auto begun = Clock::now();
  Until(loop, [&] { return !lags.heard.empty(); });
  assert(lags.Drained() && lags.heard.size() == 1);
  const std::size_t calls = anew.calls.size();
  anew.answer = [](loadtest::Call& call) {
    call.StartChunks();
    call.Chunk(List(2, "terminating", true) + "\n");
  };
  Timer beat(loop, [&] {
    anew.calls[0]->Chunk("\n");
    lags.calls[0]->Chunk("\n");
    beat.Schedule(1s);
  });
  beat.Schedule(1s);
  Until(loop, [&] { return !anew.heard.empty(); });
  // As it counts as told 4 s after a move, and binds 2 s later.
  assert(Clock::now() - begun < 6s && anew.Drained() && anew.watch->revision() == 2);
  assert(anew.calls.size() > calls && lags.calls.size() == 1);
}

// Guards the memory: what claims to be endless is not gathered.
void AnAnswerWithoutEndIsNotHeld() {
  for (const std::string& head :
       {std::string("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff0\r\n"),
        std::string("HTTP/1.1 200 OK\r\nX-Endless: "),
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n")}) {
    EventLoop loop;
    std::uint16_t port = 0;
    struct Peer {
      EventLoop& loop;
      std::vector<FileDescriptor> fds = {};
    } peer{loop};
    const ListenerPtr listener = ListenOnLoopback(
        loop,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
          static_cast<Peer*>(self)->fds.emplace_back(fd);
        },
        &peer, port);
    SiteSettings site;
    Logger log;
    int heard = 0;
    EndpointListWatcher watch(
        loop, {"127.0.0.1", port}, site, 0, 1, [&](const EndpointListUpdate&) { ++heard; }, log);
    Until(loop, [&] { return !peer.fds.empty(); });
    assert(::send(peer.fds[0].get(), head.data(), head.size(), MSG_NOSIGNAL) > 0);
    const std::string more(65536, '{');
    std::size_t taken = 0;
    Until(loop, [&] {
      const ssize_t n = ::send(peer.fds[0].get(), more.data(), more.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      taken += n > 0 ? static_cast<std::size_t>(n) : 0;
      return peer.fds.size() > 1;  // it was given up and asked for anew
    });
    assert(taken < 32 * 1024 * 1024 && heard == 0);
  }
}

// The answer to a post that was given up comes after the next one has gone: it ends only what it was asked
// for.
void ALateAnswerEndsNoOtherNotice() {
  EventLoop loop;
  std::vector<std::shared_ptr<loadtest::Call>> posts;
  loadtest::Listener agent(loop, {"127.0.0.1", 0}, [&](const auto& call) { posts.push_back(call); });
  std::vector<std::uint64_t> heard;
  Logger log;
  NotificationClient notices(
      loop, {"127.0.0.1", agent.port()}, NotificationClient::PlatformEncoding(),
      [&](std::uint64_t n) { heard.push_back(n); }, log);
  const auto tell = [&](std::uint64_t number) {
    Message m;
    m.number = number;
    m.request.id = "m" + std::to_string(number);
    m.final_status = FinalStatus::kFailed;
    notices.Notify(m);
  };
  tell(1);
  Until(loop, [&] { return posts.size() == 1; });
  tell(2);
  // The agent stands still until the post is given up and the next one, with both, was sent.
  Until(loop, [&] { return posts.size() == 2; });
  posts[0]->Answer(204);
  tell(3);
  RunFor(loop, 50ms);  // nothing can come of it, so there is nothing to wait for
  assert(heard.empty() && posts[1]->body.find("m2") != std::string::npos);
  posts[1]->Answer(204);
  Until(loop, [&] { return posts.size() == 3; });
  assert(heard == (std::vector<std::uint64_t>{1, 2}) && posts[2]->body.find("m3") != std::string::npos);
  posts[2]->Answer(204);
  Until(loop, [&] { return notices.idle(); });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  ASilentWatchHearsOfADrainBeforeItBinds();
  DiscoveryThatComesBackIsAskedInTime();
  ListsMayBeIndented();
  AWatchWithNothingToTellIsNotLost();
  AListThatCannotBeReadIsAskedForAgain();
  TheOldAddressAnswerNeverWins();
  AnOlderListWaitsUntilItIsTheOnlyOne();
  AnAnswerWithoutEndIsNotHeld();
  ALateAnswerEndsNoOtherNotice();
  std::puts("9 passed, 0 failed");
}
