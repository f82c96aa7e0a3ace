// A request that the server has read gets its whole response, even if the server has to evict connections,
// system calls fail with transient errors, the client closes its sending side after pipelined requests, or
// the client reads late.
#include <gtest/gtest.h>
#include <sys/eventfd.h>

#include "../fault_shim/fault_shim.h"
#include "http_server_fixture.h"

namespace sagetally {
namespace {

// More than the socket buffers hold while the client does not read.
constexpr std::size_t kLargeBodyBytes = 16 << 20;
constexpr auto kMaxWait = 3s;

// Injects faults into system calls until the end of the scope. fault_shim.h describes the specification.
class FaultScope {
 public:
  explicit FaultScope(const char* specification) {
    EXPECT_EQ(SagetallyConfigureFaults(specification), 0) << specification;
  }
  ~FaultScope() { SagetallyConfigureFaults(""); }
  FaultScope(const FaultScope&) = delete;
  FaultScope& operator=(const FaultScope&) = delete;
};

// Runs the loop until `is_done()` returns true, but not longer than kMaxWait.
template <typename Condition>
void RunAtMost(EventLoop& loop, Condition is_done) {
  const auto give_up_at = std::chrono::steady_clock::now() + kMaxWait;
  RunUntil(loop, [&] { return is_done() || std::chrono::steady_clock::now() > give_up_at; });
}

// Waits until the client has received `count` responses or the connection is closed.
void AwaitResponsesOrEnd(ServerFixture& fixture, Client& client, int count) {
  RunAtMost(fixture.loop,
            [&] { return client.ResponseCount() >= count || client.has_ended || client.was_reset; });
}

// A response is given and a new connection is accepted in the same iteration of the loop, so the response is
// not written yet when the full server looks for a connection to evict.
TEST(ClientConnectionFaults, DoesNotEvictConnectionWithUnwrittenResponse) {
  ServerFixture fixture(1);
  fixture.defer_responses = true;
  Client& first = fixture.Connect(kRequest);
  RunAtMost(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
  ASSERT_EQ(fixture.pending_exchanges.size(), 1U);
  const FileDescriptor wakeup(::eventfd(1, EFD_NONBLOCK | EFD_CLOEXEC));
  const auto respond = [](evutil_socket_t descriptor, short, void* exchange) {
    eventfd_t count = 0;
    EXPECT_EQ(::eventfd_read(descriptor, &count), 0);
    static_cast<Exchange*>(exchange)->Respond(200);
  };
  // The event's priority makes it run before the listener's.
  const EventPtr respond_event = StartReadEvent(fixture.loop, wakeup.get(), respond,
                                                fixture.pending_exchanges[0].get(), EventPriority::kUrgent);
  fixture.Connect();
  AwaitResponsesOrEnd(fixture, first, 1);
  EXPECT_EQ(first.ResponseCount(), 1);
}

TEST(ClientConnectionFaults, TransientErrorsDoNotCloseAConnection) {
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

TEST(ClientConnectionFaults, AnswersPipelinedRequestsBeforeTheEndOfInput) {
  for (const bool defers_responses : {false, true}) {
    ServerFixture fixture;
    fixture.defer_responses = defers_responses;
    Client& client = fixture.Connect(kRequest + kRequest + kRequest);
    client.EndSending();
    for (std::size_t i = 0; defers_responses && i < 3; ++i) {
      RunAtMost(fixture.loop, [&] { return fixture.pending_exchanges.size() > i; });
      ASSERT_EQ(fixture.pending_exchanges.size(), i + 1);
      fixture.pending_exchanges[i]->Respond(200);
    }
    AwaitResponsesOrEnd(fixture, client, 3);
    EXPECT_EQ(client.ResponseCount(), 3) << "answered later: " << defers_responses;
    RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
    EXPECT_EQ(fixture.server.connection_count(), 0U);
  }
}

// The client closes its sending side within its second request, which can never be complete.
TEST(ClientConnectionFaults, ClosesConnectionAfterHalfARequest) {
  ServerFixture fixture;
  Client& client = fixture.Connect(kRequest + kRequest.substr(0, 10));
  client.EndSending();
  AwaitResponsesOrEnd(fixture, client, 1);
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
  EXPECT_EQ(fixture.server.connection_count(), 0U);
  EXPECT_EQ(fixture.request_count, 1);
}

// Requests that were read before the shutdown are answered, however many arrived at once.
TEST(ClientConnectionFaults, AnswersPipelinedRequestsDuringShutdown) {
  ServerFixture fixture;
  fixture.defer_responses = true;
  Client& client = fixture.Connect(kRequest + kRequest + kRequest);
  RunAtMost(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
  ASSERT_EQ(fixture.pending_exchanges.size(), 1U);
  fixture.defer_responses = false;
  fixture.server.CloseBetweenRequests(true);
  fixture.pending_exchanges[0]->Respond(200);
  AwaitResponsesOrEnd(fixture, client, 3);
  EXPECT_EQ(client.ResponseCount(), 3);
  fixture.WaitForEnd(client);
}

TEST(ClientConnectionFaults, RespondsWith503WhenEvictingWithinARequest) {
  ServerFixture fixture(1);
  Client& first = fixture.Connect(kRequest.substr(0, 10));
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 1; });
  RunFor(fixture.loop, 20ms);  // the server reads the part of the request
  fixture.Connect();
  RunAtMost(fixture.loop, [&] {
    first.Received();
    return first.has_ended || first.was_reset;
  });
  EXPECT_TRUE(first.has_ended);
  EXPECT_NE(first.Received().find("HTTP/1.1 503 "), std::string::npos);
}

// The rest of a partly read request has already arrived when a new connection makes the full server look for
// a connection to evict.
TEST(ClientConnectionFaults, DoesNotEvictConnectionWithUnreadRestOfARequest) {
  ServerFixture fixture(1);
  Client& first = fixture.Connect(kRequest.substr(0, 10));
  RunAtMost(fixture.loop, [&] { return fixture.server.connection_count() == 1; });
  RunFor(fixture.loop, 20ms);
  fixture.Connect();  // the listener becomes readable before the rest of the request arrives
  ASSERT_TRUE(first.Send(kRequest.substr(10)));
  AwaitResponsesOrEnd(fixture, first, 1);
  EXPECT_NE(first.Received().find("HTTP/1.1 200 "), std::string::npos);
}

TEST(ClientConnectionFaults, SendsWholeLastResponseToAClientThatReadsLate) {
  for (const std::string& extra_bytes : {std::string(), kRequest}) {
    ServerFixture fixture;
    fixture.response_body = std::string(kLargeBodyBytes, 'x');
    Client& client = fixture.Connect("GET / HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n" + extra_bytes);
    RunAtMost(fixture.loop, [&] { return fixture.request_count == 1; });
    RunFor(fixture.loop, 500ms);
    RunAtMost(fixture.loop, [&] {
      client.Received();
      return client.has_ended || client.was_reset;
    });
    EXPECT_GT(client.Received().size(), kLargeBodyBytes) << "bytes after the request: " << extra_bytes.size();
  }
}

// accept() also reports errors of single connections, and temporary shortages of descriptors.
TEST(ClientConnectionFaults, StopListeningServesQueuedConnectionsDespiteAcceptErrors) {
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
