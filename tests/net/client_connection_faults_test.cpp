// A request that the server has read gets its whole response: over a full server, errors of system calls that
// pass, an end of input behind pipelined requests, and clients that read late.
#include <gtest/gtest.h>
#include <sys/eventfd.h>

#include "../fault_shim/fault_shim.h"
#include "http_server_fixture.h"

namespace sagetally {
namespace {

constexpr std::size_t kLargeBody = 16 << 20;  // more than the system holds for a client that reads nothing
constexpr auto kLongestWait = 3s;

// System calls fail by a specification until the end of the scope.
class FaultScope {
 public:
  explicit FaultScope(const char* specification) {
    EXPECT_EQ(SagetallyConfigureFaults(specification), 0) << specification;
  }
  ~FaultScope() { SagetallyConfigureFaults(""); }
  FaultScope(const FaultScope&) = delete;
  FaultScope& operator=(const FaultScope&) = delete;
};

// Runs the loop until `is_done()`, or gives up.
template <typename Condition>
void RunAtMost(EventLoop& loop, Condition is_done) {
  const auto give_up_at = std::chrono::steady_clock::now() + kLongestWait;
  RunUntil(loop, [&] { return is_done() || std::chrono::steady_clock::now() > give_up_at; });
}

void AwaitResponsesOrEnd(ServerFixture& fixture, Client& client, int count) {
  RunAtMost(fixture.loop,
            [&] { return client.ResponseCount() >= count || client.has_ended || client.was_reset; });
}

// The response is given, and a new connection accepted, in one round of the loop: the response is not written
// yet when one of them has to give way.
TEST(ClientConnectionFaults, AResponseNotYetWrittenSurvivesANewConnection) {
  ServerFixture fixture(1);
  fixture.hold_requests = true;
  Client& first = fixture.Connect(kRequest);
  RunAtMost(fixture.loop, [&] { return fixture.held_exchanges.size() == 1; });
  ASSERT_EQ(fixture.held_exchanges.size(), 1U);
  const FileDescriptor wakeup(::eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC));
  const auto respond = [](evutil_socket_t descriptor, short, void* exchange) {
    eventfd_t count = 0;
    EXPECT_EQ(::eventfd_read(descriptor, &count), 0);
    static_cast<Exchange*>(exchange)->Respond(200);
  };
  const EventPtr before_the_listener = StartReadEvent(
      fixture.loop, wakeup.get(), respond, fixture.held_exchanges[0].get(), EventPriority::kUrgent);
  fixture.Connect();
  AwaitResponsesOrEnd(fixture, first, 1);
  EXPECT_EQ(first.ResponseCount(), 1);
}

TEST(ClientConnectionFaults, ErrorsThatPassDoNotEndAConnection) {
  for (const char* specification :
       {"writev:ENOBUFS=0.5", "writev:ENOMEM=0.5", "readv:ENOMEM=0.5", "readv:EINTR=0.5,writev:EINTR=0.5",
        "writev:short=0.5,readv:short=0.5", "accept:EMFILE=0.5", "epoll_wait:EINTR=0.3"}) {
    ServerFixture fixture;
    const FaultScope faults(specification);
    for (int i = 0; i < 10; ++i) {
      Client& client = fixture.Connect(kRequest);
      AwaitResponsesOrEnd(fixture, client, 1);
      EXPECT_EQ(client.ResponseCount(), 1) << specification;
    }
    EXPECT_EQ(fixture.request_count, 10) << specification;
  }
}

TEST(ClientConnectionFaults, RequestsBeforeTheEndOfInputAreAnswered) {
  for (const bool holds : {false, true}) {
    ServerFixture fixture;
    fixture.hold_requests = holds;
    Client& client = fixture.Connect(kRequest + kRequest + kRequest);
    client.EndSending();
    for (std::size_t i = 0; holds && i < 3; ++i) {
      RunAtMost(fixture.loop, [&] { return fixture.held_exchanges.size() > i; });
      ASSERT_EQ(fixture.held_exchanges.size(), i + 1);
      fixture.held_exchanges[i]->Respond(200);
    }
    AwaitResponsesOrEnd(fixture, client, 3);
    EXPECT_EQ(client.ResponseCount(), 3) << "answered later: " << holds;
    RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
    EXPECT_EQ(fixture.server.connection_count(), 0U);
  }
}

// Half a request behind them will never be whole.
TEST(ClientConnectionFaults, HalfARequestBeforeTheEndOfInputEndsTheConnection) {
  ServerFixture fixture;
  Client& client = fixture.Connect(kRequest + kRequest.substr(0, 10));
  client.EndSending();
  AwaitResponsesOrEnd(fixture, client, 1);
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
  EXPECT_EQ(fixture.server.connection_count(), 0U);
  EXPECT_EQ(fixture.request_count, 1);
}

// Requests that were read before the shutdown are answered, however many came at once.
TEST(ClientConnectionFaults, PipelinedRequestsAreAnsweredThroughAShutdown) {
  ServerFixture fixture;
  fixture.hold_requests = true;
  Client& client = fixture.Connect(kRequest + kRequest + kRequest);
  RunAtMost(fixture.loop, [&] { return fixture.held_exchanges.size() == 1; });
  ASSERT_EQ(fixture.held_exchanges.size(), 1U);
  fixture.hold_requests = false;
  fixture.server.CloseBetweenRequests(true);
  fixture.held_exchanges[0]->Respond(200);
  AwaitResponsesOrEnd(fixture, client, 3);
  EXPECT_EQ(client.ResponseCount(), 3);
  fixture.WaitForEnd(client);
}

TEST(ClientConnectionFaults, APartOfARequestThatGivesWayGetsAnError) {
  ServerFixture fixture(1);
  Client& first = fixture.Connect(kRequest.substr(0, 10));
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 1; });
  RunFor(fixture.loop, 20ms);  // it is read
  fixture.Connect();
  RunAtMost(fixture.loop, [&] {
    first.Received();
    return first.has_ended || first.was_reset;
  });
  EXPECT_TRUE(first.has_ended);
  EXPECT_NE(first.Received().find("HTTP/1.1 503 "), std::string::npos);
}

// The rest of the request has come already when a new connection needs the place.
TEST(ClientConnectionFaults, AWholeRequestThatIsReadInPartDoesNotGiveWay) {
  ServerFixture fixture(1);
  Client& first = fixture.Connect(kRequest.substr(0, 10));
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 1; });
  RunFor(fixture.loop, 20ms);
  fixture.Connect();  // the listener is ready before the rest of the request
  ASSERT_TRUE(first.Send(kRequest.substr(10)));
  AwaitResponsesOrEnd(fixture, first, 1);
  EXPECT_NE(first.Received().find("HTTP/1.1 200 "), std::string::npos);
}

TEST(ClientConnectionFaults, AClientThatReadsLateGetsItsLastResponse) {
  for (const std::string& behind : {std::string(), kRequest}) {
    ServerFixture fixture;
    fixture.response_body = std::string(kLargeBody, 'x');
    Client& client = fixture.Connect("GET / HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n" + behind);
    RunAtMost(fixture.loop, [&] { return fixture.request_count == 1; });
    RunFor(fixture.loop, 500ms);
    RunAtMost(fixture.loop, [&] {
      client.Received();
      return client.has_ended || client.was_reset;
    });
    EXPECT_GT(client.Received().size(), kLargeBody) << "bytes behind the request: " << behind.size();
  }
}

// accept() reports errors of single connections, and of descriptors that are short for a moment.
TEST(ClientConnectionFaults, TheQueueOfAClosingListenerSurvivesErrorsOfAccept) {
  for (const char* specification :
       {"accept:ECONNABORTED=0.5", "accept:EINTR=0.5", "accept:EMFILE=0.5", "accept:ENOBUFS=0.5"}) {
    ServerFixture fixture;
    const FaultScope faults(specification);
    for (int i = 0; i < 10; ++i) fixture.Connect(kRequest);
    fixture.server.StopListening();
    fixture.server.CloseBetweenRequests();
    for (const auto& client : fixture.clients) {
      AwaitResponsesOrEnd(fixture, *client, 1);
      EXPECT_EQ(client->ResponseCount(), 1) << specification;
    }
  }
}

}  // namespace
}  // namespace sagetally
