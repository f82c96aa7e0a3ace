// Calls to endpoints over kept connections: one call at a time on each, none sent twice. evhttp 2.1 can't
// serve here: it tells nothing of an answer whose first line says 200 and whose rest is spoilt, takes any 1xx
// but 100 for the answer, and reads what stands behind one answer as the next.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
#define SAGETALLY_SRC_NET_ENDPOINT_POOL_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "net/event_loop.h"

namespace sagetally {

class EndpointPool : public EndpointClient {
 public:
  struct Limits {
    Duration connect_timeout{0};
    Duration idle{0};              // the endpoint's machine closes idle connections after this
    int most_connections = 1;      // to one endpoint
    std::size_t most_in_all = 64;  // descriptors are few
  };
  EndpointPool(EventLoop& loop, Limits limits, std::function<void(const CallResult&)> back);
  ~EndpointPool() override;

  void StartCall(const CallRequest& order) override;
  void CancelCall(std::uint64_t number) override;
  void CancelCallIfUnsent(std::uint64_t number) override;
  void CloseIdleConnections(const std::string& endpoint) override;
  void UpdateEndpoint(const EndpointUpdate& news) override;
  void RemoveEndpoint(const std::string& endpoint) override;
  std::function<void()> on_written;  // a call's last byte was written; may be empty
  // No calls come any more: connections close as soon as they are idle.
  void Shutdown();
  bool idle() const { return calls_.empty() && now_.empty() && later_.empty(); }  // no result is owed
  std::size_t endpoints() const { return endpoints_.size(); }

 private:
  class Connection;
  struct Endpoint {
    std::string text;
    Address address;
    std::vector<Connection*> idle;  // the longest idle first
    int open = 0;
    bool gone = false;  // no list names it any more
  };

  Connection* Open(Endpoint& endpoint);
  void RecallFrom(const Endpoint& endpoint);
  bool MakeRoom();
  Connection* TakeIdle(Endpoint& endpoint);
  // `settle`: the endpoint may not know yet that the call is over.
  void Finish(Connection& connection, CallResult result, bool reusable, bool settle);
  void Report(CallResult result, bool settle);
  void ReportNow();
  void ReportLater();
  void Drop(Connection& connection);  // closed now or once libevent is out of it

  EventLoop& loop_;
  const Limits limits_;
  std::function<void(const CallResult&)> back_;
  std::map<std::string, Endpoint> endpoints_;
  std::map<Connection*, std::unique_ptr<Connection>> connections_;
  std::map<std::uint64_t, Connection*> calls_;  // by number of the message
  std::vector<std::unique_ptr<Connection>> dropped_;
  std::vector<CallResult> now_;
  std::deque<std::pair<std::chrono::steady_clock::time_point, CallResult>> later_;
  bool leaving_ = false;
  Timer report_now_, report_later_, sweep_;
};

// What an X-Load header tells; nothing of it if any part can't be read.
LoadReport ReadLoad(std::string_view text);
// The duration that X-Deadline holds.
std::string DeadlineText(Duration d);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_POOL_H_
