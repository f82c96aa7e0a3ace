#include "service_registry/eureka_client.h"

#include <utility>
#include <vector>

#include "config/json.h"

namespace sagetally {
namespace {

using namespace json;

constexpr Duration kUnheard = std::chrono::milliseconds(3000);

// What Eureka writes as an array may come as one object where there is one alone.
template <typename F>
void Each(Value object, const char* name, F use) {
  Value found;
  if (!Find(object, name, found)) return;
  simdjson::dom::array all;
  if (found.get(all) != simdjson::SUCCESS) return use(found);
  for (const Value item : all) use(item);
}

Instance ReadInstance(Value value, const std::string& app) {
  Instance i;
  i.app = app;
  i.host = Get<std::string>(value, "ipAddr", "");
  if (i.host.empty()) i.host = Get<std::string>(value, "hostName");
  Value port;
  if (Find(value, "port", port)) {
    Value number = port;
    if (port.is_object()) number = Require(port, "$");
    i.port = number.is_string() ? ParseAddress("0.0.0.0:" + As<std::string>(number, "port"), "port").port
                                : As<std::uint16_t>(number, "port");
  }
  i.id = Get<std::string>(value, "instanceId", i.host + ":" + std::to_string(i.port));
  i.status = Get<std::string>(value, "status", "UNKNOWN");
  if (Value metadata; Find(value, "metadata", metadata)) {
    simdjson::dom::object fields;
    if (metadata.get(fields) != simdjson::SUCCESS) Malformed("wrong type of 'metadata'");
    for (const auto& [key, field] : fields) {
      if (field.is_string()) i.metadata[std::string(key)] = As<std::string>(field, "metadata");
    }
  }
  return i;
}

// Calls `use(instance, action)` for each in an answer; returns the hash code that it names.
template <typename F>
std::string Walk(std::string_view text, F use) {
  simdjson::dom::parser parser;
  Value root;
  if (const auto error = parser.parse(text.data(), text.size()).get(root)) {
    Malformed(std::string("no JSON: ") + simdjson::error_message(error));
  }
  const Value all = Require(root, "applications");
  Each(all, "application", [&](Value application) {
    const auto name = Get<std::string>(application, "name");
    Each(application, "instance", [&](Value instance) {
      use(ReadInstance(instance, name), Get<std::string>(instance, "actionType", "ADDED"));
    });
  });
  return Get<std::string>(all, "apps__hashcode", "");
}

std::string Upper(std::string text) {
  for (char& c : text) c = c >= 'a' && c <= 'z' ? static_cast<char>(c - 'a' + 'A') : c;
  return text;
}

}  // namespace

Applications ReadApplications(std::string_view json) {
  Applications all;
  Walk(json, [&](Instance instance, const std::string&) {
    auto& app = all[Upper(instance.app)];
    app[instance.id] = std::move(instance);
  });
  return all;
}

bool ApplyDelta(std::string_view json, Applications& applications) {
  const std::string hash = Walk(json, [&](Instance instance, const std::string& action) {
    const std::string name = Upper(instance.app);
    if (action == "DELETED") {
      applications[name].erase(instance.id);
      if (applications[name].empty()) applications.erase(name);
    } else {
      applications[name][instance.id] = std::move(instance);
    }
  });
  return hash.empty() || hash == HashCode(applications);
}

std::string HashCode(const Applications& applications) {
  std::map<std::string, int> counts;
  for (const auto& [name, instances] : applications) {
    for (const auto& [id, instance] : instances) ++counts[instance.status];
  }
  std::string code;
  for (const auto& [status, count] : counts) code += status + "_" + std::to_string(count) + "_";
  return code;
}

EurekaClient::EurekaClient(EventLoop& loop, const EurekaSettings& settings, Instance own,
                           std::function<void(const Applications&)> changed, Logger& log)
    : settings_(settings),
      own_(std::move(own)),
      changed_(std::move(changed)),
      log_(log),
      renew_(loop, [this] { Renew(); }),
      fetch_(loop, [this] { Fetch(); }),
      calls_(loop) {
  if (!own_.id.empty()) Register();
  Fetch();
}
EurekaClient::~EurekaClient() = default;

void EurekaClient::Ask(evhttp_cmd_type method, const std::string& path, const std::string& body, Done done) {
  std::vector<std::pair<std::string, std::string>> headers = {{"Accept", "application/json"}};
  if (!body.empty()) headers.emplace_back("Content-Type", "application/json");
  calls_.Send(settings_.registry, method, settings_.path + path, headers, body, kUnheard,
              [done = std::move(done)](const HttpResult& result) { done(result.status_code, result.body); });
}

void EurekaClient::Reachable(bool reached) {
  if (reached == !lost_) return;
  lost_ = !reached;
  log_.Warn(lost_ ? "eureka.lost" : "eureka.back");
}

void EurekaClient::Register() {
  const std::string lease = std::to_string(std::chrono::ceil<std::chrono::seconds>(settings_.renew).count());
  const std::string lease_end =
      std::to_string(3 * std::chrono::ceil<std::chrono::seconds>(settings_.renew).count());
  std::string body =
      "{\"instance\":{\"instanceId\":" + Quote(own_.id) + ",\"hostName\":" + Quote(own_.host) +
      ",\"app\":" + Quote(own_.app) + ",\"ipAddr\":" + Quote(own_.host) +
      ",\"vipAddress\":" + Quote(own_.app) +
      ",\"status\":\"UP\",\"port\":{\"$\":" + std::to_string(own_.port) + ",\"@enabled\":\"true\"}," +
      "\"dataCenterInfo\":{\"@class\":\"com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo\"" +
      ",\"name\":\"MyOwn\"},\"leaseInfo\":{\"renewalIntervalInSecs\":" + lease +
      ",\"durationInSecs\":" + lease_end + "},\"metadata\":{}}}";
  Ask(EVHTTP_REQ_POST, "/apps/" + own_.app, body, [this](int code, const std::string&) {
    registered_ = code >= 200 && code < 300;
    Reachable(code != 0);
    if (code != 0 && !registered_) log_.Warn("eureka.not_registered", {{"answer", code}});
    renew_.Schedule(settings_.renew);
  });
}

void EurekaClient::Renew() {
  if (cancelled_) return;
  if (!registered_) return Register();
  Ask(EVHTTP_REQ_PUT, "/apps/" + own_.app + "/" + own_.id, "", [this](int code, const std::string&) {
    Reachable(code != 0);
    if (code == 404) {  // the registry has forgotten this process
      registered_ = false;
      return Renew();
    }
    renew_.Schedule(settings_.renew);
  });
}

void EurekaClient::Fetch() {
  const bool delta = fetched_;
  Ask(EVHTTP_REQ_GET, delta ? "/apps/delta" : "/apps", "",
      [this, delta](int code, const std::string& body) { Fetched(code, body, delta); });
}

void EurekaClient::Fetched(int code, const std::string& body, bool delta) {
  Reachable(code != 0);
  fetch_.Schedule(settings_.fetch);
  if (code != 200) {
    // Deltas may be switched off; the next fetch is a whole one.
    if (code != 0) fetched_ = false;
    return;
  }
  try {  // guards against an answer that can't be read: one log line, and the list stays
    Applications next = delta ? applications_ : Applications();
    if (!delta) {
      next = ReadApplications(body);
    } else if (!ApplyDelta(body, next)) {
      fetched_ = false;
      return fetch_.Schedule(Duration(0));
    }
    fetched_ = true;
    if (next == applications_) return;
    applications_ = std::move(next);
    changed_(applications_);
  } catch (const std::exception& e) {
    fetched_ = false;
    log_.Warn("eureka.unreadable", {{"why", e.what()}});
  }
}

void EurekaClient::Cancel(std::function<void()> done) {
  cancelled_ = true;
  renew_.Stop();
  fetch_.Stop();
  if (own_.id.empty()) return done();
  Ask(EVHTTP_REQ_DELETE, "/apps/" + own_.app + "/" + own_.id, "",
      [done = std::move(done)](int, const std::string&) { done(); });
}

}  // namespace sagetally
