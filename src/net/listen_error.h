// The exception of a server or transport that can't open its listening socket.
#ifndef SAGETALLY_SRC_NET_LISTEN_ERROR_H_
#define SAGETALLY_SRC_NET_LISTEN_ERROR_H_

#include <stdexcept>
#include <string>
#include <utility>

namespace sagetally {

// Thrown if a listening socket can't be opened. what() is a text for operators.
class ListenError : public std::runtime_error {
 public:
  // `address` is "host:port", or the path of a Unix socket. `error_number` is the errno of the call that
  // failed, or 0 if the address is invalid.
  ListenError(const std::string& message, std::string address, int error_number)
      : std::runtime_error(message), address_(std::move(address)), error_number_(error_number) {}

  const std::string& address() const { return address_; }
  int error_number() const { return error_number_; }

 private:
  std::string address_;
  int error_number_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_LISTEN_ERROR_H_
