// Eureka's registry, as far as its clients here use it: applications by POST, PUT and DELETE, whole lists and
// deltas by GET (github.com/Netflix/eureka/wiki/Eureka-REST-operations).
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
  explicit Registry(EventLoop& loop, const Address& at = {"127.0.0.1", 0});
  std::uint16_t port() const { return listener_.port(); }
  // `more`: further JSON members of the instance, with a comma in front.
  void Put(const std::string& app, const std::string& id, std::uint16_t port, const std::string& more = "");
  void Remove(const std::string& app, const std::string& id);
  std::size_t Count(const std::string& app) const;

  std::map<std::pair<std::string, std::string>, std::string> instances;
  std::vector<std::pair<std::string, std::string>> changes;  // the newest hundred
  std::vector<std::string> asked;                            // kept only while `keep_asked`
  bool keep_asked = true;
  bool forgetful = false;  // answers the next renewal with 404
  bool silent = false;     // answers nothing
  bool stale = false;      // answers whole lists as they were when it became so, as after a restart

 private:
  void Asked(Call& call);
  std::string Whole() const;
  Listener listener_;
  std::string stale_list_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_REGISTRY_H_
