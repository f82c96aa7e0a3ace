// A stub of the platform's agent: it serves the endpoint list, streams changes of the list to watches, and
// receives the notices of messages that were deferred or are undeliverable.
//
// It is used by stub server sets and by the tests of the dispatcher. All calls and callbacks run on the
// thread of the event loop.
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
  double rate = 50;          // calls per second, announced as the capacity hint
  std::int64_t boot_ms = 0;  // announced as it is
};

// Returns the entry as JSON in the form of the platform's protocol.
std::string ToJson(const ListedEndpoint& endpoint);

// Faults in the distribution of the endpoint list.
struct AgentFaults {
  double late_ms = 0;  // Each change is sent to the watches after this delay.
  // Changes are not sent. The next change that is sent carries the revision that counts the lost ones too.
  bool lost = false;
  // Requests for the list and new watches get no response, as while discovery is down.
  bool silent = false;
  // Requests for the list and new watches get the list as it was before the first watch.
  bool stale = false;
};

class Agent {
 public:
  // Port 0 lets the kernel choose a port. Throws std::runtime_error if the agent can't listen.
  explicit Agent(EventLoop& loop, const Address& listen_address = {"127.0.0.1", 0});
  ~Agent();

  std::uint16_t port() const { return listener_.port(); }

  // Adds or replaces an entry and sends the change to all watches.
  void Put(const ListedEndpoint& endpoint);
  // Changes the state of a listed endpoint and sends the change to all watches. The state "terminated" also
  // removes the endpoint from the list. An unknown `uid` is ignored.
  void SetState(const std::string& uid, const std::string& state);

  // Called with an endpoint's state after a change of its entry has been written to at least one watch.
  std::function<void(const std::string& uid, const std::string& state)> on_state_announced;
  // Called for each well-formed notice, with the message's id and its status.
  std::function<void(const std::string& id, const std::string& status)> on_notice;
  AgentFaults faults;

  // For tests: writes a line to the newest watch, or ends its response.
  void SendWatchLine(const std::string& line);
  void EndWatch();
  // Returns whether `line` is part of the received notices.
  bool HasNotice(const std::string& line) const { return notices.find(line) != std::string::npos; }

  std::shared_ptr<Call> watch;              // the newest watch, or null
  std::vector<std::string> watch_requests;  // request targets of all watches
  std::string notices;                      // received bodies, if `keep_notices` is set
  bool keep_notices = true;
  // HTTP statuses of the next responses to notices, one per request. Once it is empty, the status is 204.
  std::deque<int> notice_statuses;
  std::int64_t malformed = 0;  // number of malformed notices

 private:
  void OnRequest(const std::shared_ptr<Call>& call);
  void OnListRequest(const std::shared_ptr<Call>& call);
  void OnNotices(Call& call);
  // Calls `on_notice` for each well-formed notice of `body`. Returns false if at least one is malformed.
  bool ReadNotices(const std::string& body);
  void SendChange(const ListedEndpoint& endpoint);
  std::string ListJson() const;
  void SendHeartbeat();

  EventLoop& loop_;
  std::int64_t revision_ = 1;
  std::map<std::string, ListedEndpoint> endpoints_;
  std::map<std::string, ListedEndpoint> initial_endpoints_;  // the list before the first watch
  std::vector<std::shared_ptr<Call>> watches_;
  std::vector<std::unique_ptr<Timer>> delayed_changes_;
  Timer heartbeat_timer_;
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_AGENT_H_
