#include "journal/file_system/file_system.h"

#include <algorithm>
#include <cerrno>
#include <system_error>

namespace sagetally {

std::size_t WriteAll(File& file, std::string_view bytes, int& error) {
  std::size_t done = 0;
  error = 0;
  while (done < bytes.size()) {
    const std::size_t n = file.Append(bytes.substr(done), error);
    done += n;
    if (error == EINTR) error = 0;
    if (error != 0) break;
  }
  return done;
}

std::string ReadAll(File& file, std::uint64_t most, int& error) {
  const std::uint64_t size = file.Size(error);
  if (error != 0) return {};
  std::string text(std::min(size, most), '\0');
  std::size_t done = 0;
  while (done < text.size()) {
    const std::size_t n = file.ReadAt(done, text.data() + done, text.size() - done, error);
    done += n;
    if (error == EINTR) {
      error = 0;
    } else if (error != 0 || n == 0) {
      break;
    }
  }
  text.resize(done);
  return text;
}

std::string ErrorText(int error) { return std::system_category().message(error); }

}  // namespace sagetally
