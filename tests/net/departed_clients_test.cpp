// Tests of clients that have gone: what is in the buffer of their connection is not taken on.
#include <gtest/gtest.h>

#include "http_server_fixture.h"

namespace sagetally {
namespace {

constexpr int kPipelinedRequests = 40;

std::string PipelinedRequests() {
  std::string requests;
  for (int i = 0; i < kPipelinedRequests; ++i) requests += kRequest;
  return requests;
}

Client& ConnectAccepted(ServerFixture& fixture) {
  Client& client = fixture.Connect();
  RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 1; });
  return client;
}

void RunUntilAllAreClosed(ServerFixture& fixture) {
  RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
}

TEST(DepartedClients, RequestsBeforeAResetAreNotHandled) {
  ServerFixture fixture;
  Client& client = ConnectAccepted(fixture);
  ASSERT_TRUE(client.Send(PipelinedRequests()));
  client.Reset();  // before the server has read anything
  RunUntilAllAreClosed(fixture);
  EXPECT_EQ(fixture.request_count, 0);
}

TEST(DepartedClients, RequestsBehindTheOpenOneAreNotHandledAfterAReset) {
  ServerFixture fixture;
  fixture.defer_responses = true;
  Client& client = fixture.Connect(PipelinedRequests());
  RunUntil(fixture.loop, [&] { return fixture.request_count == 1; });
  client.Reset();
  fixture.pending_exchanges.front()->Respond(200);  // before the loop tells of the reset
  RunUntilAllAreClosed(fixture);
  EXPECT_EQ(fixture.request_count, 1);
}

// The end of the input alone does not tell whether the client still reads, so its first request is handled.
TEST(DepartedClients, AtMostOneRequestOfAClosedConnectionIsHandled) {
  ServerFixture fixture;
  ASSERT_TRUE(ConnectAccepted(fixture).Send(PipelinedRequests()));
  fixture.clients.clear();
  RunUntilAllAreClosed(fixture);
  EXPECT_LE(fixture.request_count, 1);
}

}  // namespace
}  // namespace sagetally
