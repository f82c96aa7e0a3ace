// libFuzzer harness for the parser of admin server requests. Any bytes must parse without a crash, and to the
// same result in however many pieces they arrive.
#include <cstdlib>

#include "admin/admin_request.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace sagetally;
  const std::string_view bytes(reinterpret_cast<const char*>(data), size);
  const AdminRequest request = ParseAdminRequest(bytes);
  const bool is_decided = request.state != AdminRequest::State::kIncomplete;
  if ((request.state == AdminRequest::State::kComplete) != (request.command != AdminCommand::kNone))
    std::abort();
  if (!is_decided && (size >= kMaxAdminLineBytes || bytes.find('\n') != bytes.npos)) std::abort();
  // No prefix of a complete request is complete, and each prefix of an incomplete request is incomplete.
  for (std::size_t length = 0; length < size; ++length) {
    const AdminRequest prefix = ParseAdminRequest(bytes.substr(0, length));
    if (prefix.state == AdminRequest::State::kComplete && request.state == AdminRequest::State::kComplete)
      std::abort();
    if (!is_decided && prefix.state != AdminRequest::State::kIncomplete) std::abort();
  }
  return 0;
}
