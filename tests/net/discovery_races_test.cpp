// Races between this process's requests to the platform and what the platform does: endpoint lists and
// notifications. Many watches run side by side, so that the protocol's seconds pass only once.
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

// A discovery whose requests the test answers, and a watcher of it that knows revision 41.
struct WatcherFixture {
  WatcherFixture(EventLoop& loop, bool on_request, int dispatcher_count = 3, std::uint64_t seed = 1)
      : discovery(loop, {"127.0.0.1", 0}, [this](const std::shared_ptr<loadtest::Call>& request) {
          requests.push_back(request);
          if (respond) respond(*request);
        }) {
    site.policy.endpoint_list_on_request = on_request;
    site.policy.dispatcher_count = dispatcher_count;
    site.policy.max_poll_interval = 10s;
    watcher = std::make_unique<EndpointListWatcher>(
        loop, Address{"127.0.0.1", discovery.port()}, site, 41, seed,
        [this](const EndpointListUpdate& update) {
          for (const EndpointUpdate& endpoint : update.endpoints) states.push_back(endpoint.record.state);
          updated_at = Clock::now();
        },
        log);
  }
  loadtest::Call& last_request() { return *requests.back(); }
  bool HasDrained() const { return !states.empty() && states.back() == EndpointRecord::State::kDraining; }
  std::function<void(loadtest::Call&)> respond;
  std::vector<std::shared_ptr<loadtest::Call>> requests;
  std::vector<EndpointRecord::State> states;  // in the order of the updates
  Clock::time_point updated_at;               // the last one
  Clock::time_point silent_at;
  SiteSettings site;
  Logger log;
  loadtest::Listener discovery;
  std::unique_ptr<EndpointListWatcher> watcher;
};

// The watch falls silent after a line, then a drain is listed. The next request is never answered, rejected
// late, reset, ended or answered with a malformed list: the drain is received before it binds, 6 + 2 s later,
// all the same.
void ADrainIsReceivedBeforeItBindsAfterSilence() {
  EventLoop loop;
  std::vector<std::unique_ptr<WatcherFixture>> all;
  std::vector<std::unique_ptr<Timer>> late_responses;
  enum class Failure { kNoResponse, kLateRejection, kReset, kEnd, kMalformed };
  for (const bool on_request : {false, true}) {
    for (const Failure failure : {Failure::kNoResponse, Failure::kLateRejection, Failure::kReset,
                                  Failure::kEnd, Failure::kMalformed}) {
      all.push_back(std::make_unique<WatcherFixture>(loop, on_request));
      WatcherFixture& fixture = *all.back();
      fixture.respond = [&fixture, &late_responses, &loop, failure](loadtest::Call& call) {
        if (fixture.requests.size() == 1) {
          call.StartChunks();
          call.Chunk(List(41, "in_service", true) + "\n");
          fixture.silent_at = Clock::now();
        } else if (fixture.requests.size() > 2) {
          call.StartChunks();
          call.Chunk(List(42, "terminating") + "\n");
        } else if (failure == Failure::kLateRejection) {
          late_responses.push_back(std::make_unique<Timer>(
              loop, [pending = fixture.requests.back()] { pending->Answer(503, "busy\n"); }));
          late_responses.back()->Schedule(1900ms);
        } else if (failure == Failure::kReset) {
          call.Reset();
        } else if (failure == Failure::kEnd) {
          call.Answer(200);
        } else if (failure == Failure::kMalformed) {
          call.StartChunks();
          call.Chunk(List(42, "terminating").substr(0, 60) + "\n\n");
        }
      };
    }
  }
  RunUntil(loop, [&] {
    return std::ranges::all_of(all, [](const auto& fixture) { return fixture->HasDrained(); });
  });
  for (const auto& fixture : all) {
    assert(fixture->updated_at - fixture->silent_at < 8s && fixture->requests.size() <= 4);
  }
}

// Discovery is down, then back: whomever it has rejected for long asks again in time, in a small fleet and in
// a large one, and none of them more often than a large fleet may.
void DiscoveryThatComesBackIsAskedInTime() {
  EventLoop loop;
  std::vector<std::unique_ptr<WatcherFixture>> all;
  for (int i = 0; i < 60; ++i) {
    all.push_back(
        std::make_unique<WatcherFixture>(loop, true, i < 30 ? 3 : 300, static_cast<std::uint64_t>(i)));
    all.back()->respond = [](loadtest::Call& call) { call.Answer(503); };
  }
  RunFor(loop, 6s);  // the protocol's own time
  const auto back_at = Clock::now();
  for (int i = 0; i < 60; ++i) {
    assert(i < 30 ? all[static_cast<std::size_t>(i)]->requests.size() >= 6
                  : all[static_cast<std::size_t>(i)]->requests.size() <= 12);
    all[static_cast<std::size_t>(i)]->respond = [](loadtest::Call& call) {
      call.StartChunks();
      call.Chunk(List(42, "terminating") + "\n");
    };
  }
  RunUntil(loop, [&] {
    return std::ranges::all_of(all, [](const auto& fixture) { return fixture->HasDrained(); });
  });
  assert(Clock::now() - back_at < 6s);
}

// As some discoveries write them, in any pieces; an empty line between two shows that the watch is alive.
void ListsMayBeIndented() {
  EventLoop loop;
  WatcherFixture fixture(loop, false);
  RunUntil(loop, [&] { return !fixture.requests.empty(); });
  fixture.last_request().StartChunks();
  const std::string indented =
      "\n{\n  \"rev\": 42,\n  \"all\": false,\n  \"targets\": [\n    {\n      \"uid\": "
      "\"s\",\n      "
      "\"endpoint\": "
      "\"127.0.0.1:9\",\n      \"az\": \"a } \\\" { \\\\\",\n      \"pod_group\": 7,\n      "
      "\"state\": "
      "\"terminating\",\n      \"capacity_hint\": 1.0,\n      \"boot_ms\": 0\n    }\n  "
      "]\n}\n\n";
  for (const char c : indented) fixture.last_request().Chunk(std::string(1, c));
  fixture.last_request().Chunk(List(43, "in_service") + List(44, "terminating"));  // and without a newline
  RunUntil(loop, [&] { return fixture.states.size() == 3; });
  assert(fixture.HasDrained() && fixture.watcher->revision() == 44 && fixture.requests.size() == 1);
}

// Nothing has changed: the headers come at once, and the first line only with the next keep-alive.
void AWatchWithoutChangesIsNotLost() {
  EventLoop loop;
  WatcherFixture pushed(loop, false);
  WatcherFixture polled(loop, true);
  for (WatcherFixture* each : {&pushed, &polled}) {
    each->respond = [](loadtest::Call& call) { call.StartChunks(); };
  }
  RunUntil(loop, [&] { return !pushed.requests.empty() && !polled.requests.empty(); });
  RunFor(loop, 2500ms);  // longer than a request may stay without a response
  for (WatcherFixture* each : {&pushed, &polled}) {
    assert(each->requests.size() == 1 && each->last_request().Chunk("\n"));
  }
}

// A malformed list is one log line and a new watch after the known revision, whose response brings what was
// in the list.
void AMalformedListIsRequestedAgain() {
  const std::string malformed[] = {"this is no list\n",
                                   List(42, "resting") + "\n",
                                   R"({"rev":42,"all":)" + std::string("\n\n"),
                                   "\xff\xfe{}\n",
                                   "[1,2,3]\n",
                                   R"({"rev":"x"})"};
  for (const std::string& text : malformed) {
    EventLoop loop;
    WatcherFixture fixture(loop, false);
    RunUntil(loop, [&] { return !fixture.requests.empty(); });
    fixture.last_request().StartChunks();
    fixture.last_request().Chunk(text);
    fixture.last_request().Chunk(List(43, "in_service") + "\n");  // nothing after it is trusted
    RunUntil(loop, [&] { return fixture.requests.size() == 2; });
    assert(fixture.requests[1]->target.ends_with("after=41") && fixture.states.empty());
    fixture.last_request().StartChunks();
    fixture.last_request().Chunk(List(42, "terminating") + "\n");
    RunUntil(loop, [&] { return fixture.HasDrained(); });
  }
}

// SIGHUP during a watch: what the old address still sends is ignored.
void AResponseFromTheOldAddressIsIgnored() {
  EventLoop loop;
  WatcherFixture fixture(loop, false);
  RunUntil(loop, [&] { return !fixture.requests.empty(); });
  std::shared_ptr<loadtest::Call> at_new;
  loadtest::Listener other(loop, {"127.0.0.1", 0}, [&](const auto& call) { at_new = call; });
  fixture.last_request().StartChunks();
  fixture.last_request().Chunk(List(99, "in_service", true) + "\n");  // on its way
  fixture.watcher->ChangeAddress({"127.0.0.1", other.port()});
  RunUntil(loop, [&] { return at_new != nullptr; });
  fixture.last_request().Chunk(List(100, "in_service", true) + "\n");
  at_new->StartChunks();
  at_new->Chunk(List(42, "terminating") + "\n");
  RunUntil(loop, [&] { return !fixture.states.empty(); });
  assert(fixture.states.size() == 1 && fixture.HasDrained() && fixture.watcher->revision() == 42);
}

// A discovery that lags behind does not bring back what is draining; one that counts anew is followed.
void AnOlderRevisionIsFollowedOnlyIfNothingNewerComes() {
  EventLoop loop;
  WatcherFixture lags(loop, false);
  WatcherFixture anew(loop, false);
  for (WatcherFixture* fixture : {&lags, &anew}) {
    RunUntil(loop, [&] { return !fixture->requests.empty(); });
    fixture->last_request().StartChunks();
    fixture->last_request().Chunk(List(40, "in_service", true) + "\n");
  }
  lags.last_request().Chunk(List(41, "terminating") + "\n");
  const auto started_at = Clock::now();
  RunUntil(loop, [&] { return !lags.states.empty(); });
  assert(lags.HasDrained() && lags.states.size() == 1);
  const std::size_t requests_before = anew.requests.size();
  anew.respond = [](loadtest::Call& call) {
    call.StartChunks();
    call.Chunk(List(2, "terminating", true) + "\n");
  };
  Timer keep_alive(loop, [&] {
    anew.requests[0]->Chunk("\n");
    lags.requests[0]->Chunk("\n");
    keep_alive.Schedule(1s);
  });
  keep_alive.Schedule(1s);
  RunUntil(loop, [&] { return !anew.states.empty(); });
  // It counts as announced 4 s after a move, and binds 2 s later.
  assert(Clock::now() - started_at < 6s && anew.HasDrained() && anew.watcher->revision() == 2);
  assert(anew.requests.size() > requests_before && lags.requests.size() == 1);
}

// Bounds memory: a response that claims to be endless is not gathered.
void AnEndlessResponseIsNotBuffered() {
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
    int update_count = 0;
    EndpointListWatcher watcher(
        loop, {"127.0.0.1", port}, site, 0, 1, [&](const EndpointListUpdate&) { ++update_count; }, log);
    RunUntil(loop, [&] { return !peer.fds.empty(); });
    assert(::send(peer.fds[0].get(), head.data(), head.size(), MSG_NOSIGNAL) > 0);
    const std::string more(65536, '{');
    std::size_t sent_bytes = 0;
    RunUntil(loop, [&] {
      const ssize_t size = ::send(peer.fds[0].get(), more.data(), more.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
      sent_bytes += size > 0 ? static_cast<std::size_t>(size) : 0;
      return peer.fds.size() > 1;  // it was given up and requested again
    });
    assert(sent_bytes < 32 * 1024 * 1024 && update_count == 0);
  }
}

// The response to a batch that was given up comes after the next batch was posted: it acknowledges only what
// it was sent for.
void ALateResponseAcknowledgesNoOtherNotification() {
  EventLoop loop;
  std::vector<std::shared_ptr<loadtest::Call>> posts;
  loadtest::Listener agent(loop, {"127.0.0.1", 0}, [&](const auto& call) { posts.push_back(call); });
  std::vector<std::uint64_t> acknowledged;
  Logger log;
  NotificationClient notifications(
      loop, {"127.0.0.1", agent.port()}, NotificationClient::PlatformEncoding(),
      [&](std::uint64_t number) { acknowledged.push_back(number); }, log);
  const auto notify = [&](std::uint64_t number) {
    Message message;
    message.number = number;
    message.request.id = "m" + std::to_string(number);
    message.final_status = FinalStatus::kFailed;
    notifications.Notify(message);
  };
  notify(1);
  RunUntil(loop, [&] { return posts.size() == 1; });
  notify(2);
  // The agent does nothing until the batch is given up and the next one, with both, was posted.
  RunUntil(loop, [&] { return posts.size() == 2; });
  posts[0]->Answer(204);
  notify(3);
  RunFor(loop, 50ms);  // nothing can come of it, so there is nothing to wait for
  assert(acknowledged.empty() && posts[1]->body.find("m2") != std::string::npos);
  posts[1]->Answer(204);
  RunUntil(loop, [&] { return posts.size() == 3; });
  assert(acknowledged == (std::vector<std::uint64_t>{1, 2}) &&
         posts[2]->body.find("m3") != std::string::npos);
  posts[2]->Answer(204);
  RunUntil(loop, [&] { return notifications.is_idle(); });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  ADrainIsReceivedBeforeItBindsAfterSilence();
  DiscoveryThatComesBackIsAskedInTime();
  ListsMayBeIndented();
  AWatchWithoutChangesIsNotLost();
  AMalformedListIsRequestedAgain();
  AResponseFromTheOldAddressIsIgnored();
  AnOlderRevisionIsFollowedOnlyIfNothingNewerComes();
  AnEndlessResponseIsNotBuffered();
  ALateResponseAcknowledgesNoOtherNotification();
  std::puts("9 passed, 0 failed");
}
