// Any bytes at the admin server: they are parsed in one way, however they arrive.
#include <cstdlib>

#include "admin/admin_request.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace sagetally;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const AdminRequest request = ParseAdminRequest(bytes);
  const bool has_ended = request.state != AdminRequest::State::kIncomplete;
  if ((request.state == AdminRequest::State::kComplete) != (request.command != AdminCommand::kNone))
    std::abort();
  if (!has_ended && (size >= kMaxAdminLineBytes || bytes.find('\n') != bytes.npos)) std::abort();
  // A prefix of a complete request is never complete itself, and one of an incomplete request is incomplete.
  for (std::size_t length = 0; length < size; ++length) {
    const AdminRequest prefix = ParseAdminRequest(bytes.substr(0, length));
    if (prefix.state == AdminRequest::State::kComplete && request.state == AdminRequest::State::kComplete)
      std::abort();
    if (!has_ended && prefix.state != AdminRequest::State::kIncomplete) std::abort();
  }
  return 0;
}
