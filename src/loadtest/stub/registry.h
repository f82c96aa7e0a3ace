// A stub of a Eureka service registry. It implements the operations that sagetally uses: registration,
// renewal and removal of instances, full lists and deltas
// (github.com/Netflix/eureka/wiki/Eureka-REST-operations). All calls run on the thread of the event loop.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_REGISTRY_H_
#define SAGETALLY_SRC_LOADTEST_STUB_REGISTRY_H_

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "loadtest/stub/listener.h"

namespace sagetally::loadtest {

class Registry {
 public:
  // Port 0 lets the kernel choose a port. Throws std::runtime_error if the registry can't listen.
  explicit Registry(EventLoop& loop, const Address& listen_address = {"127.0.0.1", 0});

  std::uint16_t port() const { return listener_.port(); }

  // Registers an instance of the application `app`. `more` holds further JSON members of the instance and
  // starts with a comma.
  void Put(const std::string& app, const std::string& id, std::uint16_t port, const std::string& more = "");
  void Remove(const std::string& app, const std::string& id);
  std::size_t InstanceCount(const std::string& app) const;

  std::vector<std::string> requests;  // "METHOD target" of each request, if `keep_requests` is set
  bool keep_requests = true;
  bool rejects_next_renewal = false;  // The next renewal gets the status 404.
  bool silent = false;                // Requests get no response.
  // Full lists stay as they were at the first list request after `stale` was set, as after a restart of the
  // registry.
  bool stale = false;

 private:
  struct Change {
    std::string app;
    std::string instance;  // JSON
  };
  using InstanceKey = std::pair<std::string, std::string>;  // application and instance id

  void OnRequest(Call& call);
  void OnListRequest(Call& call, const std::string& path);
  void OnRegistration(Call& call, const std::string& app);
  void AddChange(const std::string& app, const std::string& instance);
  std::string FullListJson() const;
  std::string DeltaJson() const;

  std::map<InstanceKey, std::string> instances_;  // JSON without its closing brace
  std::vector<Change> changes_;                   // the last kMaxChanges changes
  std::string stale_list_;
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_REGISTRY_H_
