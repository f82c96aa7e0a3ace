// Races at the HTTP server: a request, a response and a close that happen before the other side learns of it.
#include "../app/world.h"
#include "http_server_fixture.h"

namespace sagetally {
namespace {

// The shutdown comes in the round in which a response was given and not yet written.
void AResponseNotYetWrittenSurvivesTheShutdown() {
  ServerFixture fixture;
  fixture.after_request = [&] { fixture.server.CloseBetweenRequests(); };
  Client& client = fixture.Connect(kRequest);
  fixture.WaitForEnd(client);
  assert(client.ResponseCount() == 1);
}

// A request is unread in the socket, whole or in part, at the shutdown: it is answered, as the last one.
void AnUnreadRequestIsAnsweredAtShutdown() {
  for (const std::size_t first : {kRequest.size(), std::size_t{1}, kRequest.size() - 1}) {
    ServerFixture fixture;
    Client& client = fixture.ConnectAnswered();
    assert(client.Send(kRequest.substr(0, first)));
    fixture.server.CloseBetweenRequests(true);  // before the server has read it
    assert(client.Send(kRequest.substr(first)));
    fixture.WaitForEnd(client);
    assert(client.ResponseCount() == 2 && client.Received().find("Connection: close") != std::string::npos);
  }
}

// The server has ended its side when an idle client's next request arrives: the client sees an end and no
// reset, so that it may send the request elsewhere, and the request is not handled.
void ARequestSentAfterTheShutdownIsNotHandled() {
  ServerFixture fixture;
  Client& client = fixture.ConnectAnswered();
  fixture.server.CloseBetweenRequests();
  assert(client.Send(kRequest));
  fixture.WaitForEnd(client);
  RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
  assert(client.ResponseCount() == 1 && fixture.request_count == 1);
}

// The same after the idle timeout; a connection whose request has come is not idle.
void AnIdleConnectionEndsWithoutAReset() {
  ServerFixture fixture;
  Client& idle = fixture.ConnectAnswered();
  Client& active = fixture.ConnectAnswered();
  const auto begun = std::chrono::steady_clock::now();
  RunUntil(fixture.loop, [&] {
    // Just before the timeout, without a round of the loop until after it.
    if (std::chrono::steady_clock::now() < begun + 3900ms) return false;
    while (std::chrono::steady_clock::now() < begun + 4100ms) continue;
    return active.Send(kRequest);
  });
  RunUntil(fixture.loop, [&] { return active.ResponseCount() == 2; });
  fixture.WaitForEnd(idle);
  assert(idle.ResponseCount() == 1 && !active.has_ended);
}

// Clients in the queue of a listener that closes are served, not reset.
void TheQueueOfAClosingListenerIsServed() {
  ServerFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.Connect(i < 4 ? kRequest : "");
  fixture.server.StopListening();
  fixture.server.CloseBetweenRequests();
  RunUntil(fixture.loop, [&] {
    return std::all_of(fixture.clients.begin(), fixture.clients.end() - 1,
                       [](const auto& client) { return client->ResponseCount() == 1; });
  });
  Client& late = *fixture.clients.back();  // it has sent nothing yet, and does now
  assert(!late.has_ended && late.Send(kRequest));
  RunUntil(fixture.loop, [&] { return late.ResponseCount() == 1; });
  for (const auto& client : fixture.clients) fixture.WaitForEnd(*client);
}

// What a client sends after its last request must not reset the connection before the response is read.
void BytesAfterTheLastRequestDoNotResetTheResponse() {
  ServerFixture fixture;
  fixture.hold_requests = true;
  Client& client = fixture.Connect("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.held_exchanges.size() == 1; });
  assert(client.Send(kRequest + kRequest));
  fixture.held_exchanges[0]->Respond(200);
  fixture.WaitForEnd(client);
  assert(client.ResponseCount() == 1 && fixture.request_count == 1);
}

// It has left, in order or by a reset, when its response is given: the exchange knows, and nothing is
// left.
void AClientThatLeavesAsItIsAnswered() {
  for (const bool resets : {false, true}) {
    ServerFixture fixture;
    fixture.hold_requests = true;
    Client& client = fixture.Connect(kRequest);
    RunUntil(fixture.loop, [&] { return fixture.held_exchanges.size() == 1; });
    if (resets) client.Reset();
    if (!resets) fixture.clients.clear();
    fixture.held_exchanges[0]->Respond(200, std::string(100, 'x'));  // before the server knows
    RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
    assert(!fixture.held_exchanges[0]->Respond(200));
  }
}

// What comes after the timeout is not read as another request.
void AnIncompleteRequestTimesOutWith408() {
  ServerFixture fixture;
  Client& client = fixture.ConnectAnswered();
  assert(client.Send(kRequest.substr(0, 10)));
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 2; });
  assert(client.Received().find("HTTP/1.1 408 ") != std::string::npos);
  client.Send(kRequest);
  fixture.WaitForEnd(client);
  assert(fixture.request_count == 1);
}

// SIGTERM to a whole dispatcher with an idle client, one in the middle of a request, one unread, one in the
// listener's queue and an endpoint that hangs. Every request that was read is answered, in time.
void ShutdownAnswersEveryRequestReceived() {
  World world;
  world.endpoints[0]->default_status = 0;
  world.Start();
  const auto message = [](const std::string& id) {
    return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
           "\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\nX-Envelope: dest=7\r\nContent-Length: 2\r\n\r\nok";
  };
  Client idle(world.dispatcher->port());
  Client half(world.dispatcher->port());
  Client unread(world.dispatcher->port());
  assert(idle.Send(message("idle")) && half.Send(message("half").substr(0, 40)) &&
         unread.Send(message("first")));
  RunUntil(world.loop, [&] {
    return idle.ResponseCount() == 1 && unread.ResponseCount() == 1 && world.CountCalls() == 2;
  });
  assert(unread.Send(message("unread")));
  Client queued(world.dispatcher->port());
  assert(queued.Send(message("queued")));
  const auto begun = std::chrono::steady_clock::now();
  world.dispatcher->Shutdown();
  assert(half.Send(message("half").substr(40)) && idle.Send(message("late")));
  event_base_dispatch(world.loop.base());
  assert(std::chrono::steady_clock::now() - begun < 3700ms);
  world.Kill();
  for (Client* client : {&idle, &half, &unread, &queued}) {
    client->Received();
    assert(client->has_ended && !client->was_reset);
  }
  assert(idle.ResponseCount() == 1 && world.CountCallsOf("late") == 0);  // it came after the end, unread
  assert(half.ResponseCount() == 1 && unread.ResponseCount() == 2 && queued.ResponseCount() == 1);
  world.endpoints[0]->Release();
  world.Start();  // accepted messages are in the journal
  RunUntil(world.loop, [&] {
    return world.CountCallsOf("half") > 0 && world.CountCallsOf("unread") > 0 &&
           world.CountCallsOf("queued") > 0;
  });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  std::signal(SIGPIPE, SIG_IGN);
  AResponseNotYetWrittenSurvivesTheShutdown();
  AnUnreadRequestIsAnsweredAtShutdown();
  ARequestSentAfterTheShutdownIsNotHandled();
  AnIdleConnectionEndsWithoutAReset();
  TheQueueOfAClosingListenerIsServed();
  BytesAfterTheLastRequestDoNotResetTheResponse();
  AClientThatLeavesAsItIsAnswered();
  AnIncompleteRequestTimesOutWith408();
  ShutdownAnswersEveryRequestReceived();
  std::puts("9 passed, 0 failed");
}
