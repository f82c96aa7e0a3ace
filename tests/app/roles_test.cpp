// Tests of forwarders and planners, with a stub registry that implements Eureka's REST API.
#include <set>

#include "app/forwarder.h"
#include "loadtest/stub/registry.h"
#include "service_registry/planner_selection.h"
#include "world.h"

namespace sagetally {
namespace {

// Planners and a forwarder on the event loop of a World. The endpoint of that World serves the destinations 0
// to 9.
struct ForwarderAndPlanners {
  explicit ForwarderAndPlanners(int planners) {
    registry = std::make_unique<loadtest::Registry>(world.loop);
    for (int d = 0; d < 10; ++d) {
      registry->Put("PARTNERS", "e" + std::to_string(d), world.ports[0],
                    ",\"metadata\":{\"destination\":\"" + std::to_string(d) + "\",\"rate\":\"50\"}");
    }
    for (int i = 0; i < planners; ++i) StartPlanner(i);
    StartForwarder(static_cast<std::size_t>(planners));
  }
  NodeFile MakeNodeFile(Role role) const {
    NodeFile node_file;
    node_file.role = role;
    node_file.cloudevents = CloudEventsSettings{{"127.0.0.1", 0}, {}, "/"};
    node_file.eureka = EurekaSettings{};
    node_file.eureka->registry = {"127.0.0.1", registry->port()};
    node_file.eureka->host = "127.0.0.1";
    node_file.eureka->renew_interval = node_file.eureka->fetch_interval = 20ms;
    return node_file;
  }
  void StartPlanner(int i) {
    Config config = ParseConfigWithoutEnvironment(world.ConfigText());
    config.name = "planner" + std::to_string(i);
    config.cached_endpoint_list.endpoints.clear();
    folders.push_back(std::make_unique<TemporaryFolder>());
    config.state_folder = folders.back()->path;
    this->planners.push_back(
        std::make_unique<Dispatcher>(world.loop, world.log, config, MakeNodeFile(Role::kPlanner)));
    this->planners.back()->Start();
  }
  void StartForwarder(std::size_t planners_up) {
    forwarder = std::make_unique<Forwarder>(world.loop, world.log, config, MakeNodeFile(Role::kForwarder));
    forwarder->Start();
    RunUntil(world.loop, [&] { return forwarder->planners_up() == planners_up; });
  }
  // Submits a message to the forwarder by the platform's protocol.
  ClientRequest& PostMessage(const std::string& id, int destination) {
    client_requests.push_back(
        std::make_unique<ClientRequest>(world.loop, forwarder->port(), "/aviso",
                                        Headers{{"X-Request-Id", id},
                                                {"X-Class", "aviso"},
                                                {"X-Deadline", "9000m"},
                                                {"X-Envelope", "dest=" + std::to_string(destination)}},
                                        "x"));
    return *client_requests.back();
  }
  // Submits a request to the forwarder's CloudEvents server.
  ClientRequest& PostEvents(const Headers& headers, const std::string& body) {
    client_requests.push_back(
        std::make_unique<ClientRequest>(world.loop, forwarder->cloudevents_port(), "/", headers, body));
    return *client_requests.back();
  }

  World world;
  const Config config = ParseConfigWithoutEnvironment(world.ConfigText());
  std::unique_ptr<loadtest::Registry> registry;
  std::vector<std::unique_ptr<TemporaryFolder>> folders;
  std::vector<std::unique_ptr<Dispatcher>> planners;
  std::unique_ptr<Forwarder> forwarder;
  std::vector<std::unique_ptr<ClientRequest>> client_requests;
};

// Returns an event as JSON.
std::string EventJson(const std::string& id, int destination) {
  return R"({"specversion":"1.0","id":")" + id + R"(","source":"/s","type":"t","messageclass":"aviso",)" +
         R"("destination":)" + std::to_string(destination) + "}";
}
const Headers kBatchHeaders = {{"Content-Type", "application/cloudevents-batch+json"}};

void ParsesRegistryResponses() {
  const std::string instance = R"({"instanceId":"i","ipAddr":"1.2.3.4","status":"UP","port":{"$":"80"}})";
  const std::pair<std::string, int> cases[] = {
      {R"({"applications":{"application":[]}})", 0},
      {R"({"applications":{"application":{"name":"a","instance":)" + instance + "}}}", 1},
      {R"({"applications":{"application":[{"name":"a","instance":[)" + instance + "]}]}}", 1},
      {R"({"applications":{"application":[{"name":"a","instance":[{"port":{"$":"x"}}]}]}})", -1},
      {R"({"applications":{"application":[{"instance":[]}]}})", -1},
      {"{}", -1},
      {"<applications/>", -1}};
  std::vector<std::string> errors;
  for (const auto& [text, count] : cases) {
    int instance_count = -1;
    try {
      const Applications all = ReadApplications(text, errors);
      instance_count = all.empty() ? 0 : static_cast<int>(all.at("A").size());
    } catch (const std::exception&) {
    }
    assert(instance_count == count);
  }
  Applications all;
  assert(ApplyDelta(
      R"({"applications":{"apps__hashcode":"UP_1_","application":{"name":"a","instance":)" + instance + "}}}",
      all, errors));
  assert(HashCode(all) == "UP_1_");
  assert(!ApplyDelta(R"({"applications":{"apps__hashcode":"DOWN_1_UP_1_","application":[]}})", all, errors));
}

// Guards against the cause of review/1 in the registry: one instance of any application that can't be read
// made the whole response unreadable, so that no change of a planner or partner was heard.
void UnreadableInstanceDoesNotHoldUpTheOthers() {
  const std::string sound = R"({"instanceId":"i","ipAddr":"127.0.0.1","status":"UP","port":{"$":"80"}})";
  // Each with whether it is left out, because it has no readable id.
  const std::pair<std::string, bool> unreadable[] = {
      {R"({"instanceId":"j","status":"UP","ipAddr":"127.0.0.1","port":{"$":"x"}})", false},
      {R"({"instanceId":"j","status":"UP"})", false},
      {R"({"instanceId":"j","status":"UP","ipAddr":"127.0.0.1","metadata":3})", false},
      {"{\"instanceId\":\"n\xba\",\"status\":\"UP\",\"port\":[]}", false},
      {R"({"instanceId":7,"status":"UP","ipAddr":"127.0.0.1"})", true},
      {"3", true},
      {"{}", true}};
  for (const auto& [instance, is_left_out] : unreadable) {
    for (const char* const app : {"a", "b"}) {
      std::vector<std::string> errors;
      const Applications all = ReadApplications(
          R"({"applications":{"application":[{"instance":[]},{"name":")" + std::string(app) +
              R"(","instance":[)" + instance + R"(]},{"name":"a","instance":[)" + sound + "]}]}}",
          errors);
      const Instance* selected = SelectPlanner(all.at("A"), 1);
      assert(selected != nullptr && selected->id == "i" && selected->port == 80);
      assert(errors.size() == (is_left_out ? 2U : 1U));  // with that of the application without a name
    }
  }
  // The registry counts an instance whose address can't be read, so a delta with it is complete.
  Applications all;
  std::vector<std::string> errors;
  assert(ApplyDelta(R"({"applications":{"apps__hashcode":"UP_2_","application":{"name":"a","instance":[)" +
                        sound + "," + unreadable[0].first + "]}}}",
                    all, errors));
}

void DestinationKeepsItsPlannerWhileThePlannerIsUp() {
  std::map<std::string, Instance> planners;
  for (const char* id : {"a", "b", "c"}) {
    planners[id] = Instance{.id = id, .host = "127.0.0.1", .status = "UP", .port = 1};
  }
  std::map<int, std::string> before;
  std::set<std::string> used_planners;
  for (int d = 0; d < 60; ++d) used_planners.insert(before[d] = SelectPlanner(planners, d)->id);
  assert(used_planners.size() == 3);
  planners["b"].status = "DOWN";
  for (int d = 0; d < 60; ++d) {
    const std::string planner = SelectPlanner(planners, d)->id;
    assert(planner != "b" && (before[d] == "b" || planner == before[d]));
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
  for (int d = 0; d < 10; ++d)
    assert(nodes.world.AwaitStatus(nodes.PostMessage("p" + std::to_string(d), d)) == 202);
  assert(nodes.world.AwaitStatus(
             nodes.PostEvents({{"Content-Type", "application/cloudevents+json"}}, EventJson("e", 3))) == 202);
  assert(nodes.world.AwaitStatus(nodes.PostEvents(
             kBatchHeaders, "[" + EventJson("b1", 3) + "," + EventJson("b2", 3) + "]")) == 202);
  RunUntil(nodes.world.loop, [&] { return nodes.world.CountCalls() == 13; });
  assert(nodes.world.CountCallsOf("/s|e") == 1 && nodes.world.CountCallsOf("/sagetally/plain|p0") == 1);
  // The planner recognises a duplicate, and makes no second call.
  assert(nodes.world.AwaitStatus(
             nodes.PostEvents({{"Content-Type", "application/cloudevents+json"}}, EventJson("e", 3))) == 202);
  std::string all;
  for (int d = 0; d < 10; ++d) all += (d == 0 ? "" : ",") + EventJson("x" + std::to_string(d), d);
  // Several planners can't accept a batch as a whole.
  assert(nodes.world.AwaitStatus(nodes.PostEvents(kBatchHeaders, "[" + all + "]")) == 400);
  assert(nodes.world.AwaitStatus(nodes.PostEvents(kBatchHeaders, "[" + EventJson("x", 1) + ",{}]")) == 400);
  RunFor(nodes.world.loop, 30ms);
  assert(nodes.world.CountCalls() == 13);
}

// Guards against review/1 behind a forwarder: the planner's answer tells the client what is wrong.
void ForwarderRejectsIdsThatAreNotUtf8() {
  ForwarderAndPlanners nodes(1);
  ClientRequest& message = nodes.PostMessage("n\xba", 1);
  assert(nodes.world.AwaitStatus(message) == 400 && message.body == "attribute 'id' is not UTF-8\n");
  ClientRequest& event = nodes.PostEvents({{"ce-specversion", "1.0"},
                                           {"ce-id", "n%BA"},
                                           {"ce-source", "/s"},
                                           {"ce-type", "t"},
                                           {"ce-destination", "1"},
                                           {"ce-messageclass", "aviso"}},
                                          "x");
  assert(nodes.world.AwaitStatus(event) == 400 && event.body == "attribute 'id' is not UTF-8\n");
  assert(nodes.world.CountCalls() == 0);
}

void PlannerShutdownMovesItsDestinationsAndRegistryOutageKeepsTheList() {
  ForwarderAndPlanners nodes(2);
  nodes.registry->rejects_next_renewal =
      true;  // rejects a renewal, after which the planner must register again
  const auto count_registrations = [&] {
    return std::count_if(nodes.registry->requests.begin(), nodes.registry->requests.end(),
                         [](const std::string& request) { return request.starts_with("POST"); });
  };
  RunUntil(nodes.world.loop, [&] { return count_registrations() == 3; });
  nodes.planners[0]->Shutdown();
  RunUntil(nodes.world.loop, [&] { return nodes.forwarder->planners_up() == 1; });
  for (int d = 0; d < 10; ++d)
    assert(nodes.world.AwaitStatus(nodes.PostMessage("p" + std::to_string(d), d)) == 202);
  nodes.registry.reset();
  RunFor(nodes.world.loop, 60ms);
  assert(nodes.forwarder->planners_up() == 1 && nodes.world.AwaitStatus(nodes.PostMessage("late", 4)) == 202);
  RunUntil(nodes.world.loop, [&] { return nodes.world.CountCalls() == 11; });
}

void UnreachablePlannerGives503OnlyIfNothingWasWritten() {
  ForwarderAndPlanners nodes(0);
  assert(nodes.world.AwaitStatus(nodes.PostMessage("a", 1)) == 503);  // no planner is up
  std::vector<std::string> ids;
  std::vector<std::shared_ptr<Exchange>> unanswered;
  auto planner = std::make_unique<HttpServer>(nodes.world.loop, Address{"127.0.0.1", 0},
                                              HttpServer::Limits{1 << 20, 200},
                                              [&](const std::shared_ptr<Exchange>& exchange) {
                                                ids.push_back(exchange->Header("ce-id"));
                                                unanswered.push_back(exchange);
                                                if (ids.size() == 4) exchange->Respond(202);
                                              });
  nodes.registry->Put("SAGETALLY", "silent", planner->port());
  RunUntil(nodes.world.loop, [&] { return nodes.forwarder->planners_up() == 1; });
  // The request has been written, so the outcome is unknown and no other planner may be asked.
  assert(nodes.world.AwaitStatus(nodes.PostMessage("b", 1)) == 504);
  assert(ids.size() >= 2 && std::set<std::string>(ids.begin(), ids.end()) == std::set<std::string>{"b"});
  while (ids.size() < 3) nodes.world.AwaitStatus(nodes.PostMessage("b", 1));
  ids.resize(3);
  // The planner answers the next attempt, which has the same id.
  assert(nodes.world.AwaitStatus(nodes.PostMessage("b", 1)) == 202);
  planner.reset();
  unanswered.clear();
  // The connection is refused, so nothing has been written.
  assert(nodes.world.AwaitStatus(nodes.PostMessage("c", 1)) == 503);
}

// Guards against review/10 at a forwarder: an event that it has refused, or a message that it has told to
// come again under the same id, gets a response on the connection that its client keeps.
void ForwarderAnswersWhatComesAgainAfterItsRefusal() {
  ForwarderAndPlanners nodes(0);
  const std::string event =
      "POST / HTTP/1.1\r\nHost: b\r\nContent-Type: application/cloudevents+json\r\nContent-Length: " +
      std::to_string(EventJson("e", 1).size()) + "\r\n\r\n" + EventJson("e", 1);
  const std::string message =
      "POST /aviso HTTP/1.1\r\nHost: b\r\nX-Request-Id: m\r\nX-Class: aviso\r\nX-Deadline: 9000m\r\n"
      "X-Envelope: dest=1\r\nContent-Length: 1\r\n\r\nx";
  RawClient event_client(nodes.world.loop, nodes.forwarder->cloudevents_port(), event);
  RunUntil(nodes.world.loop, [&] { return event_client.received.starts_with("HTTP/1.1 503 "); });
  std::vector<std::shared_ptr<Exchange>> unanswered;
  bool answers = false;
  HttpServer planner(nodes.world.loop, Address{"127.0.0.1", 0}, HttpServer::Limits{1 << 20, 200},
                     [&](const std::shared_ptr<Exchange>& exchange) {
                       if (answers) return void(exchange->Respond(202));
                       unanswered.push_back(exchange);
                     });
  nodes.registry->Put("SAGETALLY", "silent", planner.port());
  RunUntil(nodes.world.loop, [&] { return nodes.forwarder->planners_up() == 1; });
  RawClient message_client(nodes.world.loop, nodes.forwarder->port(), message);
  RunUntil(nodes.world.loop, [&] { return message_client.received.starts_with("HTTP/1.1 504 "); });
  answers = true;
  message_client.Write(message);
  RunUntil(nodes.world.loop,
           [&] { return message_client.received.find("HTTP/1.1 202 ") != std::string::npos; });
  event_client.Write(event);
  RunUntil(nodes.world.loop, [&] { return event_client.closed; });
  assert(event_client.received.find("HTTP/1.1 202 ") != std::string::npos);
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ParsesRegistryResponses();
  UnreadableInstanceDoesNotHoldUpTheOthers();
  DestinationKeepsItsPlannerWhileThePlannerIsUp();
  ParsesPartnersFromMetadata();
  ForwarderAndPlannersDeliverToPartners();
  ForwarderRejectsIdsThatAreNotUtf8();
  PlannerShutdownMovesItsDestinationsAndRegistryOutageKeepsTheList();
  UnreachablePlannerGives503OnlyIfNothingWasWritten();
  ForwarderAnswersWhatComesAgainAfterItsRefusal();
  std::puts("9 passed, 0 failed");
}
