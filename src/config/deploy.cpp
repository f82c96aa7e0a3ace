#include "config/deploy.h"

#include <fstream>
#include <sstream>

namespace sagetally {

using namespace json;

DeployFile ParseDeployFile(const std::string& text) {
  simdjson::dom::parser parser;
  Value root;
  if (const auto error = parser.parse(text).get(root)) {
    Malformed(std::string("no JSON: ") + simdjson::error_message(error));
  }
  DeployFile file;
  const auto role = Get<std::string>(root, "role", "both");
  if (role != "both" && role != "forwarder" && role != "planner") {
    Malformed("role: '" + role + "' is none of both, forwarder, planner");
  }
  file.role = role == "both" ? Role::kBoth : role == "planner" ? Role::kPlanner : Role::kForwarder;
  if (Value part; Find(root, "cloudevents", part)) {
    CloudEventsSettings c;
    c.listen = ParseAddress(Get<std::string>(part, "listen"), "cloudevents.listen");
    const auto sink = Get<std::string>(part, "sink", "");
    if (!sink.empty()) c.sink = ParseAddress(sink, "cloudevents.sink");
    c.sink_path = Get<std::string>(part, "sink_path", c.sink_path);
    file.cloudevents = c;
  }
  if (Value part; Find(root, "eureka", part)) {
    EurekaSettings e;
    e.registry = ParseAddress(Get<std::string>(part, "registry"), "eureka.registry");
    e.path = Get<std::string>(part, "path", e.path);
    e.host = Get<std::string>(part, "host", file.cloudevents ? file.cloudevents->listen.host : "");
    e.planners = Get<std::string>(part, "planners", e.planners);
    e.partners = Get<std::string>(part, "partners", e.partners);
    e.renew = GetMs(part, "renew_ms", 30000.0);
    e.fetch = GetMs(part, "fetch_ms", 30000.0);
    if (e.renew <= Duration(0) || e.fetch <= Duration(0))
      Malformed("eureka: renew_ms and fetch_ms must be positive");
    file.eureka = e;
  }
  if (file.role != Role::kBoth && (!file.cloudevents || !file.eureka)) {
    Malformed("role: a " + role + " needs the keys cloudevents and eureka");
  }
  return file;
}

DeployFile ReadDeployFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) return {};
  std::ostringstream text;
  text << file.rdbuf();
  try {
    return ParseDeployFile(text.str());
  } catch (const std::exception& e) {
    Malformed(path + ": " + e.what());
  }
}

}  // namespace sagetally
