// Races between this process's requests to the platform (for endpoint lists, and with notifications) and the
// platform's responses. Many watches run at the same time, so that the protocol's timeouts of seconds are
// waited for only once.
#include <sys/socket.h>

#include "../app/world.h"
#include "net/endpoint_list_watcher.h"
#include "net/notification_client.h"

namespace sagetally {
namespace {

using Clock = std::chrono::steady_clock;

// Returns a list with one endpoint in `state`.
std::string List(int revision, const std::string& state, bool is_full_snapshot = false) {
  return R"({"rev":)" + std::to_string(revision) + R"(,"all":)" + (is_full_snapshot ? "true" : "false") +
         R"(,"targets":[{"uid":"s","endpoint":"127.0.0.1:9","pod_group":7,"state":")" + state +
         R"(","capacity_hint":5,"boot_ms":0}]})";
}

// A stub of discovery whose requests the test answers, and a watcher that already has revision 41.
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
  Clock::time_point updated_at;               // when the last update was received
  Clock::time_point silent_at;                // when discovery sent its last line before it became silent
  SiteSettings site;
  Logger log;
  loadtest::Listener discovery;
  std::unique_ptr<EndpointListWatcher> watcher;
};

// The watch becomes silent after a line, and then discovery has a drain. The next request is never answered,
// rejected late, reset, ended, or answered with a malformed list. The drain must still be received before it
// takes effect, which is 6 + 2 s later.
void ADrainIsReceivedInTimeAfterASilentWatch() {
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

// Discovery rejects requests for a long time and then becomes available again. All dispatchers then request
// their lists in time, in a small fleet and in a large one. Before that, none in the large fleet makes more
// requests than it may.
void ListsAreRequestedInTimeAfterAnOutage() {
  EventLoop loop;
  std::vector<std::unique_ptr<WatcherFixture>> all;
  for (int i = 0; i < 60; ++i) {
    all.push_back(
        std::make_unique<WatcherFixture>(loop, true, i < 30 ? 3 : 300, static_cast<std::uint64_t>(i)));
    all.back()->respond = [](loadtest::Call& call) { call.Answer(503); };
  }
  RunFor(loop, 6s);  // real time, in which the watchers' delays pass
  const auto available_at = Clock::now();
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
  assert(Clock::now() - available_at < 6s);
}

// Some discoveries send indented lists. They may arrive in any pieces, and an empty line between two lists is
// a sign of life.
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

// If nothing has changed, discovery sends the headers at once, and the first line only with its next
// keep-alive.
void AWatchWithoutChangesIsNotLost() {
  EventLoop loop;
  WatcherFixture pushed(loop, false);
  WatcherFixture polled(loop, true);
  for (WatcherFixture* each : {&pushed, &polled}) {
    each->respond = [](loadtest::Call& call) { call.StartChunks(); };
  }
  RunUntil(loop, [&] { return !pushed.requests.empty() && !polled.requests.empty(); });
  RunFor(loop, 2500ms);  // longer than the response timeout
  for (WatcherFixture* each : {&pushed, &polled}) {
    assert(each->requests.size() == 1 && each->last_request().Chunk("\n"));
  }
}

// A malformed list is logged, and the watch is requested again from the known revision on. The response then
// contains what was in the malformed list.
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
    fixture.last_request().Chunk(List(43, "in_service") + "\n");  // ignored after the malformed list
    RunUntil(loop, [&] { return fixture.requests.size() == 2; });
    assert(fixture.requests[1]->target.ends_with("after=41") && fixture.states.empty());
    fixture.last_request().StartChunks();
    fixture.last_request().Chunk(List(42, "terminating") + "\n");
    RunUntil(loop, [&] { return fixture.HasDrained(); });
  }
}

// Guards against the cause of review/1 in lists: one entry that can't be read kept all changes of the others
// from being heard. Its own endpoint must not be used any more.
void AnUnreadableEntryDoesNotHoldUpTheOthers() {
  const auto entry = [](const std::string& uid, const std::string& state) {
    return R"({"uid":")" + uid + R"(","endpoint":"127.0.0.1:9","pod_group":7,"state":")" + state + "\"}";
  };
  const std::string unreadable[] = {entry("bad", "resting"), entry("\xba", "resting"), "3",
                                    R"({"uid":"bad","pod_group":7})", R"({"uid":7,"state":"in_service"})"};
  for (const std::string& bad_entry : unreadable) {
    for (const std::string all : {"true", "false"}) {
      EventLoop loop;
      std::map<std::string, EndpointRecord::State> states;
      WatcherFixture fixture(loop, false);
      fixture.watcher = std::make_unique<EndpointListWatcher>(
          loop, Address{"127.0.0.1", fixture.discovery.port()}, fixture.site, 41, 1,
          [&](const EndpointListUpdate& update) {
            for (const EndpointUpdate& endpoint : update.endpoints) {
              states[endpoint.record.endpoint] = endpoint.record.state;
            }
          },
          fixture.log);
      RunUntil(loop, [&] { return fixture.requests.size() == 2; });
      loadtest::Call& watch = fixture.last_request();
      watch.StartChunks();
      watch.Chunk(R"({"rev":42,"all":)" + all + R"(,"targets":[)" + entry("first", "in_service") + "," +
                  bad_entry + "," + entry("last", "terminating") + "]}\n");
      RunUntil(loop, [&] { return states.contains("last"); });
      assert(states.at("first") == EndpointRecord::State::kUp);
      assert(states.at("last") == EndpointRecord::State::kDraining);
      const bool is_named = bad_entry.find("\"pod_group\"") != std::string::npos;
      assert(states.size() == (is_named && all == "false" ? 3U : 2U));
      for (const char* const name : {"bad", "\xef\xbf\xbd"}) {
        assert(!states.contains(name) || states.at(name) == EndpointRecord::State::kRemoved);
      }
      watch.Chunk(List(43, "terminating") + "\n");  // the watch goes on
      RunUntil(loop, [&] { return states.contains("s"); });
      assert(fixture.requests.size() == 2);
    }
  }
}

// The address of discovery changes during a watch, as by SIGHUP. What the old address still sends is ignored.
void AResponseFromTheOldAddressIsIgnored() {
  EventLoop loop;
  WatcherFixture fixture(loop, false);
  RunUntil(loop, [&] { return !fixture.requests.empty(); });
  std::shared_ptr<loadtest::Call> new_request;
  loadtest::Listener other(loop, {"127.0.0.1", 0}, [&](const auto& call) { new_request = call; });
  fixture.last_request().StartChunks();
  fixture.last_request().Chunk(List(99, "in_service", true) + "\n");  // in transit when the address changes
  fixture.watcher->ChangeAddress({"127.0.0.1", other.port()});
  RunUntil(loop, [&] { return new_request != nullptr; });
  fixture.last_request().Chunk(List(100, "in_service", true) + "\n");
  new_request->StartChunks();
  new_request->Chunk(List(42, "terminating") + "\n");
  RunUntil(loop, [&] { return !fixture.states.empty(); });
  assert(fixture.states.size() == 1 && fixture.HasDrained() && fixture.watcher->revision() == 42);
}

// A list of an older revision from a discovery that lags behind must not put draining endpoints back into
// service. If no newer list arrives in time, discovery has restarted its revision numbers, and the older
// revision is accepted.
void AnOlderRevisionIsAcceptedOnlyAfterATimeout() {
  EventLoop loop;
  WatcherFixture lagging(loop, false);
  WatcherFixture restarted(loop, false);
  for (WatcherFixture* fixture : {&lagging, &restarted}) {
    RunUntil(loop, [&] { return !fixture->requests.empty(); });
    fixture->last_request().StartChunks();
    fixture->last_request().Chunk(List(40, "in_service", true) + "\n");
  }
  lagging.last_request().Chunk(List(41, "terminating") + "\n");
  const auto started_at = Clock::now();
  RunUntil(loop, [&] { return !lagging.states.empty(); });
  assert(lagging.HasDrained() && lagging.states.size() == 1);
  const std::size_t requests_before = restarted.requests.size();
  restarted.respond = [](loadtest::Call& call) {
    call.StartChunks();
    call.Chunk(List(2, "terminating", true) + "\n");
  };
  Timer keep_alive(loop, [&] {
    restarted.requests[0]->Chunk("\n");
    lagging.requests[0]->Chunk("\n");
    keep_alive.Schedule(1s);
  });
  keep_alive.Schedule(1s);
  RunUntil(loop, [&] { return !restarted.states.empty(); });
  // The list counts as announced 4 s after the watch was moved, and a drain takes effect 2 s later.
  assert(Clock::now() - started_at < 6s && restarted.HasDrained() && restarted.watcher->revision() == 2);
  assert(restarted.requests.size() > requests_before && lagging.requests.size() == 1);
}

// A response that states a huge length, or has no end, is not buffered. This limits the use of memory.
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
      return peer.fds.size() > 1;  // the watcher has given the response up and requested the list again
    });
    assert(sent_bytes < 32 * 1024 * 1024 && update_count == 0);
  }
}

// The response to a batch that was given up arrives after the next batch was posted. It must not acknowledge
// the notifications in the next batch.
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
  // The agent does not respond until the batch was given up and the next one, with both notifications, was
  // posted.
  RunUntil(loop, [&] { return posts.size() == 2; });
  posts[0]->Answer(204);
  notify(3);
  RunFor(loop, 50ms);  // the late response has no effect that the test could wait for
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
  ADrainIsReceivedInTimeAfterASilentWatch();
  ListsAreRequestedInTimeAfterAnOutage();
  ListsMayBeIndented();
  AWatchWithoutChangesIsNotLost();
  AMalformedListIsRequestedAgain();
  AnUnreadableEntryDoesNotHoldUpTheOthers();
  AResponseFromTheOldAddressIsIgnored();
  AnOlderRevisionIsAcceptedOnlyAfterATimeout();
  AnEndlessResponseIsNotBuffered();
  ALateResponseAcknowledgesNoOtherNotification();
  std::puts("10 passed, 0 failed");
}
