// A stub of Eureka's registry, as far as its clients here use it: registration, renewal and removal of
// instances, full lists and deltas (github.com/Netflix/eureka/wiki/Eureka-REST-operations). Lives on one
// event loop; no threads.
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
  // Port 0: any. Throws std::runtime_error if it can't listen.
  explicit Registry(EventLoop& loop, const Address& at = {"127.0.0.1", 0});

  std::uint16_t port() const { return listener_.port(); }

  // Registers an instance. `more`: further JSON members of the instance, with a leading comma.
  void Put(const std::string& app, const std::string& id, std::uint16_t port, const std::string& more = "");
  void Remove(const std::string& app, const std::string& id);
  std::size_t InstanceCount(const std::string& app) const;

  std::vector<std::string> asked;  // "METHOD target" of all requests; empty unless `keep_asked`
  bool keep_asked = true;
  bool forgetful = false;  // answers the next renewal with 404
  bool silent = false;     // answers nothing
  bool stale = false;      // answers with the full list as it was when it became so, as after a restart

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
  std::vector<Change> changes_;                   // the newest kMaxChanges
  std::string stale_list_;
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_REGISTRY_H_
