// Forwarders and planners with a stub registry that speaks Eureka's REST API.
#include <set>

#include "app/forwarder.h"
#include "loadtest/stub/registry.h"
#include "service_registry/planner_selection.h"
#include "world.h"

namespace sagetally {
namespace {

// Planners and a forwarder on the world's loop; the world's endpoint serves destinations 0 to 9.
struct ForwarderAndPlanners {
  explicit ForwarderAndPlanners(int planners) {
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
    deploy.eureka->renew_interval = deploy.eureka->fetch_interval = 20ms;
    return deploy;
  }
  void StartPlanner(int i) {
    Config config = ParseWithoutVariables(w.ConfigText());
    config.name = "planner" + std::to_string(i);
    config.cached_endpoint_list.endpoints.clear();
    folders.push_back(std::make_unique<TemporaryFolder>());
    config.state_folder = folders.back()->path;
    this->planners.push_back(std::make_unique<Dispatcher>(w.loop, w.log, config, Deploy(Role::kPlanner)));
    this->planners.back()->Start();
  }
  void StartForwarder(std::size_t planners_up) {
    forwarder = std::make_unique<Forwarder>(w.loop, w.log, config, Deploy(Role::kForwarder));
    forwarder->Start();
    RunUntil(w.loop, [&] { return forwarder->planners_up() == planners_up; });
  }
  ClientRequest& Plain(const std::string& id, int destination) {
    asks.push_back(
        std::make_unique<ClientRequest>(w.loop, forwarder->port(), "/aviso",
                                        Headers{{"X-Request-Id", id},
                                                {"X-Class", "aviso"},
                                                {"X-Deadline", "9000m"},
                                                {"X-Envelope", "dest=" + std::to_string(destination)}},
                                        "x"));
    return *asks.back();
  }
  ClientRequest& Events(const Headers& headers, const std::string& body) {
    asks.push_back(
        std::make_unique<ClientRequest>(w.loop, forwarder->cloudevents_port(), "/", headers, body));
    return *asks.back();
  }

  World w;
  const Config config = ParseWithoutVariables(w.ConfigText());
  std::unique_ptr<loadtest::Registry> registry;
  std::vector<std::unique_ptr<TemporaryFolder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> planners;
  std::unique_ptr<Forwarder> forwarder;
  std::vector<std::unique_ptr<ClientRequest>> asks;
};

std::string Member(const std::string& id, int destination) {
  return R"({"specversion":"1.0","id":")" + id + R"(","source":"/s","type":"t","messageclass":"aviso",)" +
         R"("destination":)" + std::to_string(destination) + "}";
}
const Headers kBatch = {{"Content-Type", "application/cloudevents-batch+json"}};

void ParsesRegistryResponses() {
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

void DestinationKeepsItsPlannerWhileThatIsUp() {
  std::map<std::string, Instance> planners;
  for (const char* id : {"a", "b", "c"}) {
    planners[id] = Instance{.id = id, .host = "127.0.0.1", .status = "UP", .port = 1};
  }
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

void ParsesPartnersFromMetadata() {
  const SiteSettings site;
  std::map<std::string, Instance> partners;
  partners["good"] = {
      .host = "127.0.0.1", .status = "UP", .port = 1, .metadata = {{"destination", "3"}, {"rate", "2.5"}}};
  partners["none"] = {.host = "127.0.0.1", .status = "UP", .port = 1};
  partners["name"] = {.host = "example.test", .status = "UP", .port = 1, .metadata = {{"destination", "4"}}};
  partners["down"] = {.host = "127.0.0.1", .status = "DOWN", .port = 1, .metadata = {{"destination", "4"}}};
  std::vector<std::string> problems;
  const EndpointListUpdate update = MakePartnerList(partners, site, problems);
  assert(update.is_full_snapshot && update.endpoints.size() == 2 && problems.size() == 2);
  assert(update.endpoints[0].record.state == EndpointRecord::State::kDraining);
  assert(update.endpoints[1].record.destination == 3 && update.endpoints[1].record.rate == 2.5);
}

void ForwarderAndPlannersDeliverToPartners() {
  ForwarderAndPlanners nodes(2);
  for (int d = 0; d < 10; ++d) assert(nodes.w.AwaitStatus(nodes.Plain("p" + std::to_string(d), d)) == 202);
  assert(nodes.w.AwaitStatus(
             nodes.Events({{"Content-Type", "application/cloudevents+json"}}, Member("e", 3))) == 202);
  assert(nodes.w.AwaitStatus(nodes.Events(kBatch, "[" + Member("b1", 3) + "," + Member("b2", 3) + "]")) ==
         202);
  RunUntil(nodes.w.loop, [&] { return nodes.w.CountCalls() == 13; });
  assert(nodes.w.CountCallsOf("/s|e") == 1 && nodes.w.CountCallsOf("/sagetally/plain|p0") == 1);
  // A duplicate: its planner knows it, and makes no second call.
  assert(nodes.w.AwaitStatus(
             nodes.Events({{"Content-Type", "application/cloudevents+json"}}, Member("e", 3))) == 202);
  std::string all;
  for (int d = 0; d < 10; ++d) all += (d == 0 ? "" : ",") + Member("x" + std::to_string(d), d);
  assert(nodes.w.AwaitStatus(nodes.Events(kBatch, "[" + all + "]")) ==
         400);  // it can't be accepted whole by several planners
  assert(nodes.w.AwaitStatus(nodes.Events(kBatch, "[" + Member("x", 1) + ",{}]")) == 400);
  RunFor(nodes.w.loop, 30ms);
  assert(nodes.w.CountCalls() == 13);
}

void PlannerShutdownMovesItsDestinationsAndRegistryLossIsSurvived() {
  ForwarderAndPlanners nodes(2);
  nodes.registry->forgetful = true;  // an unknown renewal: the planner registers again
  const auto posts = [&] {
    return std::count_if(nodes.registry->requests.begin(), nodes.registry->requests.end(),
                         [](const std::string& a) { return a.starts_with("POST"); });
  };
  RunUntil(nodes.w.loop, [&] { return posts() == 3; });
  nodes.planners[0]->Shutdown();
  RunUntil(nodes.w.loop, [&] { return nodes.forwarder->planners_up() == 1; });
  for (int d = 0; d < 10; ++d) assert(nodes.w.AwaitStatus(nodes.Plain("p" + std::to_string(d), d)) == 202);
  nodes.registry.reset();
  RunFor(nodes.w.loop, 60ms);
  assert(nodes.forwarder->planners_up() == 1 && nodes.w.AwaitStatus(nodes.Plain("late", 4)) == 202);
  RunUntil(nodes.w.loop, [&] { return nodes.w.CountCalls() == 11; });
}

void UnreachablePlannerIsRejectionOnlyIfNothingWasWritten() {
  ForwarderAndPlanners nodes(0);
  assert(nodes.w.AwaitStatus(nodes.Plain("a", 1)) == 503);  // no planner is up
  std::vector<std::string> ids;
  std::vector<std::shared_ptr<Exchange>> unanswered;
  auto planner =
      std::make_unique<HttpServer>(nodes.w.loop, Address{"127.0.0.1", 0}, HttpServer::Limits{1 << 20, 200},
                                   [&](const std::shared_ptr<Exchange>& e) {
                                     ids.push_back(e->Header("ce-id"));
                                     unanswered.push_back(e);
                                     if (ids.size() == 4) e->Respond(202);
                                   });
  nodes.registry->Put("SAGETALLY", "silent", planner->port());
  RunUntil(nodes.w.loop, [&] { return nodes.forwarder->planners_up() == 1; });
  assert(nodes.w.AwaitStatus(nodes.Plain("b", 1)) ==
         504);  // written: the outcome is unknown, and no other planner may be asked
  assert(ids.size() >= 2 && std::set<std::string>(ids.begin(), ids.end()) == std::set<std::string>{"b"});
  while (ids.size() < 3) nodes.w.AwaitStatus(nodes.Plain("b", 1));
  ids.resize(3);
  assert(nodes.w.AwaitStatus(nodes.Plain("b", 1)) == 202);  // answered at last, under the same id
  planner.reset();
  unanswered.clear();
  assert(nodes.w.AwaitStatus(nodes.Plain("c", 1)) == 503);  // refused connection: surely not written
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ParsesRegistryResponses();
  DestinationKeepsItsPlannerWhileThatIsUp();
  ParsesPartnersFromMetadata();
  ForwarderAndPlannersDeliverToPartners();
  PlannerShutdownMovesItsDestinationsAndRegistryLossIsSurvived();
  UnreachablePlannerIsRejectionOnlyIfNothingWasWritten();
  std::puts("6 passed, 0 failed");
}
