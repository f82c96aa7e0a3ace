// One request of a client to an HttpServer, and its response. Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_NET_HTTP_EXCHANGE_H_
#define SAGETALLY_SRC_NET_HTTP_EXCHANGE_H_

#include <cstdint>
#include <string>
#include <utility>

#include "net/http_headers.h"

namespace sagetally {

class ServerConnection;

// Shared by its connection and by the handler that answers it. May outlive the connection.
class Exchange {
 public:
  using Headers = HttpHeaders;

  // `path` is the request's target without its query.
  Exchange(ServerConnection* client, std::string method, std::string path, Headers headers, std::string body)
      : client_(client),
        method_(std::move(method)),
        path_(std::move(path)),
        headers_(std::move(headers)),
        body_(std::move(body)) {}

  const std::string& method() const { return method_; }
  const std::string& path() const { return path_; }
  // Returns the value of the first header with this name, compared without regard to case, or an empty string
  // if there is none.
  std::string Header(const char* name) const;
  const Headers& headers() const { return headers_; }
  const std::string& body() const { return body_; }
  // The number of the request's connection, which is unique within its server.
  std::uint64_t connection_number() const { return connection_number_; }
  // Identifies the request's client among those of the process, whatever server it uses; not 0. A client is a
  // connection, because behind a front all have the same address.
  std::uint64_t client_id() const { return client_id_; }
  // Returns whether this is the first request on its connection.
  bool is_first_request() const { return is_first_request_; }
  // Returns whether no response can be sent any more, because one was sent or the connection has closed.
  bool is_closed() const { return client_ == nullptr; }
  // Sends the response. Adds Content-Length and Connection to `headers`. Returns false if the client gets no
  // response: because of is_closed(), or because the request is a copy (see MarkRepeated()).
  bool Respond(int code, const std::string& body = "", const Headers& headers = {});
  // Marks the request as a repetition of one that has its answer already. Either its client has submitted it
  // again and waits for a response, or something on its way has made a copy, whose response the client would
  // take for that to its next request. If it can only be a copy, it gets no response, and the connection is
  // ended between two requests. Otherwise it gets a response that ends the connection.
  void MarkRepeated() { is_repeated_ = true; }
  bool is_repeated() const { return is_repeated_; }

 private:
  friend class ServerConnection;

  ServerConnection* client_;
  std::uint64_t connection_number_ = 0;
  std::uint64_t client_id_ = 0;
  bool is_first_request_ = false;
  bool is_repeated_ = false;
  std::string method_;
  std::string path_;
  Headers headers_;
  std::string body_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_HTTP_EXCHANGE_H_
