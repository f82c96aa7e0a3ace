// Races at the HTTP server. In each test, a request, a response or a close happens before the other side
// learns of it.
#include "../app/world.h"
#include "http_server_fixture.h"

namespace sagetally {
namespace {

// The server shuts down in the same iteration of the loop in which a response was given and is not written
// yet.
void AResponseNotYetWrittenIsSentAtShutdown() {
  ServerFixture fixture;
  fixture.after_request = [&] { fixture.server.CloseBetweenRequests(); };
  Client& client = fixture.Connect(kRequest);
  fixture.WaitForEnd(client);
  assert(client.ResponseCount() == 1);
}

// At the shutdown, a request or a part of it is unread in the socket. It is answered, as the connection's
// last request.
void AnUnreadRequestIsAnsweredAtShutdown() {
  for (const std::size_t first_bytes : {kRequest.size(), std::size_t{1}, kRequest.size() - 1}) {
    ServerFixture fixture;
    Client& client = fixture.ConnectAnswered();
    assert(client.Send(kRequest.substr(0, first_bytes)));
    fixture.server.CloseBetweenRequests(true);  // before the server has read it
    assert(client.Send(kRequest.substr(first_bytes)));
    fixture.WaitForEnd(client);
    assert(client.ResponseCount() == 2 && client.Received().find("Connection: close") != std::string::npos);
  }
}

// The server has closed its side when an idle client's next request arrives. The request is not handled, and
// the client sees an end of stream and no reset, so that it may send the request elsewhere.
void ARequestSentAfterTheShutdownIsNotHandled() {
  ServerFixture fixture;
  Client& client = fixture.ConnectAnswered();
  fixture.server.CloseBetweenRequests();
  assert(client.Send(kRequest));
  fixture.WaitForEnd(client);
  RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
  assert(client.ResponseCount() == 1 && fixture.request_count == 1);
}

// Guards against a new connection that gives way, without a response, with its request unread in the socket.
void AConnectionWithAnUnreadRequestDoesNotGiveWayForANewerOne() {
  ServerFixture fixture(2);
  Client& idle = fixture.ConnectAnswered();
  Client& older = fixture.Connect(kRequest);
  Client& newer = fixture.Connect(kRequest);
  fixture.server.StopListening();  // accepts both before the loop reads anything
  RunUntil(fixture.loop, [&] { return older.ResponseCount() == 1 && newer.ResponseCount() == 1; });
  fixture.WaitForEnd(idle);
}

// An idle connection is closed without a reset after the idle timeout. A connection on which a request has
// arrived by then is not idle.
void AnIdleConnectionTimesOutWithoutAReset() {
  ServerFixture fixture;
  Client& idle = fixture.ConnectAnswered();
  Client& active = fixture.ConnectAnswered();
  const auto idle_since = std::chrono::steady_clock::now();
  RunUntil(fixture.loop, [&] {
    // Blocks the loop from just before the idle timeout of 4 s until just after it.
    if (std::chrono::steady_clock::now() < idle_since + 3900ms) return false;
    while (std::chrono::steady_clock::now() < idle_since + 4100ms) continue;
    return active.Send(kRequest);
  });
  RunUntil(fixture.loop, [&] { return active.ResponseCount() == 2; });
  fixture.WaitForEnd(idle);
  assert(idle.ResponseCount() == 1 && !active.has_ended);
}

// Clients in the accept queue of a listener that closes are served and not reset.
void StopListeningServesQueuedConnections() {
  ServerFixture fixture;
  for (int i = 0; i < 5; ++i) fixture.Connect(i < 4 ? kRequest : "");
  fixture.server.StopListening();
  fixture.server.CloseBetweenRequests();
  RunUntil(fixture.loop, [&] {
    return std::all_of(fixture.clients.begin(), fixture.clients.end() - 1,
                       [](const auto& client) { return client->ResponseCount() == 1; });
  });
  Client& late = *fixture.clients.back();  // has sent nothing so far
  assert(!late.has_ended && late.Send(kRequest));
  RunUntil(fixture.loop, [&] { return late.ResponseCount() == 1; });
  for (const auto& client : fixture.clients) fixture.WaitForEnd(*client);
}

// Bytes that a client sends after its last request must not cause a reset before the client reads the
// response.
void BytesAfterTheLastRequestDoNotCauseAReset() {
  ServerFixture fixture;
  fixture.defer_responses = true;
  Client& client = fixture.Connect("GET /healthz HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n");
  RunUntil(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
  assert(client.Send(kRequest + kRequest));
  fixture.pending_exchanges[0]->Respond(200);
  fixture.WaitForEnd(client);
  assert(client.ResponseCount() == 1 && fixture.request_count == 1);
}

// The client has closed or reset its connection when its response is given. The connection is removed, and
// the exchange accepts no further response.
void ResponseToADisconnectedClientClosesTheExchange() {
  for (const bool resets : {false, true}) {
    ServerFixture fixture;
    fixture.defer_responses = true;
    Client& client = fixture.Connect(kRequest);
    RunUntil(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
    if (resets) client.Reset();
    if (!resets) fixture.clients.clear();
    fixture.pending_exchanges[0]->Respond(200, std::string(100, 'x'));  // before the server is notified
    RunUntil(fixture.loop, [&] { return fixture.server.connection_count() == 0; });
    assert(!fixture.pending_exchanges[0]->Respond(200));
  }
}

// An incomplete request is answered with 408 after the timeout. Bytes that arrive later are not read as
// another request.
void AnIncompleteFirstRequestTimesOutWith408() {
  ServerFixture fixture;
  Client& client = fixture.Connect(kRequest.substr(0, 10));
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
  assert(client.Received().find("HTTP/1.1 408 ") != std::string::npos);
  client.Send(kRequest);
  fixture.WaitForEnd(client);
  assert(fixture.request_count == 0);
}

// Half of an answered request comes again. A 408 would answer the client's next request, so the connection
// ends without a response, and no later than a request may take.
void AnIncompleteLaterRequestIsClosedWithoutAResponse() {
  ServerFixture fixture;
  Client& client = fixture.ConnectAnswered();
  const auto started_at = std::chrono::steady_clock::now();
  assert(client.Send(kRequest.substr(0, 10)));
  RunUntil(fixture.loop, [&] {
    client.Received();
    return client.has_ended;
  });
  assert(std::chrono::steady_clock::now() - started_at < 3s);
  client.Send(kRequest);
  fixture.WaitForEnd(client);
  assert(fixture.request_count == 1 && client.ResponseCount() == 1);
}

// While reading is paused, what has been read is answered and nothing more is read; a request of a client
// that has ended its side meanwhile is not lost.
void PausedReadingLeavesRequestsUnread() {
  ServerFixture fixture;
  fixture.defer_responses = true;
  Client& open = fixture.Connect(kRequest);
  RunUntil(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
  fixture.server.PauseReading();
  Client& waiting = fixture.Connect(kRequest);
  Client& half = fixture.Connect(kRequest.substr(0, 10));
  Client& ended = fixture.Connect(kRequest);
  ended.EndSending();
  fixture.pending_exchanges[0]->Respond(200);
  RunUntil(fixture.loop, [&] { return open.ResponseCount() == 1; });
  RunFor(fixture.loop, 50ms);
  assert(fixture.request_count == 1 && fixture.server.CountOpenRequests() == 0);
  assert(fixture.server.ClientsToTransfer().size() == 4);
  fixture.defer_responses = false;
  fixture.server.ResumeReading();
  assert(half.Send(kRequest.substr(10)));
  RunUntil(fixture.loop, [&] {
    return waiting.ResponseCount() == 1 && half.ResponseCount() == 1 && ended.ResponseCount() == 1;
  });
}

std::string Submission(const std::string& id, const std::string& body = "ok") {
  return "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// A copy of an answered request, whole, behind it or amid the next requests, gets no response of its own.
void ARepeatedRequestDoesNotAnswerTheNextOne() {
  ServerFixture fixture;
  Client& client = fixture.Connect(Submission("a") + Submission("a"));
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
  assert(client.Send(Submission("a") + Submission("b") + Submission("a") + Submission("b")));
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 2; });
  assert(client.Send(Submission("c")));
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 3; });
  RunFor(fixture.loop, 100ms);
  assert(client.ResponseCount() == 3 && fixture.request_count == 3 && !client.has_ended);
}

std::string SubmissionWithoutId(const std::string& body = "ok") {
  return "POST /e HTTP/1.1\r\nHost: b\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against review/10: a request without a unique id that a client submits again after its response was
// read, and its connection closed without a response. The response ends the connection, so that it can be
// taken for that to one other request at most if the repetition was a copy.
void ARequestWithoutAnIdThatComesAgainIsAnswered() {
  for (const bool is_by_content : {false, true}) {
    ServerFixture fixture;
    if (is_by_content) fixture.server.SetRequestIdentification(RequestIdentification::kByContent);
    const std::string request = is_by_content ? Submission("a") : SubmissionWithoutId();
    Client& client = fixture.Connect(request);
    RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
    assert(client.Send(request));
    fixture.WaitForEnd(client);
    assert(client.ResponseCount() == 2 && fixture.request_count == 2);
    assert(client.Received().find("Connection: close") != std::string::npos);
  }
}

// A copy that arrives before the response to its original gets no response: its client can't have submitted
// it again. The connection ends.
void ACopyWithoutAnIdThatArrivesBeforeTheResponseIsDropped() {
  const std::size_t size = SubmissionWithoutId().size();
  for (const std::size_t first_bytes : {size, size - 1, std::size_t{1}}) {
    ServerFixture fixture;
    fixture.defer_responses = true;
    Client& client = fixture.Connect(SubmissionWithoutId());
    RunUntil(fixture.loop, [&] { return fixture.pending_exchanges.size() == 1; });
    assert(client.Send(SubmissionWithoutId().substr(0, first_bytes)));
    fixture.pending_exchanges[0]->Respond(200);  // before the server has read it
    RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
    assert(client.Send(SubmissionWithoutId().substr(first_bytes)));
    fixture.WaitForEnd(client);
    assert(client.ResponseCount() == 1 && fixture.request_count == 1);
  }
}

// A repetition whose client goes on with another request without waiting is a copy. It gets no response,
// which the client would take for that to its next request.
void ACopyWithoutAnIdWithTheNextRequestBehindItIsDropped() {
  ServerFixture fixture;
  Client& client = fixture.Connect(SubmissionWithoutId());
  RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
  fixture.response_body = "next";
  assert(client.Send(SubmissionWithoutId() + SubmissionWithoutId("next")));
  fixture.WaitForEnd(client);
  assert(client.ResponseCount() == 2 && client.Received().ends_with("next"));
  assert(fixture.request_count == 3);
}

// Guards against a client that is told 504, which asks it to submit again under the same id, and that then
// gets no response.
void AnIdThatIsAnsweredWith504MayComeAgain() {
  ServerFixture fixture;
  fixture.defer_responses = true;
  Client& client = fixture.Connect(Submission("a"));
  for (const int status : {504, 504, 202}) {
    RunUntil(fixture.loop, [&] { return !fixture.pending_exchanges.empty(); });
    const int responses = client.ResponseCount();
    fixture.pending_exchanges[0]->Respond(status);
    fixture.pending_exchanges.clear();
    RunUntil(fixture.loop, [&] { return client.ResponseCount() > responses; });
    assert(client.Send(Submission("a")));
  }
  RunFor(fixture.loop, 100ms);
  assert(client.ResponseCount() == 3 && fixture.request_count == 3 && !client.has_ended);
}

// What can't be read after an answered request gets no response: half of a copy with the next request behind
// it, a copy cut within its head or its body, and a head that has the ids of two requests.
void UnreadableBytesDoNotAnswerTheNextRequest() {
  const std::string first = Submission("a", std::string(100, 'x'));
  const std::string garbage[] = {
      first.substr(0, first.size() / 4) + Submission("b"),
      first.substr(0, first.size() - 50) + Submission("b"),
      "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: a\r\nX-Request-Id: b\r\nContent-Length: 0\r\n\r\n",
      "nonsense\r\n\r\n"};
  for (const std::string& text : garbage) {
    ServerFixture fixture;
    Client& client = fixture.Connect(first);
    RunUntil(fixture.loop, [&] { return client.ResponseCount() == 1; });
    assert(client.Send(text));
    fixture.WaitForEnd(client);
    assert(client.ResponseCount() == 1 && fixture.request_count == 1);
  }
}

// A whole dispatcher shuts down, as on SIGTERM. One client is idle, one is in the middle of a request, one
// has sent a request that is unread, one is in the listener's queue, and the endpoint does not respond. Every
// request of which at least a part was sent before the shutdown is answered in time.
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
  const auto shutdown_at = std::chrono::steady_clock::now();
  world.dispatcher->Shutdown();
  assert(half.Send(message("half").substr(40)) && idle.Send(message("late")));
  event_base_dispatch(world.loop.base());
  assert(std::chrono::steady_clock::now() - shutdown_at < 3700ms);
  world.Kill();
  for (Client* client : {&idle, &half, &unread, &queued}) {
    client->Received();
    assert(client->has_ended && !client->was_reset);
  }
  assert(idle.ResponseCount() == 1 && world.CountCallsOf("late") == 0);  // sent after the close, and not read
  assert(half.ResponseCount() == 1 && unread.ResponseCount() == 2 && queued.ResponseCount() == 1);
  world.endpoints[0]->Release();
  world.Start();  // replays the accepted messages from the journal
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
  AResponseNotYetWrittenIsSentAtShutdown();
  AnUnreadRequestIsAnsweredAtShutdown();
  ARequestSentAfterTheShutdownIsNotHandled();
  AConnectionWithAnUnreadRequestDoesNotGiveWayForANewerOne();
  AnIdleConnectionTimesOutWithoutAReset();
  StopListeningServesQueuedConnections();
  BytesAfterTheLastRequestDoNotCauseAReset();
  ResponseToADisconnectedClientClosesTheExchange();
  AnIncompleteFirstRequestTimesOutWith408();
  AnIncompleteLaterRequestIsClosedWithoutAResponse();
  PausedReadingLeavesRequestsUnread();
  ARepeatedRequestDoesNotAnswerTheNextOne();
  ARequestWithoutAnIdThatComesAgainIsAnswered();
  ACopyWithoutAnIdThatArrivesBeforeTheResponseIsDropped();
  ACopyWithoutAnIdWithTheNextRequestBehindItIsDropped();
  AnIdThatIsAnsweredWith504MayComeAgain();
  UnreadableBytesDoNotAnswerTheNextRequest();
  ShutdownAnswersEveryRequestReceived();
  std::puts("18 passed, 0 failed");
}
