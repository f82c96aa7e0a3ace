#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include "net/http_connection.h"
#include "net/write_observer.h"

namespace sagetally {
namespace {

constexpr std::size_t kMostAnswer = 64 * 1024 * 1024;  // a registry's list of all applications

}  // namespace

class HttpClient::PendingCall {
 public:
  PendingCall(HttpClient& calls, const Address& to, Done done)
      : calls_(calls),
        done_(std::move(done)),
        connection_(OpenConnection(calls.loop_, to, kMostAnswer, kMostAnswer)),
        watch_(connection_.get(), [] {}),
        time_out_(calls.loop_, [this] {
          End({0, watch_.written()});
        }) {}
  void Send(evhttp_request* request, evhttp_cmd_type method, const std::string& path, Duration time_out) {
    time_out_.Schedule(time_out);
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }
  static void Answered(evhttp_request* request, void* self) {
    auto* one = static_cast<PendingCall*>(self);
    HttpResult result{request == nullptr ? 0 : evhttp_request_get_response_code(request),
                      one->watch_.written()};
    if (result.status_code != 0) {
      evbuffer* in = evhttp_request_get_input_buffer(request);
      result.body.assign(evbuffer_get_length(in), '\0');
      evbuffer_copyout(in, result.body.data(), result.body.size());
      const evkeyvalq* headers = evhttp_request_get_input_headers(request);
      for (const evkeyval* h = headers->tqh_first; h != nullptr; h = h->next.tqe_next) {
        result.headers.emplace_back(h->key, h->value);
      }
    }
    one->End(result);
  }

 private:
  void End(const HttpResult& result) {
    const auto at = calls_.out_.find(this);
    if (at == calls_.out_.end()) return;
    time_out_.Stop();
    calls_.over_.push_back(std::move(at->second));
    calls_.out_.erase(at);
    calls_.sweep_.Schedule(Duration(0));
    done_(result);
  }

  HttpClient& calls_;
  Done done_;
  ConnectionPtr connection_;
  WriteObserver watch_;
  Timer time_out_;
};

HttpClient::HttpClient(EventLoop& loop) : loop_(loop), sweep_(loop, [this] { over_.clear(); }) {}
HttpClient::~HttpClient() = default;

void HttpClient::Send(const Address& to, evhttp_cmd_type method, const std::string& path,
                      const std::vector<std::pair<std::string, std::string>>& headers,
                      const std::string& body, Duration time_out, Done done) {
  auto one = std::make_unique<PendingCall>(*this, to, std::move(done));
  PendingCall* raw = one.get();
  evhttp_request* request = evhttp_request_new(PendingCall::Answered, raw);
  evkeyvalq* out = evhttp_request_get_output_headers(request);
  evhttp_add_header(out, "Host", (to.host + ":" + std::to_string(to.port)).c_str());
  evhttp_add_header(out, "Connection", "close");
  for (const auto& [name, value] : headers) evhttp_add_header(out, name.c_str(), value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  out_[raw] = std::move(one);
  raw->Send(request, method, path, time_out);
}

}  // namespace sagetally
