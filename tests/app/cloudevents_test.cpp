// The CloudEvents frontend: tables of cases for its parsers, its rules on real sockets, and mixed traffic
// whose outcomes are compared message by message.
#include "frontend/cloudevents/cloud_event.h"
#include "world.h"

namespace sagetally {
namespace {

const char kStructuredType[] = "application/cloudevents+json";
const char kBatchType[] = "application/cloudevents-batch+json";

std::string Event(const std::string& id, const std::string& cls, const std::string& more = "") {
  return R"({"specversion":"1.0","id":")" + id + R"(","source":"/shop","type":"t","messageclass":")" + cls +
         R"(","destination":7,"deadlinems":9000,"idempotencykey":"k-)" + id + "\"" + more + "}";
}
Headers Binary(const std::string& id, const std::string& cls) {
  return {{"ce-specversion", "1.0"},        {"ce-id", id},
          {"ce-source", "/shop"},           {"ce-type", "t"},
          {"ce-destination", "7"},          {"ce-messageclass", cls},
          {"ce-idempotencykey", "k-" + id}, {"Content-Type", "text/plain"},
          {"ce-deadlinems", "9000"}};
}
std::string IdOf(const std::string& id) { return "/shop|" + id; }

void EncodesHeadersInPercentForm() {
  const std::pair<std::string, std::string> table[] = {
      {"plain", "plain"}, {"a b", "a%20b"}, {"50%", "50%25"}, {"\"q\"", "%22q%22"}, {"\xc3\xa9", "%C3%A9"}};
  for (const auto& [text, header] : table) {
    assert(EncodeHeader(text) == header && DecodeHeader(header) == text);
  }
  assert(DecodeHeader("%zz%4") == "%zz%4");
}

void ParsesBinaryStructuredAndBatchMode() {
  const std::tuple<const char*, std::string, std::string> good[] = {
      {kStructuredType, Event("a", "aviso", R"(,"data":{"x": 1})"), R"({"x":1})"},
      {kStructuredType, Event("a", "aviso", R"(,"datacontenttype":"text/plain","data":"hi")"), "hi"},
      {kStructuredType, Event("a", "aviso", R"(,"data_base64":"AAH/")"), std::string("\0\1\xff", 3)},
      {"application/cloudevents+json; charset=utf-8", Event("a", "aviso"), ""}};
  for (const auto& [type, body, data] : good) {
    const auto events = ParseCloudEvents({{"Content-Type", type}}, body);
    assert(events.size() == 1 && events[0].data == data && events[0].attributes.at("destination") == "7");
  }
  assert(ParseCloudEvents({{"Content-Type", kBatchType}}, "[]").empty());
  assert(ParseCloudEvents({{"Content-Type", kBatchType}}, "[" + Event("a", "x") + "," + Event("b", "y") + "]")
             .size() == 2);
  const auto binary = ParseCloudEvents(Binary("a%20b", "aviso"), "bytes");
  assert(binary[0].data == "bytes" && binary[0].attributes.at("id") == "a b");
  assert(binary[0].attributes.at("datacontenttype") == "text/plain");
}

void RejectsMalformedEventsWithReason() {
  const std::tuple<const char*, std::string, const char*> bad[] = {
      {kStructuredType, "{", "JSON"},
      {kStructuredType, "[]", "object"},
      {kStructuredType, R"({"specversion":"1.0","id":"a","source":"s"})", "type"},
      {kStructuredType, R"({"specversion":"0.3","id":"a","source":"s","type":"t"})", "specversion"},
      {kStructuredType, Event("", "aviso"), "id"},
      {kStructuredType, Event("a", "aviso", R"(,"Bad":"x")"), "lower-case"},
      {kStructuredType, Event("a", "aviso", R"(,"bad":1.5)"), "bad"},
      {kStructuredType, Event("a", "aviso", R"(,"data_base64":"?")"), "base64"},
      {kStructuredType, Event("a", "aviso", R"(,"data":1,"data_base64":"AAAA")"), "both"},
      {kBatchType, Event("a", "aviso"), "array"},
      {kBatchType, "[" + Event("a", "aviso") + ",3]", "member 1"},
      {"text/plain", "x", "no event"}};
  for (const auto& [type, body, why] : bad) {
    std::string said;
    try {
      ParseCloudEvents({{"Content-Type", type}}, body);
    } catch (const std::exception& e) {
      said = e.what();
    }
    assert(said.find(why) != std::string::npos);
  }
}

void DeliversBinaryEventAsBinary() {
  World w;
  w.Start();
  const std::string body("\0\1x", 3);
  assert(w.AwaitStatus(w.PostEvent(Binary("e1", "pedido"), body)) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  const ReceivedCall& call = w.endpoints[0]->calls[0];
  assert(call.body == body && call.key == "k-e1" && call.id == IdOf("e1"));
  assert(HeaderValue(call.headers, "ce-id") == "e1" && HeaderValue(call.headers, "ce-source") == "/shop");
  assert(HeaderValue(call.headers, "Content-Type") == "text/plain");
}

void DuplicateEventIsDeliveredOnce() {
  World w;
  w.endpoints[0]->default_status = 0;
  w.Start();
  for (int i = 0; i < 2; ++i)
    assert(w.AwaitStatus(w.PostEvent(Binary("e1", "aviso"), "x")) == 202);  // while it is pending
  RunUntil(w.loop, [&] { return w.CountCalls() == 1; });
  w.endpoints[0]->Release();
  assert(w.AwaitStatus(w.PostEvent(Binary("e2", "aviso"), "x")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf(IdOf("e2")) == 1; });
  assert(w.AwaitStatus(w.PostEvent(Binary("e1", "aviso"), "x")) == 202);  // after its end
  w.Kill();
  w.Start();
  assert(w.AwaitStatus(w.PostEvent(Binary("e1", "aviso"), "x")) == 202);  // and after a restart
  assert(w.AwaitStatus(w.PostEvent(Binary("e3", "aviso"), "x")) == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf(IdOf("e3")) == 1; });
  assert(w.CountCallsOf(IdOf("e1")) == 1);
}

// Guards against remembered ends that fill the journal: the oldest are forgotten, and new messages are
// accepted.
void OldestRememberedEndsAreForgottenForNewMessages() {
  World w;
  w.disk_mb = 1;
  w.Start();
  for (int i = 0; i < 60; ++i) {
    Headers headers = Binary("e" + std::to_string(i), "aviso");
    headers.emplace_back("ce-note", std::string(20000, 'n'));
    assert(w.AwaitStatus(w.PostEvent(headers, "x")) == 202);
    RunUntil(w.loop, [&] { return w.CountCalls() == static_cast<std::size_t>(i) + 1; });
  }
}

void RejectedEventIsAcceptedAsNewMessage() {
  World w(1, 1, 3);
  w.endpoints[0]->default_status = 0;
  w.Start();
  std::string rejected;
  for (int i = 0; rejected.empty(); ++i) {
    const std::string id = "e" + std::to_string(i);
    if (w.AwaitStatus(w.PostEvent(Binary(id, "aviso"), "x")) == 429) rejected = id;
  }
  w.endpoints[0]->Release();
  RunUntil(w.loop, [&] { return w.CountCalls() >= 2; });
  int code = 429;
  while (code == 429) code = w.AwaitStatus(w.PostEvent(Binary(rejected, "aviso"), "x"));
  assert(code == 202);
  RunUntil(w.loop, [&] { return w.CountCallsOf(IdOf(rejected)) == 1; });
}

void BatchIsAcceptedWholeOrNotAtAll() {
  World w(1, 8, 6);
  w.Start();
  const Headers type = {{"Content-Type", kBatchType}};
  const std::string good = "[" + Event("a", "aviso") + "," + Event("b", "pagamento") + "]";
  for (const std::string& bad : {"[" + Event("x", "aviso") + "," + Event("y", "nosuch") + "]",
                                 std::string("[") + Event("x", "aviso")}) {
    assert(w.AwaitStatus(w.PostEvent(type, bad)) == 400);
  }
  std::string many;
  for (int i = 0; i < 7; ++i) many += (i == 0 ? "" : ",") + Event("x" + std::to_string(i), "aviso");
  assert(w.AwaitStatus(w.PostEvent(type, "[" + many + "]")) == 429);
  assert(w.AwaitStatus(w.PostEvent(type, good)) == 202);
  RunUntil(w.loop, [&] { return w.CountCalls() == 2; });
  assert(w.CountCallsOf(IdOf("a")) == 1 && w.CountCallsOf(IdOf("b")) == 1);
}

// Events of one batch follow their own classes, and the sink is notified of their ends until it acknowledges
// them.
void SinkIsNotifiedOfFailuresUntilItAcknowledges() {
  World w;
  std::string received;
  int request_count = 0;
  w.sink = std::make_unique<HttpServer>(w.loop, Address{"127.0.0.1", 0}, HttpServer::Limits{1 << 20, 200},
                                        [&](const std::shared_ptr<Exchange>& e) {
                                          if (request_count++ == 0) return void(e->Respond(503));
                                          received += e->body();
                                          e->Respond(200);
                                        });
  w.endpoints[0]->default_status = 500;
  w.Start();
  const std::string batch = "[" + Event("a", "aviso") + "," + Event("p", "pagamento") + "]";
  assert(w.AwaitStatus(w.PostEvent({{"Content-Type", kBatchType}}, batch)) == 202);
  RunUntil(w.loop, [&] { return received.find("sagetally.undeliverable") != std::string::npos; });
  const auto events = ParseCloudEvents({{"Content-Type", kBatchType}}, received);
  assert(events[0].attributes.at("subject") == "p");
  assert(events[0].data == R"({"source":"/shop","id":"p","status":"undeliverable"})");
  w.endpoints[0]->Release();
  RunUntil(w.loop, [&] { return w.CountCallsOf(IdOf("a")) >= 2; });
  assert(w.CountCallsOf(IdOf("p")) == 1);
}

// The same messages, each sent once through either frontend under the same conditions, have the same
// outcomes.
void BothProtocolsGiveTheSameOutcomes() {
  const std::string classes[] = {"aviso", "pedido", "pagamento"};
  const auto play = [&](bool events_first) {
    World w(1, 4, 40);
    std::string results;
    w.sink = std::make_unique<HttpServer>(w.loop, Address{"127.0.0.1", 0}, HttpServer::Limits{1 << 20, 200},
                                          [&](const std::shared_ptr<Exchange>& e) {
                                            results += e->body();
                                            e->Respond(200);
                                          });
    w.Start();
    std::map<std::string, std::string> outcomes;  // by message: answer, calls, end
    for (int i = 0; i < 24; ++i) {
      const std::string id = "m" + std::to_string(i);
      const std::string class_name = classes[i % 3];
      const bool as_event = (i % 2 == 0) == events_first;
      // One message at a time, so that both plays meet the endpoint in the same state.
      const int variant =
          i % 4;  // 0, 2: delivered; 1: an error first, final for some classes; 3: an unknown class
      w.endpoints[0]->script.clear();
      if (variant == 1) w.endpoints[0]->script = {500};
      const std::string named = variant == 3 ? "nosuch" : class_name;
      ClientRequest& ask = as_event ? w.PostEvent(Binary(id, named), "x") : w.Post(named, id);
      const int code = w.AwaitStatus(ask);
      const std::string at_endpoint = as_event ? IdOf(id) : id;
      const bool fails = variant == 1 && class_name == "pagamento";
      const std::size_t expected = variant == 3 ? 0 : variant == 1 && !fails ? 2 : 1;
      const auto is_notified = [&] {
        return as_event ? results.find("\"id\":\"" + id + "\",\"status\":\"undeliverable\"") != results.npos
                        : w.agent.HasNotice("\"id\":\"" + id + "\",\"status\":\"undeliverable\"");
      };
      RunUntil(w.loop, [&] { return w.CountCallsOf(at_endpoint) >= expected && (!fails || is_notified()); });
      outcomes[id] = std::to_string(code) + " calls " + std::to_string(w.CountCallsOf(at_endpoint)) +
                     (is_notified() ? " undeliverable" : "");
    }
    RunFor(w.loop, 50ms);  // nothing more comes
    return outcomes;
  };
  const auto one = play(true);
  const auto other = play(false);
  assert(one.size() == 24 && one == other);
  std::map<std::string, int> counted;
  for (const auto& [id, outcome] : one) ++counted[outcome];
  assert(counted["400 calls 0"] == 6 && counted["202 calls 1 undeliverable"] == 2);
  assert(counted["202 calls 2"] == 4 && counted["202 calls 1"] == 12);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  EncodesHeadersInPercentForm();
  ParsesBinaryStructuredAndBatchMode();
  RejectsMalformedEventsWithReason();
  DeliversBinaryEventAsBinary();
  DuplicateEventIsDeliveredOnce();
  OldestRememberedEndsAreForgottenForNewMessages();
  RejectedEventIsAcceptedAsNewMessage();
  BatchIsAcceptedWholeOrNotAtAll();
  SinkIsNotifiedOfFailuresUntilItAcknowledges();
  BothProtocolsGiveTheSameOutcomes();
  std::puts("10 passed, 0 failed");
}
