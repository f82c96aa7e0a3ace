// HTTP clients for tests: ClientRequest sends one whole request, RawClient writes any bytes. Both are used on
// the event loop's thread only.
#ifndef SAGETALLY_TESTS_APP_HTTP_TEST_CLIENTS_H_
#define SAGETALLY_TESTS_APP_HTTP_TEST_CLIENTS_H_

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/keyvalq_struct.h>

#include <memory>
#include <string>

#include "frontend/cloudevents/cloud_event.h"
#include "loopback.h"

namespace sagetally {

// Owns a connection of libevent.
using BufferEventPtr = std::unique_ptr<bufferevent, Free<bufferevent_free>>;

// Removes and returns all bytes that have arrived on a connection.
inline std::string DrainInput(bufferevent* connection) {
  evbuffer* input = bufferevent_get_input(connection);
  std::string text(evbuffer_get_length(input), '\0');
  evbuffer_remove(input, text.data(), text.size());
  return text;
}

// Returns the value of the first header of that name, whatever its case; empty if there is none.
inline std::string HeaderValue(const Headers& headers, const std::string& name) {
  for (const auto& [header, value] : headers) {
    if (evutil_ascii_strcasecmp(header.c_str(), name.c_str()) == 0) return value;
  }
  return "";
}

// Sends one request on a connection of its own, and holds the response.
class ClientRequest {
 public:
  // Starts to send the request to `port` on the loopback interface.
  ClientRequest(EventLoop& loop, std::uint16_t port, const std::string& path, const Headers& request_headers,
                const std::string& body, evhttp_cmd_type method = EVHTTP_REQ_POST)
      : connection_(evhttp_connection_base_new(loop.base(), nullptr, "127.0.0.1", port)) {
    evhttp_connection_set_retries(connection_.get(), 0);
    evhttp_request* request = evhttp_request_new(OnDone, this);
    evkeyvalq* output_headers = evhttp_request_get_output_headers(request);
    evhttp_add_header(output_headers, "Host", "backend.local");
    for (const auto& [name, value] : request_headers) {
      evhttp_add_header(output_headers, name.c_str(), value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), body.data(), body.size());
    evhttp_make_request(connection_.get(), request, method, path.c_str());
  }

  int status_code = -1;  // of the response; -1 while there is none, 0 if the connection has failed
  std::string body;      // of the response
  Headers headers;       // of the response

 private:
  static void OnDone(evhttp_request* request, void* self) {
    auto* client = static_cast<ClientRequest*>(self);
    client->status_code = request == nullptr ? 0 : evhttp_request_get_response_code(request);
    if (request == nullptr || client->status_code == 0) return;
    evbuffer* input = evhttp_request_get_input_buffer(request);
    client->body.assign(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, client->body.data(), client->body.size());
    const evkeyvalq* input_headers = evhttp_request_get_input_headers(request);
    for (const evkeyval* header = input_headers->tqh_first; header != nullptr;
         header = header->next.tqe_next) {
      client->headers.emplace_back(header->key, header->value);
    }
  }

  ConnectionPtr connection_;
};

// A connection that sends any bytes, and holds the bytes that it receives.
class RawClient {
 public:
  // Connects to `port` on the loopback interface, and sends `text`.
  RawClient(EventLoop& loop, std::uint16_t port, const std::string& text)
      : connection_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bufferevent_setcb(connection_.get(), OnReadable, nullptr, OnEvent, this);
    bufferevent_enable(connection_.get(), EV_READ | EV_WRITE);
    bufferevent_socket_connect(connection_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address);
    Write(text);
  }
  // Sends more bytes.
  void Write(const std::string& text) { bufferevent_write(connection_.get(), text.data(), text.size()); }
  // Returns whether the response is an error (4xx or 5xx) or the server has closed the connection.
  bool failed() const {
    return closed || (received.starts_with("HTTP/1.1 ") && (received[9] == '4' || received[9] == '5'));
  }

  std::string received;  // all bytes that have arrived
  bool closed = false;   // by the server, or by an error

 private:
  static void OnReadable(bufferevent* connection, void* self) {
    static_cast<RawClient*>(self)->received += DrainInput(connection);
  }
  static void OnEvent(bufferevent*, short events, void* self) {
    if ((events & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) static_cast<RawClient*>(self)->closed = true;
  }

  BufferEventPtr connection_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_APP_HTTP_TEST_CLIENTS_H_
