// The stand-ins on sockets: each fault is provoked and seen by the client, each broken rule by the checker,
// and a clean run shows nothing.
#undef NDEBUG
#include <cassert>
#include <cmath>
#include <csignal>
#include <cstdio>
#include <map>

#include "loadtest/clock.h"
#include "loadtest/load/client.h"
#include "loadtest/stub/stub_set.h"
#include "rejected.h"

namespace sagetally::loadtest {
namespace {

using Json = nlohmann::json;
constexpr Duration kGivenUp = std::chrono::milliseconds(150);

// Stand-ins and a client of them on one loop.
struct Bench {
  explicit Bench(const Json& json)
      : standins(loop, StandInSettingsFromJson(json)),
        clients(loop,
                {{"127.0.0.1",
                  standins.partners.empty() ? standins.agent->port() : standins.partners[0]->port()}},
                32, kGivenUp) {}
  void Post(const std::string& id, const std::string& key = "", const std::string& path = "/hook") {
    std::string text =
        "POST " + path + " HTTP/1.1\r\nHost: p\r\nX-Request-Id: " + id + "\r\nContent-Length: 1\r\n";
    if (!key.empty()) text += "Idempotency-Key: " + key + "\r\n";
    ++out;
    clients.Send(text + "\r\nx", [this](const Reply& reply) {
      codes.push_back(reply.code);
      if (--out == 0) loop.Break();
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
  std::string Broken() const {
    const Checker& c = standins.checker;
    return c.count() == 1 ? c.findings()[0].rule : std::to_string(c.count());
  }
  std::int64_t Effects(const std::string& id) const {
    std::int64_t n = 0;
    for (const Sighting& s : standins.sightings) n += s.kind == SeenKind::kEffect && s.id == id ? 1 : 0;
    return n;
  }
  EventLoop loop;
  StandIns standins;
  Clients clients;
  int out = 0;
  std::vector<int> codes;
};

std::string Id(int number, Repeat repeat = Repeat::kFree, int destination = 7) {
  return ToText({1, number, 0, destination, repeat});
}
Json Partner(const Json& more = Json::object(), const Json& timeline = Json::array()) {
  Json partner = {{"uid", "p"}, {"destination", 7}};
  if (more.is_object()) partner.update(more);
  return {
      {"partners", {partner}}, {"timeline", timeline}, {"rules", {{"slots", 4}, {"repeat_window_ms", 400}}}};
}
Json Always(const char* fault) { return {{{"fault", fault}, {"ms", 60}, {"times", 50}}}; }

void EachFaultIsSeen() {
  struct Row {
    const char* fault;
    int code;                // that the client hears; 0: none
    double effects_of_four;  // of four messages
  };
  const Row table[] = {{"well", 200, 4},   {"slow", 200, 4}, {"silent", 0, 2},  {"late", 0, 4},
                       {"refuse", 503, 0}, {"full", 429, 0}, {"error", 500, 2}, {"reset", 0, 2},
                       {"half", 0, 4},     {"spoilt", 0, 4}, {"twice", 200, 8}, {"shut", 0, 0}};
  for (const Row& row : table) {
    Bench b(Partner({}, Always(row.fault)));
    std::int64_t effects = 0;
    for (int i = 0; i < 4; ++i) {
      const int code = b.Call(Id(i));
      if (code != row.code) std::fprintf(stderr, "%s: %d\n", row.fault, code);
      assert(code == row.code);
      if (std::string(row.fault) == "full") b.Wait(std::chrono::milliseconds(70));
    }
    b.Wait(std::chrono::milliseconds(80));
    for (int i = 0; i < 4; ++i) effects += b.Effects(Id(i));
    assert(static_cast<double>(effects) == row.effects_of_four && b.standins.checker.count() == 0);
  }
  // Paused: accepted by the kernel, and answered once it is over.
  Bench b(Partner({}, {{{"fault", "pause"}, {"for_ms", 120}}}));
  assert(b.Call(Id(1)) == 200 && NowUs() - b.standins.started_us() >= 119'000);
  assert(b.Call(Id(2), "", "/other") == 404);
}

void LimitsTurnCallsAway() {
  const auto codes = [](Bench& b, int count) {
    for (int i = 0; i < count; ++i) b.Post(Id(100 + i));
    b.loop.Run();
    std::map<int, int> by_code;
    for (const int code : b.codes) ++by_code[code];
    return by_code;
  };
  const Json slow = {{"kind", "constant"}, {"value", 30}};
  Bench capacity(Partner({{"capacity", 1}, {"queue", 1}, {"service_ms", slow}}));
  auto by_code = codes(capacity, 4);
  assert(by_code[200] == 2 && by_code[503] == 2);
  Bench rate(Partner({{"rate", 5}, {"burst", 2}}));
  by_code = codes(rate, 4);
  assert(by_code[200] == 2 && by_code[429] == 2);
  Bench quiet(Partner({{"rate", 5}, {"burst", 2}, {"tell_waits", false}}));
  assert(codes(quiet, 4)[503] == 2);
  Bench window(Partner({{"window_calls", 3}, {"window_ms", 100}}));
  assert(codes(window, 4)[429] == 1);
  window.Wait(std::chrono::milliseconds(120));
  assert(window.Call(Id(1)) == 200);
  Bench connections(Partner({{"connections", 1}, {"service_ms", slow}}));
  by_code = codes(connections, 3);
  assert(by_code[200] == 1 && by_code[0] == 2);
  Bench cold(Partner({{"cold_ms", 5000}, {"cold_times", 3}, {"service_ms", slow}}));
  const std::int64_t before = NowUs();
  assert(cold.Call(Id(1)) == 200 && NowUs() - before >= 89'000);
  Bench keys(Partner({{"key_memory_ms", 100}}));
  const std::string id = Id(1, Repeat::kKeyed);
  assert(keys.Call(id, "k") == 200 && keys.Call(id, "k") == 200 && keys.Effects(id) == 1);
  keys.Wait(std::chrono::milliseconds(110));
  assert(keys.Call(id, "k") == 200 && keys.Effects(id) == 2 && keys.Broken() == "took effect twice");
}

void EachBrokenRuleIsSeen() {
  const auto run = [](const Json& json, auto script) {
    Bench b(json);
    script(b);
    return b.Broken();
  };
  const Json slow = {{"service_ms", {{"kind", "constant"}, {"value", 30}}}};
  assert(run(Partner(slow), [](Bench& b) { b.Post(Id(1)), b.Post(Id(1)), b.loop.Run(); }) == "second copy");
  assert(run(Partner(), [](Bench& b) { b.Call(Id(1, Repeat::kFree, 8)); }) == "wrong destination");
  assert(run(Partner(slow), [](Bench& b) {
           for (int i = 0; i < 5; ++i) b.Post(Id(i));
           b.loop.Run();
         }) == "beyond slots");
  assert(run(Partner({}, Always("refuse")), [](Bench& b) {
           for (int i = 0; i < 7; ++i) b.Call(Id(1));
         }) == "too many attempts");
  const Json told = {{{"fault", "full"}, {"ms", 400}, {"for_ms", 30}}};
  assert(run(Partner({}, told), [](Bench& b) {
           b.Call(Id(1)), b.Wait(std::chrono::milliseconds(150)), b.Call(Id(2));
         }) == "wait not kept");
  assert(run(Partner({}, Always("error")), [](Bench& b) {
           b.Call(Id(1, Repeat::kNever)), b.Call(Id(1, Repeat::kNever));
         }) == "forbidden repeat");
  assert(run(Partner({}, Always("silent")), [](Bench& b) {
           b.Call(Id(1, Repeat::kNever)), b.Call(Id(1, Repeat::kNever));
         }) == "forbidden repeat");
  assert(run(Partner({}, Always("reset")), [](Bench& b) {
           const std::string id = Id(1, Repeat::kKeyed);
           b.Call(id, "k"), b.Call(id, "k"), b.Wait(std::chrono::milliseconds(470)), b.Call(id, "k");
         }) == "repeat window over");
  assert(run(Partner(), [](Bench& b) { b.Call(Id(1, Repeat::kNever)), b.Call(Id(1, Repeat::kNever)); }) !=
         "0");
  // A clean run, with everything that is allowed.
  assert(run(Partner(slow, Always("error")), [](Bench& b) {
           const std::string keyed = Id(1, Repeat::kKeyed), free = Id(2), never = Id(3, Repeat::kNever);
           b.Call(keyed, "k"), b.Call(keyed, "k"), b.Call(free), b.Call(free), b.Call(never);
           for (int i = 10; i < 14; ++i) b.Post(Id(i));
           b.loop.Run();
         }) == "0");
}

void TheAgentTellsItsListAndHearsNotices() {
  Json json = Partner();
  json["agent"] = Json::object();
  Bench b(json);
  std::string told;
  b.standins.agent->on_told = [&](const std::string& uid, const std::string& state) {
    told += uid + " " + state + "\n";
  };
  Clients agent(b.loop, {{"127.0.0.1", b.standins.agent->port()}}, 4, kGivenUp);
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
  assert(ask("POST /v1/notices", "no notice\n") == 400 && b.standins.agent->malformed == 1);
  assert(ask("GET /other", "") == 404);
  const auto& seen = b.standins.sightings;
  assert(seen.size() == 2 && seen[0].kind == SeenKind::kUndeliverable && seen[1].kind == SeenKind::kDeferred);
  b.standins.agent->SetState("p", "terminating");  // nobody watches: nobody is told
  assert(told.empty());
  b.standins.agent->how.silent = true;
  assert(ask("GET /v1/servers", "") == 0);
  b.standins.agent->how = {};
  agent.Send("GET /v1/servers?watch=1&after=1 HTTP/1.1\r\nHost: a\r\n\r\n", [](const Reply&) {});
  while (!b.standins.agent->watch) b.Wait(std::chrono::milliseconds(1));
  b.standins.agent->SetState("p", "in_service");
  assert(told == "p in_service\n");
  b.standins.agent->how.late_ms = 5;
  b.standins.agent->SetState("p", "terminating");
  assert(told == "p in_service\n");
  while (told == "p in_service\n") b.Wait(std::chrono::milliseconds(1));
  b.standins.agent->how = {.lost = true};
  b.standins.agent->SetState("p", "in_service");
  b.Wait(std::chrono::milliseconds(20));
  assert(told == "p in_service\np terminating\n");
}

void FilesThatCannotBeUsedNameTheirPlace() {
  const std::pair<const char*, const char*> table[] = {
      {R"({"partners":[{"uid":"a"}]})", "/partners/0/destination"},
      {R"({"timeline":[{"fault":"tired"}]})", "/timeline/0/fault"},
      {R"({"agent":{"late":3}})", "/agent/late"},
      {R"({"partners":[{"destination":1,"listen":"10.0.0.1:80"}]})", "/partners/0/listen"},
      {R"({"partners":[{"destination":1,"service_ms":{"kind":"gamma"}}]})", "/partners/0"}};
  EachNamesItsPlace(table, [](const char* text) { StandInSettingsFromJson(Json::parse(text)); });
}

}  // namespace
}  // namespace sagetally::loadtest

int main() {
  using namespace sagetally::loadtest;
  std::signal(SIGPIPE, SIG_IGN);
  EachFaultIsSeen();
  LimitsTurnCallsAway();
  EachBrokenRuleIsSeen();
  TheAgentTellsItsListAndHearsNotices();
  FilesThatCannotBeUsedNameTheirPlace();
  std::puts("5 passed, 0 failed");
}
