// A stand-in for Eureka's registry, after its REST operations: register, renew, cancel, and the list of all
// applications. Deltas are switched off, which the registry's settings allow (403). An instance whose lease has run out
// is dropped. Partners' endpoints are entered by the test and have no lease.
#ifndef SAGETALLY_REVIEW_STANDINS_2_REGISTRY_H_
#define SAGETALLY_REVIEW_STANDINS_2_REGISTRY_H_

#include "world.h"

namespace review {

class Registry {
 public:
  Registry() : server_([this](int fd, const HttpMessage& request) { return Handle(fd, request); }) {}

  int port() const { return server_.port(); }
  void AddPartner(const std::string& id, int port, int destination) {
    const std::lock_guard lock(mutex_);
    instances_[id] = {"PARTNERS", port, "{\"destination\":\"" + std::to_string(destination) + "\"}", 1e9, 0};
  }
  int CountOf(const std::string& app) {
    const std::lock_guard lock(mutex_);
    Expire();
    int count = 0;
    for (const auto& [id, instance] : instances_) count += instance.app == app ? 1 : 0;
    return count;
  }

 private:
  struct Instance {
    std::string app;
    int port = 0;
    std::string metadata = "{}";
    double lease_ends_at = 0;
    double lease_s = 0;
  };

  // The value behind `key` in `text`: a text, or a number.
  static std::string Find(const std::string& text, const std::string& key) {
    const std::size_t at = text.find("\"" + key + "\":");
    if (at == std::string::npos) return "";
    std::size_t from = at + key.size() + 3;
    if (text[from] == '"') {
      ++from;
      return text.substr(from, text.find('"', from) - from);
    }
    return text.substr(from, text.find_first_of(",}", from) - from);
  }

  void Expire() {
    std::erase_if(instances_, [](const auto& entry) {
      const bool is_over = entry.second.lease_ends_at < Now();
      if (is_over) Log().Write("registry: the lease of %s has run out", entry.first.c_str());
      return is_over;
    });
  }

  std::string List() const {
    std::map<std::string, std::string> apps;
    for (const auto& [id, instance] : instances_) {
      std::string& list = apps[instance.app];
      list += std::string(list.empty() ? "" : ",") + R"({"instanceId":")" + id + R"(","app":")" + instance.app +
              R"(","hostName":"127.0.0.1","ipAddr":"127.0.0.1","status":"UP","port":{"$":)" +
              std::to_string(instance.port) + R"(,"@enabled":"true"},"metadata":)" + instance.metadata + "}";
    }
    std::string text = R"({"applications":{"versions__delta":"1","apps__hashcode":"UP_)" +
                       std::to_string(instances_.size()) + R"(_","application":[)";
    bool is_first = true;
    for (const auto& [app, list] : apps) {
      text += std::string(is_first ? "" : ",") + R"({"name":")" + app + R"(","instance":[)" + list + "]}";
      is_first = false;
    }
    return text + "]}}";
  }

  bool Handle(int fd, const HttpMessage& request) {
    const std::string& line = request.first_line;
    const std::size_t space = line.find(' ');
    const std::string method = line.substr(0, space);
    const std::string path = line.substr(space + 1, line.find(' ', space + 1) - space - 1);
    const std::string id = path.substr(path.rfind('/') + 1);
    const std::lock_guard lock(mutex_);
    Expire();
    if (method == "GET") {
      if (path.ends_with("/delta")) return SendAll(fd, Response(403));
      return SendAll(fd, Response(200, "Content-Type: application/json\r\n", List()));
    }
    if (method == "POST") {
      Instance instance;
      instance.app = Find(request.body, "app");
      instance.port = std::atoi(Find(request.body, "$").c_str());
      instance.lease_s = std::atof(Find(request.body, "durationInSecs").c_str());
      instance.lease_ends_at = Now() + instance.lease_s;
      const std::string name = Find(request.body, "instanceId");
      Log().Write("registry: %s registered, a lease of %.0f s", name.c_str(), instance.lease_s);
      instances_[name] = instance;
      return SendAll(fd, Response(204));
    }
    const auto found = instances_.find(id);
    if (found == instances_.end()) return SendAll(fd, Response(404));
    if (method == "PUT") {
      found->second.lease_ends_at = Now() + found->second.lease_s;
    } else if (method == "DELETE") {
      Log().Write("registry: %s cancelled", id.c_str());
      instances_.erase(found);
    }
    return SendAll(fd, Response(200));
  }

  std::mutex mutex_;
  std::map<std::string, Instance> instances_;
  Server server_;  // last, because its threads use the fields above
};

}  // namespace review

#endif  // SAGETALLY_REVIEW_STANDINS_2_REGISTRY_H_
