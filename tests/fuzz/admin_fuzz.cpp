// Any bytes at the operators' door: read one way, and the same however they are cut.
#include <cstdlib>

#include "admin/admin_request.h"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data, std::size_t size) {
  using namespace sagetally;
  const std::string_view all(reinterpret_cast<const char*>(data), size);
  const ReadCall read = ReadOperatorCall(all);
  const bool ended = read.state != ReadCall::State::kUnfinished;
  if ((read.state == ReadCall::State::kRead) != (read.call != OperatorCall::kNone)) std::abort();
  if (!ended && (size >= kMostOperatorLine || all.find('\n') != all.npos)) std::abort();
  // What is not finished yet stays open until it is, and nothing shorter than a call's line is one.
  for (std::size_t cut = 0; cut < size; ++cut) {
    const ReadCall part = ReadOperatorCall(all.substr(0, cut));
    if (part.state == ReadCall::State::kRead && read.state == ReadCall::State::kRead) std::abort();
    if (!ended && part.state != ReadCall::State::kUnfinished) std::abort();
  }
  return 0;
}
