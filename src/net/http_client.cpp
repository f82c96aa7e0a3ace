#include "net/http_client.h"

#include <event2/buffer.h>
#include <event2/keyvalq_struct.h>

#include <utility>

#include "net/http_connection.h"
#include "net/socket_address.h"
#include "net/write_observer.h"

namespace sagetally {
namespace {

void ReadResponse(evhttp_request* request, HttpResult& result) {
  evbuffer* input = evhttp_request_get_input_buffer(request);
  result.body.assign(evbuffer_get_length(input), '\0');
  evbuffer_copyout(input, result.body.data(), result.body.size());
  const evkeyvalq* headers = evhttp_request_get_input_headers(request);
  for (const evkeyval* header = headers->tqh_first; header != nullptr; header = header->next.tqe_next) {
    result.headers.emplace_back(header->key, header->value);
  }
}

}  // namespace

// A request in flight, its connection and its timeout.
class HttpClient::PendingCall {
 public:
  PendingCall(HttpClient& client, const Address& address, ResultCallback on_result)
      : client_(client),
        on_result_(std::move(on_result)),
        connection_(OpenHttpConnection(client.loop_, address,
                                       {client.max_response_bytes_, client.max_response_bytes_})),
        write_observer_(connection_.get(), [] {}),
        timer_(client.loop_, [this] { OnTimeout(); }) {}

  void Send(evhttp_request* request, evhttp_cmd_type method, const std::string& path, Duration timeout) {
    timer_.Schedule(timeout);
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }

  // evhttp's callback. `request` is null or has the status code 0 if the connection failed.
  static void OnResponse(evhttp_request* request, void* self) {
    auto* call = static_cast<PendingCall*>(self);
    HttpResult result;
    result.status_code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    result.request_written = call->write_observer_.is_written();
    if (result.status_code != 0) ReadResponse(request, result);
    call->Finish(result);
  }

 private:
  void OnTimeout() {
    HttpResult result;
    result.is_timeout = true;
    result.request_written = write_observer_.is_written();
    Finish(result);
  }

  void Finish(const HttpResult& result) {
    const auto found = client_.pending_calls_.find(this);
    if (found == client_.pending_calls_.end()) return;
    timer_.Stop();
    client_.finished_calls_.Delete(std::move(found->second));
    client_.pending_calls_.erase(found);
    on_result_(result);
  }

  HttpClient& client_;
  ResultCallback on_result_;
  ConnectionPtr connection_;
  WriteObserver write_observer_;
  Timer timer_;
};

HttpClient::HttpClient(EventLoop& loop, std::size_t max_response_bytes)
    : loop_(loop), max_response_bytes_(max_response_bytes), finished_calls_(loop) {}

HttpClient::~HttpClient() = default;

void HttpClient::Send(const Address& address, evhttp_cmd_type method, const std::string& path,
                      const HttpHeaders& headers, const std::string& body, Duration timeout,
                      ResultCallback on_result) {
  auto owned = std::make_unique<PendingCall>(*this, address, std::move(on_result));
  PendingCall* call = owned.get();
  evhttp_request* request = evhttp_request_new(PendingCall::OnResponse, call);
  evkeyvalq* output_headers = evhttp_request_get_output_headers(request);
  evhttp_add_header(output_headers, "Host", FormatAddress(address).c_str());
  evhttp_add_header(output_headers, "Connection", "close");
  for (const auto& [name, value] : headers) evhttp_add_header(output_headers, name.c_str(), value.c_str());
  evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
  pending_calls_[call] = std::move(owned);
  call->Send(request, method, path, timeout);
}

}  // namespace sagetally
