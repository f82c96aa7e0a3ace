// Forwarders and planners round a stand-in registry that speaks Eureka's REST API.
#include <set>

#include "app/forwarder.h"
#include "loadtest/stub/registry.h"
#include "service_registry/planner_selection.h"
#include "world.h"

namespace sagetally {
namespace {

// Planners and a forwarder on the world's loop; the world's endpoint serves destinations 0 to 9.
struct Levels {
  explicit Levels(int planners) {
    registry = std::make_unique<loadtest::Registry>(w.loop);
    for (int d = 0; d < 10; ++d) {
      registry->Put("PARTNERS", "e" + std::to_string(d), w.ports[0],
                    ",\"metadata\":{\"destination\":\"" + std::to_string(d) + "\",\"rate\":\"50\"}");
    }
    for (int i = 0; i < planners; ++i) StartPlanner(i);
    StartForwarder(static_cast<std::size_t>(planners));
  }
  NodeFile Deploy(Role role) const {
    NodeFile deploy;
    deploy.role = role;
    deploy.cloudevents = CloudEventsSettings{{"127.0.0.1", 0}, {}, "/"};
    deploy.eureka = EurekaSettings{};
    deploy.eureka->registry = {"127.0.0.1", registry->port()};
    deploy.eureka->host = "127.0.0.1";
    deploy.eureka->renew = deploy.eureka->fetch = 20ms;
    return deploy;
  }
  void StartPlanner(int i) {
    Config config = ParseConfig(w.ConfigText(), [](const char*) { return nullptr; });
    config.name = "planner" + std::to_string(i);
    config.cached_endpoint_list.endpoints.clear();
    folders.push_back(std::make_unique<Folder>());
    config.state_folder = folders.back()->path;
    this->planners.push_back(std::make_unique<Dispatcher>(w.loop, w.log, config, Deploy(Role::kPlanner)));
    this->planners.back()->Start();
  }
  void StartForwarder(std::size_t planners_up) {
    forwarder = std::make_unique<Forwarder>(w.loop, w.log, config, Deploy(Role::kForwarder));
    forwarder->Start();
    Until(w.loop, [&] { return forwarder->planners_up() == planners_up; });
  }
  Ask& Plain(const std::string& id, int destination) {
    asks.push_back(std::make_unique<Ask>(w.loop, forwarder->port(), "/aviso",
                                         Headers{{"X-Request-Id", id},
                                                 {"X-Class", "aviso"},
                                                 {"X-Deadline", "9000m"},
                                                 {"X-Envelope", "dest=" + std::to_string(destination)}},
                                         "x"));
    return *asks.back();
  }
  Ask& Events(const Headers& headers, const std::string& body) {
    asks.push_back(std::make_unique<Ask>(w.loop, forwarder->events_port(), "/", headers, body));
    return *asks.back();
  }

  World w;
  const Config config = ParseConfig(w.ConfigText(), [](const char*) { return nullptr; });
  std::unique_ptr<loadtest::Registry> registry;
  std::vector<std::unique_ptr<Folder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> planners;
  std::unique_ptr<Forwarder> forwarder;
  std::vector<std::unique_ptr<Ask>> asks;
};

std::string Member(const std::string& id, int destination) {
  return R"({"specversion":"1.0","id":")" + id + R"(","source":"/s","type":"t","messageclass":"aviso",)" +
         R"("destination":)" + std::to_string(destination) + "}";
}
const Headers kBatch = {{"Content-Type", "application/cloudevents-batch+json"}};

void RegistryAnswersAreRead() {
  const std::string one = R"({"instanceId":"i","ipAddr":"1.2.3.4","status":"UP","port":{"$":"80"}})";
  const std::pair<std::string, int> table[] = {
      {R"({"applications":{"application":[]}})", 0},
      {R"({"applications":{"application":{"name":"a","instance":)" + one + "}}}", 1},
      {R"({"applications":{"application":[{"name":"a","instance":[)" + one + "]}]}}", 1},
      {R"({"applications":{"application":[{"name":"a","instance":[{"port":{"$":"x"}}]}]}})", -1},
      {R"({"applications":{"application":[{"instance":[]}]}})", -1},
      {"{}", -1},
      {"<applications/>", -1}};
  for (const auto& [text, count] : table) {
    int read = -1;
    try {
      const Applications all = ReadApplications(text);
      read = all.empty() ? 0 : static_cast<int>(all.at("A").size());
    } catch (const std::exception&) {
    }
    assert(read == count);
  }
  Applications all;
  assert(ApplyDelta(
      R"({"applications":{"apps__hashcode":"UP_1_","application":{"name":"a","instance":)" + one + "}}}",
      all));
  assert(HashCode(all) == "UP_1_");
  assert(!ApplyDelta(R"({"applications":{"apps__hashcode":"DOWN_1_UP_1_","application":[]}})", all));
}

void ADestinationKeepsItsPlanner() {
  std::map<std::string, Instance> planners;
  for (const char* id : {"a", "b", "c"})
    planners[id] = Instance{.id = id, .host = "127.0.0.1", .status = "UP", .port = 1};
  std::map<int, std::string> before;
  std::set<std::string> used;
  for (int d = 0; d < 60; ++d) used.insert(before[d] = SelectPlanner(planners, d)->id);
  assert(used.size() == 3);
  planners["b"].status = "DOWN";
  for (int d = 0; d < 60; ++d) {
    const std::string now = SelectPlanner(planners, d)->id;
    assert(now != "b" && (before[d] == "b" || now == before[d]));
  }
  planners["a"].status = planners["c"].status = "STARTING";
  assert(SelectPlanner(planners, 1) == nullptr);
}

void PartnersAreReadFromMetadata() {
  const SiteSettings site;
  std::map<std::string, Instance> partners;
  partners["good"] = {
      .host = "127.0.0.1", .status = "UP", .port = 1, .metadata = {{"destination", "3"}, {"rate", "2.5"}}};
  partners["none"] = {.host = "127.0.0.1", .status = "UP", .port = 1};
  partners["name"] = {.host = "example.test", .status = "UP", .port = 1, .metadata = {{"destination", "4"}}};
  partners["down"] = {.host = "127.0.0.1", .status = "DOWN", .port = 1, .metadata = {{"destination", "4"}}};
  std::vector<std::string> problems;
  const EndpointListUpdate news = MakePartnerList(partners, site, problems);
  assert(news.is_full_snapshot && news.endpoints.size() == 2 && problems.size() == 2);
  assert(news.endpoints[0].record.state == EndpointRecord::State::kDraining);
  assert(news.endpoints[1].record.destination == 3 && news.endpoints[1].record.rate == 2.5);
}

void MessagesReachPartnersThroughBothLevels() {
  Levels l(2);
  for (int d = 0; d < 10; ++d) assert(l.w.Code(l.Plain("p" + std::to_string(d), d)) == 202);
  assert(l.w.Code(l.Events({{"Content-Type", "application/cloudevents+json"}}, Member("e", 3))) == 202);
  assert(l.w.Code(l.Events(kBatch, "[" + Member("b1", 3) + "," + Member("b2", 3) + "]")) == 202);
  Until(l.w.loop, [&] { return l.w.Calls() == 13; });
  assert(l.w.CallsOf("/s|e") == 1 && l.w.CallsOf("/sagetally/plain|p0") == 1);
  // The same again: known by its planner, and no second call.
  assert(l.w.Code(l.Events({{"Content-Type", "application/cloudevents+json"}}, Member("e", 3))) == 202);
  std::string all;
  for (int d = 0; d < 10; ++d) all += (d == 0 ? "" : ",") + Member("x" + std::to_string(d), d);
  assert(l.w.Code(l.Events(kBatch, "[" + all + "]")) == 400);  // several planners can't take it whole
  assert(l.w.Code(l.Events(kBatch, "[" + Member("x", 1) + ",{}]")) == 400);
  RunFor(l.w.loop, 30ms);
  assert(l.w.Calls() == 13);
}

void APlannerThatStopsHandsOverAndTheRegistryMayBeLost() {
  Levels l(2);
  l.registry->forgetful = true;  // a renewal that is not known: the planner registers again
  const auto posts = [&] {
    return std::count_if(l.registry->asked.begin(), l.registry->asked.end(),
                         [](const std::string& a) { return a.starts_with("POST"); });
  };
  Until(l.w.loop, [&] { return posts() == 3; });
  l.planners[0]->Shutdown();
  Until(l.w.loop, [&] { return l.forwarder->planners_up() == 1; });
  for (int d = 0; d < 10; ++d) assert(l.w.Code(l.Plain("p" + std::to_string(d), d)) == 202);
  l.registry.reset();
  RunFor(l.w.loop, 60ms);
  assert(l.forwarder->planners_up() == 1 && l.w.Code(l.Plain("late", 4)) == 202);
  Until(l.w.loop, [&] { return l.w.Calls() == 11; });
}

void AnUnreachablePlannerIsASafeRefusalOnlyIfNothingWasWritten() {
  Levels l(0);
  assert(l.w.Code(l.Plain("a", 1)) == 503);  // no planner is up
  std::vector<std::string> ids;
  std::vector<std::shared_ptr<Exchange>> held;
  auto planner = std::make_unique<HttpServer>(l.w.loop, Address{"127.0.0.1", 0},
                                              HttpServer::HttpServerLimits{1 << 20, 200},
                                              [&](const std::shared_ptr<Exchange>& e) {
                                                ids.push_back(e->Header("ce-id"));
                                                held.push_back(e);
                                                if (ids.size() == 4) e->Respond(202);
                                              });
  l.registry->Put("SAGETALLY", "silent", planner->port());
  Until(l.w.loop, [&] { return l.forwarder->planners_up() == 1; });
  assert(l.w.Code(l.Plain("b", 1)) == 504);  // written: nobody knows, and nothing else may be tried
  assert(ids.size() >= 2 && std::set<std::string>(ids.begin(), ids.end()) == std::set<std::string>{"b"});
  while (ids.size() < 3) l.w.Code(l.Plain("b", 1));
  ids.resize(3);
  assert(l.w.Code(l.Plain("b", 1)) == 202);  // heard at last, under the same id
  planner.reset();
  held.clear();
  assert(l.w.Code(l.Plain("c", 1)) == 503);  // refused connection: surely not written
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  RegistryAnswersAreRead();
  ADestinationKeepsItsPlanner();
  PartnersAreReadFromMetadata();
  MessagesReachPartnersThroughBothLevels();
  APlannerThatStopsHandsOverAndTheRegistryMayBeLost();
  AnUnreachablePlannerIsASafeRefusalOnlyIfNothingWasWritten();
  std::puts("6 passed, 0 failed");
}
