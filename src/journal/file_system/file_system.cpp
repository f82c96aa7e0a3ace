#include "journal/file_system/file_system.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace sagetally {

IoResult<std::size_t> WriteAll(File& file, std::string_view bytes) {
  IoResult<std::size_t> written;
  while (written.value < bytes.size()) {
    const auto [count, error] = file.Append(bytes.substr(written.value));
    written.value += count;
    if (error == 0 || error == EINTR) continue;
    written.error = error;
    break;
  }
  return written;
}

IoResult<std::string> ReadAll(File& file, std::uint64_t max_bytes) {
  const auto [size, size_error] = file.Size();
  if (size_error != 0) return {{}, size_error};
  IoResult<std::string> text{std::string(std::min(size, max_bytes), '\0')};
  std::size_t done = 0;
  while (done < text.value.size()) {
    const auto [count, error] = file.ReadAt(done, text.value.data() + done, text.value.size() - done);
    done += count;
    if (error == EINTR) continue;
    text.error = error;
    if (error != 0 || count == 0) break;
  }
  text.value.resize(done);
  return text;
}

std::string ErrorText(int error) { return std::system_category().message(error); }

}  // namespace sagetally
