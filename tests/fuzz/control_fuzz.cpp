// libFuzzer harness for the parser of operator requests, which arrive as lines at the control socket. Any
// line must parse or be rejected with std::runtime_error.
#include <stdexcept>
#include <string_view>

#include "dead_letter/operator_requests.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  try {
    sagetally::dead_letter::ParseOperatorRequest({reinterpret_cast<const char*>(data), size},
                                                 {"aviso", "pedido"});
  } catch (const std::runtime_error&) {
  }
  return 0;
}
