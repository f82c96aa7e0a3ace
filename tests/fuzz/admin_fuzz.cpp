// Any bytes at the operators' door: read one way, and the same however they are cut.
#include <cstdlib>

#include "admin/admin_request.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace sagetally;
  const std::string_view all(reinterpret_cast<const char*>(data), size);
  const AdminRequest read = ParseAdminRequest(all);
  const bool ended = read.state != AdminRequest::State::kIncomplete;
  if ((read.state == AdminRequest::State::kComplete) != (read.command != AdminCommand::kNone)) std::abort();
  if (!ended && (size >= kMaxAdminLineBytes || all.find('\n') != all.npos)) std::abort();
  // What is not finished yet stays open until it is, and nothing shorter than a call's line is one.
  for (std::size_t cut = 0; cut < size; ++cut) {
    const AdminRequest part = ParseAdminRequest(all.substr(0, cut));
    if (part.state == AdminRequest::State::kComplete && read.state == AdminRequest::State::kComplete)
      std::abort();
    if (!ended && part.state != AdminRequest::State::kIncomplete) std::abort();
  }
  return 0;
}
