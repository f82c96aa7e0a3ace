// The platform's agent: the list of endpoints, its watch, and notices.
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

struct Target {  // an entry of the list
  std::string uid, endpoint, zone = "a", model = "partner", state = "in_service";
  int destination = 0;
  double rate = 50;
  std::int64_t boot_ms = 0;
};
std::string ToJson(const Target& target);

struct AgentScript {    // how changes of the list are told
  double late_ms = 0;   // so much later
  bool lost = false;    // not at all: the next change brings the revision on
  bool silent = false;  // as while discovery is down: neither lists nor watches are answered
  bool stale = false;   // lists and new watches get the list as it was at the start
};

class Agent {
 public:
  explicit Agent(EventLoop& loop, const Address& at = {"127.0.0.1", 0});
  ~Agent();

  std::uint16_t port() const { return listener_.port(); }
  // Puts an entry in or replaces it, and tells those who watch.
  void Put(const Target& target);
  void SetState(const std::string& uid, const std::string& state);
  // Called when a change has been written to a watch.
  std::function<void(const std::string& uid, const std::string& state)> on_told;
  // One line of a notice, as it came; 204 is answered unless `script` says otherwise.
  std::function<void(const std::string& id, const std::string& status)> on_notice;
  AgentScript how;

  // For tests: a line to the newest watch, its end, what was heard.
  void Say(const std::string& line);
  void EndWatch();
  bool Told(const std::string& line) const { return notices.find(line) != std::string::npos; }
  std::shared_ptr<Call> watch;     // the newest
  std::vector<std::string> asked;  // targets of watches
  std::string notices;             // kept only while `keep_notices`
  bool keep_notices = true;
  std::deque<int> script;  // of the answers to notices
  std::int64_t malformed = 0;

 private:
  void Asked(const std::shared_ptr<Call>& call);
  void Notices(Call& call);
  void TellChange(const Target& target);
  std::string List(const std::map<std::string, Target>& targets, std::int64_t revision) const;
  void Beat();

  EventLoop& loop_;
  std::int64_t revision_ = 1;
  std::map<std::string, Target> targets_, first_;
  std::vector<std::shared_ptr<Call>> watches_;
  std::vector<std::unique_ptr<Timer>> late_;
  Timer beat_;
  Listener listener_;
};

}  // namespace sagetally::loadtest

#endif  // SAGETALLY_SRC_LOADTEST_STUB_AGENT_H_
