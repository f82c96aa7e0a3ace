// A stub of the platform's agent: serves the list of endpoints, watches of its changes, and receives notices.
//
// Used by stub server sets and by the tests of the dispatcher. Lives on one event loop; no threads.
#ifndef SAGETALLY_SRC_LOADTEST_STUB_AGENT_H_
#define SAGETALLY_SRC_LOADTEST_STUB_AGENT_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "loadtest/stub/listener.h"

namespace sagetally::loadtest {

// An entry of the endpoint list.
struct ListedEndpoint {
  std::string uid;
  std::string address;  // "host:port"
  std::string zone = "a";
  std::string model = "partner";
  std::string state = "in_service";
  int destination = 0;
  double rate = 50;  // calls a second
  std::int64_t boot_ms = 0;
};

// The entry as JSON, as the platform's protocol has it.
std::string ToJson(const ListedEndpoint& endpoint);

// Faults of the list's distribution.
struct AgentFaults {
  double late_ms = 0;   // delay of changes
  bool lost = false;    // changes aren't sent; the next one that is brings the new revision
  bool silent = false;  // neither lists nor watches are answered, as while discovery is down
  bool stale = false;   // lists and new watches get the list as it was at the start
};

class Agent {
 public:
  // Port 0: any. Throws std::runtime_error if it can't listen.
  explicit Agent(EventLoop& loop, const Address& at = {"127.0.0.1", 0});
  ~Agent();

  std::uint16_t port() const { return listener_.port(); }

  // Adds or replaces an entry, and sends the change to all watches.
  void Put(const ListedEndpoint& endpoint);
  // Changes the state of a listed endpoint; "terminated" removes it. Ignores unknown ones.
  void SetState(const std::string& uid, const std::string& state);

  // Called when a change has been written to at least one watch.
  std::function<void(const std::string& uid, const std::string& state)> on_state_announced;
  // Called for each notice received.
  std::function<void(const std::string& id, const std::string& status)> on_notice;
  AgentFaults faults;

  // For tests: writes a line to the newest watch; ends it.
  void SendWatchLine(const std::string& line);
  void EndWatch();
  // Whether `line` is part of the notices received.
  bool HasNotice(const std::string& line) const { return notices.find(line) != std::string::npos; }

  std::shared_ptr<Call> watch;              // the newest; null: none
  std::vector<std::string> watch_requests;  // request targets of all watches
  std::string notices;                      // bodies received; empty unless `keep_notices`
  bool keep_notices = true;
  std::deque<int> notice_statuses;  // statuses of the next responses to notices; then 204
  std::int64_t malformed = 0;       // notices

 private:
  void OnRequest(const std::shared_ptr<Call>& call);
  void OnListRequest(const std::shared_ptr<Call>& call);
  void OnNotices(Call& call);
  // Reports each notice of `body`. Returns false if at least one is malformed.
  bool ReadNotices(const std::string& body);
  void SendChange(const ListedEndpoint& endpoint);
  std::string ListJson() const;
  void SendHeartbeat();

  EventLoop& loop_;
  std::int64_t revision_ = 1;
  std::map<std::string, ListedEndpoint> endpoints_;
  std::map<std::string, ListedEndpoint> initial_endpoints_;  // until the first watch
  std::vector<std::shared_ptr<Call>> watches_;
  std::vector<std::unique_ptr<Timer>> delayed_changes_;
  Timer heartbeat_timer_;
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_AGENT_H_
