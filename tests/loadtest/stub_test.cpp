// Tests the stub servers on sockets: a client observes each fault, the checker reports each violated rule,
// and a run without violations has no report.
#undef NDEBUG
#include <algorithm>
#include <cassert>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <map>

#include "loadtest/clock.h"
#include "loadtest/load/client.h"
#include "loadtest/stub/stub_server_set.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;
constexpr Duration kResponseTimeout = std::chrono::milliseconds(150);

// Stub servers and their client on one event loop.
struct Fixture {
  explicit Fixture(const Json& json)
      : stubs(loop, StubServerSettingsFromJson(json)),
        clients(loop,
                {{"127.0.0.1", stubs.partners.empty() ? stubs.agent->port() : stubs.partners[0]->port()}}, 32,
                kResponseTimeout) {}
  // Starts a call. The loop stops when no call is in flight any more.
  void Post(const std::string& id, const std::string& key = "", const std::string& path = "/hook") {
    std::string text =
        "POST " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nContent-Length: 1\r\n";
    if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
    ++in_flight;
    clients.Send(text + "\r\nx", [this](const Reply& reply) {
      codes.push_back(reply.code);
      if (--in_flight == 0) loop.Break();
    });
  }
  // Makes one call and returns its status code, or 0 without a response.
  int Call(const std::string& id, const std::string& key = "", const std::string& path = "/hook") {
    Post(id, key, path);
    loop.Run();
    return codes.back();
  }
  void Wait(Duration d) {
    Timer timer(loop, [&] { loop.Break(); });
    timer.Schedule(d);
    loop.Run();
  }
  // The name of the violated rule, or the number of violations if it isn't one.
  std::string ViolatedRule() const {
    const Checker& checker = stubs.checker;
    return checker.count() == 1 ? checker.violations()[0].rule : std::to_string(checker.count());
  }
  // How often the message took effect.
  std::int64_t Effects(const std::string& id) const {
    return std::count_if(stubs.observations.begin(), stubs.observations.end(),
                         [&](const Observation& observation) {
                           return observation.kind == ObservationKind::kEffect && observation.id == id;
                         });
  }
  EventLoop loop;
  StubServerSet stubs;
  HttpClientPool clients;
  int in_flight = 0;
  std::vector<int> codes;
};

std::string Id(int number, Idempotency idempotency = Idempotency::kIdempotent, int destination = 7) {
  return ToText({1, number, 0, destination, idempotency});
}
Json Partner(const Json& more = Json::object(), const Json& timeline = Json::array()) {
  Json partner = {{"uid", "p"}, {"destination", 7}};
  if (more.is_object()) partner.update(more);
  return {
      {"partners", {partner}}, {"timeline", timeline}, {"rules", {{"slots", 4}, {"repeat_window_ms", 400}}}};
}
Json AlwaysFault(const char* fault) { return {{{"fault", fault}, {"ms", 60}, {"times", 50}}}; }

void ClientObservesEachFault() {
  struct Row {
    const char* fault;
    int code;                // status code of the client's response; 0 if there is none
    double effects_of_four;  // how often four messages take effect together
  };
  const Row table[] = {{"well", 200, 4},   {"slow", 200, 4}, {"silent", 0, 2},  {"late", 0, 4},
                       {"refuse", 503, 0}, {"full", 429, 0}, {"error", 500, 2}, {"reset", 0, 2},
                       {"half", 0, 4},     {"spoilt", 0, 4}, {"twice", 200, 8}, {"shut", 0, 0}};
  for (const Row& row : table) {
    Fixture fixture(Partner({}, AlwaysFault(row.fault)));
    std::int64_t effects = 0;
    for (int i = 0; i < 4; ++i) {
      const int code = fixture.Call(Id(i));
      if (code != row.code) std::fprintf(stderr, "%s: %d\n", row.fault, code);
      assert(code == row.code);
      if (std::string(row.fault) == "full") fixture.Wait(std::chrono::milliseconds(70));
    }
    fixture.Wait(std::chrono::milliseconds(80));
    for (int i = 0; i < 4; ++i) effects += fixture.Effects(Id(i));
    assert(static_cast<double>(effects) == row.effects_of_four && fixture.stubs.checker.count() == 0);
  }
  // While the server pauses, the kernel accepts a connection, and the response comes after the pause.
  Fixture fixture(Partner({}, {{{"fault", "pause"}, {"for_ms", 120}}}));
  assert(fixture.Call(Id(1)) == 200 && NowUs() - fixture.stubs.started_us() >= 119'000);
  assert(fixture.Call(Id(2), "", "/other") == 404);
}

void PartnerLimitsRejectCalls() {
  // Starts `count` calls at once and counts their responses by status code.
  const auto codes = [](Fixture& fixture, int count) {
    for (int i = 0; i < count; ++i) fixture.Post(Id(100 + i));
    fixture.loop.Run();
    std::map<int, int> by_code;
    for (const int code : fixture.codes) ++by_code[code];
    return by_code;
  };
  const Json slow = {{"kind", "constant"}, {"value", 30}};
  Fixture capacity(Partner({{"capacity", 1}, {"queue", 1}, {"service_ms", slow}}));
  auto by_code = codes(capacity, 4);
  assert(by_code[200] == 2 && by_code[503] == 2);
  Fixture rate(Partner({{"rate", 5}, {"burst", 2}}));
  by_code = codes(rate, 4);
  assert(by_code[200] == 2 && by_code[429] == 2);
  Fixture quiet(Partner({{"rate", 5}, {"burst", 2}, {"tell_waits", false}}));
  assert(codes(quiet, 4)[503] == 2);
  Fixture window(Partner({{"window_calls", 3}, {"window_ms", 100}}));
  assert(codes(window, 4)[429] == 1);
  window.Wait(std::chrono::milliseconds(120));
  assert(window.Call(Id(1)) == 200);
  Fixture connections(Partner({{"connections", 1}, {"service_ms", slow}}));
  by_code = codes(connections, 3);
  assert(by_code[200] == 1 && by_code[0] == 2);
  Fixture cold(Partner({{"cold_ms", 5000}, {"cold_times", 3}, {"service_ms", slow}}));
  const std::int64_t before = NowUs();
  assert(cold.Call(Id(1)) == 200 && NowUs() - before >= 89'000);
  Fixture keys(Partner({{"key_memory_ms", 100}}));
  const std::string id = Id(1, Idempotency::kIdempotentWithKey);
  assert(keys.Call(id, "k") == 200 && keys.Call(id, "k") == 200 && keys.Effects(id) == 1);
  keys.Wait(std::chrono::milliseconds(110));
  assert(keys.Call(id, "k") == 200 && keys.Effects(id) == 2 && keys.ViolatedRule() == "took effect twice");
}

void CheckerReportsEachViolatedRule() {
  const auto run = [](const Json& json, auto script) {
    Fixture fixture(json);
    script(fixture);
    return fixture.ViolatedRule();
  };
  const Json slow = {{"service_ms", {{"kind", "constant"}, {"value", 30}}}};
  assert(run(Partner(slow), [](Fixture& fixture) {
           fixture.Post(Id(1)), fixture.Post(Id(1)), fixture.loop.Run();
         }) == "second copy");
  assert(run(Partner(), [](Fixture& fixture) { fixture.Call(Id(1, Idempotency::kIdempotent, 8)); }) ==
         "wrong destination");
  assert(run(Partner(slow), [](Fixture& fixture) {
           for (int i = 0; i < 5; ++i) fixture.Post(Id(i));
           fixture.loop.Run();
         }) == "beyond slots");
  assert(run(Partner({}, AlwaysFault("refuse")), [](Fixture& fixture) {
           for (int i = 0; i < 7; ++i) fixture.Call(Id(1));
         }) == "too many attempts");
  const Json announced_wait = {{{"fault", "full"}, {"ms", 400}, {"for_ms", 30}}};
  assert(run(Partner({}, announced_wait), [](Fixture& fixture) {
           fixture.Call(Id(1)), fixture.Wait(std::chrono::milliseconds(150)), fixture.Call(Id(2));
         }) == "wait not kept");
  assert(run(Partner({}, AlwaysFault("error")), [](Fixture& fixture) {
           fixture.Call(Id(1, Idempotency::kNotIdempotent)), fixture.Call(Id(1, Idempotency::kNotIdempotent));
         }) == "forbidden repeat");
  assert(run(Partner({}, AlwaysFault("silent")), [](Fixture& fixture) {
           fixture.Call(Id(1, Idempotency::kNotIdempotent)), fixture.Call(Id(1, Idempotency::kNotIdempotent));
         }) == "forbidden repeat");
  assert(run(Partner({}, AlwaysFault("reset")), [](Fixture& fixture) {
           const std::string id = Id(1, Idempotency::kIdempotentWithKey);
           fixture.Call(id, "k"), fixture.Call(id, "k"), fixture.Wait(std::chrono::milliseconds(470)),
               fixture.Call(id, "k");
         }) == "repeat window over");
  assert(run(Partner(), [](Fixture& fixture) {
           fixture.Call(Id(1, Idempotency::kNotIdempotent)), fixture.Call(Id(1, Idempotency::kNotIdempotent));
         }) != "0");
  // Allowed repeats and concurrent calls are no violations.
  assert(run(Partner(slow, AlwaysFault("error")), [](Fixture& fixture) {
           const std::string keyed = Id(1, Idempotency::kIdempotentWithKey), free = Id(2),
                             never = Id(3, Idempotency::kNotIdempotent);
           fixture.Call(keyed, "k"), fixture.Call(keyed, "k"), fixture.Call(free), fixture.Call(free),
               fixture.Call(never);
           for (int i = 10; i < 14; ++i) fixture.Post(Id(i));
           fixture.loop.Run();
         }) == "0");
}

void AgentSendsChangesAndReceivesNotices() {
  Json json = Partner();
  json["agent"] = Json::object();
  Fixture fixture(json);
  std::string announced;
  fixture.stubs.agent->on_state_announced = [&](const std::string& uid, const std::string& state) {
    announced += uid + " " + state + "\n";
  };
  HttpClientPool agent(fixture.loop, {{"127.0.0.1", fixture.stubs.agent->port()}}, 4, kResponseTimeout);
  const auto request = [&](const std::string& head, const std::string& body) {
    int code = -1;
    agent.Send(
        head + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        [&](const Reply& reply) {
          code = reply.code;
          fixture.loop.Break();
        });
    fixture.loop.Run();
    return code;
  };
  assert(request("GET /v1/servers", "") == 200);
  assert(request("POST /v1/notices",
                 "{\"id\":\"a\",\"status\":\"undeliverable\"}\n{\"id\":\"b\",\"status\":\"deferred\"}\n") ==
         204);
  assert(request("POST /v1/notices", "no notice\n") == 400 && fixture.stubs.agent->malformed == 1);
  assert(request("GET /other", "") == 404);
  const auto& observations = fixture.stubs.observations;
  assert(observations.size() == 2 && observations[0].kind == ObservationKind::kUndeliverable &&
         observations[1].kind == ObservationKind::kDeferred);
  fixture.stubs.agent->SetState("p", "terminating");  // not announced, because no client watches
  assert(announced.empty());
  fixture.stubs.agent->faults.silent = true;
  assert(request("GET /v1/servers", "") == 0);
  fixture.stubs.agent->faults = {};
  agent.Send("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\nHost: a\r\n\r\n", [](const Reply&) {});
  while (!fixture.stubs.agent->watch) fixture.Wait(std::chrono::milliseconds(1));
  fixture.stubs.agent->SetState("p", "in_service");
  assert(announced == "p in_service\n");
  fixture.stubs.agent->faults.late_ms = 5;
  fixture.stubs.agent->SetState("p", "terminating");
  assert(announced == "p in_service\n");
  while (announced == "p in_service\n") fixture.Wait(std::chrono::milliseconds(1));
  fixture.stubs.agent->faults = {.lost = true};
  fixture.stubs.agent->SetState("p", "in_service");
  fixture.Wait(std::chrono::milliseconds(20));
  assert(announced == "p in_service\np terminating\n");
}

void SettingsErrorsNameThePointer() {
  const InvalidText table[] = {
      {R"({"partners":[{"uid":"a"}]})", "/partners/0/destination"},
      {R"({"timeline":[{"fault":"tired"}]})", "/timeline/0/fault"},
      {R"({"agent":{"late":3}})", "/agent/late"},
      {R"({"partners":[{"destination":1,"listen":"10.0.0.1:80"}]})", "/partners/0/listen"},
      {R"({"partners":[{"destination":1,"service_ms":{"kind":"gamma"}}]})", "/partners/0"}};
  EachErrorBeginsWithItsPointer(table,
                                [](const char* text) { StubServerSettingsFromJson(Json::parse(text)); });
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  std::signal(SIGPIPE, SIG_IGN);
  ClientObservesEachFault();
  PartnerLimitsRejectCalls();
  CheckerReportsEachViolatedRule();
  AgentSendsChangesAndReceivesNotices();
  SettingsErrorsNameThePointer();
  std::puts("5 passed, 0 failed");
}
