// Tells the platform the ends of messages taken on and not delivered, again until it has heard them.
#ifndef SAGETALLY_SRC_NET_NOTICES_H_
#define SAGETALLY_SRC_NET_NOTICES_H_

#include <functional>
#include <map>
#include <string>
#include <vector>

#include "config/config.h"
#include "core/ports.h"
#include "net/loop.h"

namespace sagetally {

class Notices : public Teller {
 public:
  // `heard` is called for each message whose notice was answered with 204.
  Notices(Loop& loop, const Address& discovery, std::function<void(std::uint64_t)> heard,
          std::function<void(const std::string&)> log);
  ~Notices() override;

  void Tell(const Message& message) override;
  void Forget(std::uint64_t number) { waiting_.erase(number); }
  bool idle() const { return waiting_.empty(); }

 private:
  void Post();
  void Failed(const char* how);
  static void Done(evhttp_request* request, void* self);

  Loop& loop_;
  const Address discovery_;
  std::function<void(std::uint64_t)> heard_;
  std::function<void(const std::string&)> log_;
  std::map<std::uint64_t, std::string> waiting_;  // a line of JSON each
  std::vector<std::uint64_t> out_;                // in the post that is out
  bool failing_ = false;
  ConnectionPtr connection_;
  Timer post_, unheard_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_NOTICES_H_
