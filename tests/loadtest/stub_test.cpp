// The stub servers on sockets: the client observes each fault, the checker reports each violated rule, and a
// clean run shows nothing.
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

// Stub servers and a client of them on one loop.
struct Fixture {
  explicit Fixture(const Json& json)
      : stubs(loop, StubServerSettingsFromJson(json)),
        clients(loop,
                {{"127.0.0.1", stubs.partners.empty() ? stubs.agent->port() : stubs.partners[0]->port()}}, 32,
                kResponseTimeout) {}
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
  // The code of one call, once it is over.
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
  // The violated rule, or how many if that isn't one.
  std::string ViolatedRule() const {
    const Checker& checker = stubs.checker;
    return checker.count() == 1 ? checker.violations()[0].rule : std::to_string(checker.count());
  }
  std::int64_t Effects(const std::string& id) const {
    return std::count_if(stubs.observations.begin(), stubs.observations.end(), [&](const Observation& seen) {
      return seen.kind == ObservationKind::kEffect && seen.id == id;
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
    int code;                // the client's response; 0: none
    double effects_of_four;  // of four messages
  };
  const Row table[] = {{"well", 200, 4},   {"slow", 200, 4}, {"silent", 0, 2},  {"late", 0, 4},
                       {"refuse", 503, 0}, {"full", 429, 0}, {"error", 500, 2}, {"reset", 0, 2},
                       {"half", 0, 4},     {"spoilt", 0, 4}, {"twice", 200, 8}, {"shut", 0, 0}};
  for (const Row& row : table) {
    Fixture b(Partner({}, AlwaysFault(row.fault)));
    std::int64_t effects = 0;
    for (int i = 0; i < 4; ++i) {
      const int code = b.Call(Id(i));
      if (code != row.code) std::fprintf(stderr, "%s: %d\n", row.fault, code);
      assert(code == row.code);
      if (std::string(row.fault) == "full") b.Wait(std::chrono::milliseconds(70));
    }
    b.Wait(std::chrono::milliseconds(80));
    for (int i = 0; i < 4; ++i) effects += b.Effects(Id(i));
    assert(static_cast<double>(effects) == row.effects_of_four && b.stubs.checker.count() == 0);
  }
  // Paused: accepted by the kernel, and answered once it is over.
  Fixture b(Partner({}, {{{"fault", "pause"}, {"for_ms", 120}}}));
  assert(b.Call(Id(1)) == 200 && NowUs() - b.stubs.started_us() >= 119'000);
  assert(b.Call(Id(2), "", "/other") == 404);
}

void PartnerLimitsRejectCalls() {
  const auto codes = [](Fixture& b, int count) {
    for (int i = 0; i < count; ++i) b.Post(Id(100 + i));
    b.loop.Run();
    std::map<int, int> by_code;
    for (const int code : b.codes) ++by_code[code];
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
    Fixture b(json);
    script(b);
    return b.ViolatedRule();
  };
  const Json slow = {{"service_ms", {{"kind", "constant"}, {"value", 30}}}};
  assert(run(Partner(slow), [](Fixture& b) { b.Post(Id(1)), b.Post(Id(1)), b.loop.Run(); }) == "second copy");
  assert(run(Partner(), [](Fixture& b) { b.Call(Id(1, Idempotency::kIdempotent, 8)); }) ==
         "wrong destination");
  assert(run(Partner(slow), [](Fixture& b) {
           for (int i = 0; i < 5; ++i) b.Post(Id(i));
           b.loop.Run();
         }) == "beyond slots");
  assert(run(Partner({}, AlwaysFault("refuse")), [](Fixture& b) {
           for (int i = 0; i < 7; ++i) b.Call(Id(1));
         }) == "too many attempts");
  const Json announced_wait = {{{"fault", "full"}, {"ms", 400}, {"for_ms", 30}}};
  assert(run(Partner({}, announced_wait), [](Fixture& b) {
           b.Call(Id(1)), b.Wait(std::chrono::milliseconds(150)), b.Call(Id(2));
         }) == "wait not kept");
  assert(run(Partner({}, AlwaysFault("error")), [](Fixture& b) {
           b.Call(Id(1, Idempotency::kNotIdempotent)), b.Call(Id(1, Idempotency::kNotIdempotent));
         }) == "forbidden repeat");
  assert(run(Partner({}, AlwaysFault("silent")), [](Fixture& b) {
           b.Call(Id(1, Idempotency::kNotIdempotent)), b.Call(Id(1, Idempotency::kNotIdempotent));
         }) == "forbidden repeat");
  assert(run(Partner({}, AlwaysFault("reset")), [](Fixture& b) {
           const std::string id = Id(1, Idempotency::kIdempotentWithKey);
           b.Call(id, "k"), b.Call(id, "k"), b.Wait(std::chrono::milliseconds(470)), b.Call(id, "k");
         }) == "repeat window over");
  assert(run(Partner(), [](Fixture& b) {
           b.Call(Id(1, Idempotency::kNotIdempotent)), b.Call(Id(1, Idempotency::kNotIdempotent));
         }) != "0");
  // A clean run, with everything that is allowed.
  assert(run(Partner(slow, AlwaysFault("error")), [](Fixture& b) {
           const std::string keyed = Id(1, Idempotency::kIdempotentWithKey), free = Id(2),
                             never = Id(3, Idempotency::kNotIdempotent);
           b.Call(keyed, "k"), b.Call(keyed, "k"), b.Call(free), b.Call(free), b.Call(never);
           for (int i = 10; i < 14; ++i) b.Post(Id(i));
           b.loop.Run();
         }) == "0");
}

void AgentSendsChangesAndReceivesNotices() {
  Json json = Partner();
  json["agent"] = Json::object();
  Fixture b(json);
  std::string announced;
  b.stubs.agent->on_state_announced = [&](const std::string& uid, const std::string& state) {
    announced += uid + " " + state + "\n";
  };
  HttpClientPool agent(b.loop, {{"127.0.0.1", b.stubs.agent->port()}}, 4, kResponseTimeout);
  const auto ask = [&](const std::string& head, const std::string& body) {
    int code = -1;
    agent.Send(
        head + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
        [&](const Reply& reply) {
          code = reply.code;
          b.loop.Break();
        });
    b.loop.Run();
    return code;
  };
  assert(ask("GET /v1/servers", "") == 200);
  assert(ask("POST /v1/notices",
             "{\"id\":\"a\",\"status\":\"undeliverable\"}\n{\"id\":\"b\",\"status\":\"deferred\"}\n") == 204);
  assert(ask("POST /v1/notices", "no notice\n") == 400 && b.stubs.agent->malformed == 1);
  assert(ask("GET /other", "") == 404);
  const auto& seen = b.stubs.observations;
  assert(seen.size() == 2 && seen[0].kind == ObservationKind::kUndeliverable &&
         seen[1].kind == ObservationKind::kDeferred);
  b.stubs.agent->SetState("p", "terminating");  // without a watch
  assert(announced.empty());
  b.stubs.agent->faults.silent = true;
  assert(ask("GET /v1/servers", "") == 0);
  b.stubs.agent->faults = {};
  agent.Send("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\nHost: a\r\n\r\n", [](const Reply&) {});
  while (!b.stubs.agent->watch) b.Wait(std::chrono::milliseconds(1));
  b.stubs.agent->SetState("p", "in_service");
  assert(announced == "p in_service\n");
  b.stubs.agent->faults.late_ms = 5;
  b.stubs.agent->SetState("p", "terminating");
  assert(announced == "p in_service\n");
  while (announced == "p in_service\n") b.Wait(std::chrono::milliseconds(1));
  b.stubs.agent->faults = {.lost = true};
  b.stubs.agent->SetState("p", "in_service");
  b.Wait(std::chrono::milliseconds(20));
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
