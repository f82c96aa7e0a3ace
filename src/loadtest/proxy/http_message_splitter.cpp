#include "loadtest/proxy/http_message_splitter.h"

#include <charconv>
#include <optional>

namespace sagetally::loadtest {
namespace {

constexpr std::string_view kHeadEnd = "\r\n\r\n";
constexpr std::string_view kStatusPrefix = "HTTP/1.1 ";
constexpr std::size_t kMaxHeadBytes = 64 * 1024;

template <typename Number>
std::optional<Number> ParseWhole(std::string_view text) {
  Number number{};
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return number;
}

// Returns the size of the body, or nothing if it can't be told from the head.
std::optional<std::size_t> BodySize(std::string_view head) {
  if (!HeaderValue(head, "Transfer-Encoding").empty()) return std::nullopt;
  const std::string length = HeaderValue(head, "Content-Length");
  if (length.empty()) return 0;
  return ParseWhole<std::size_t>(length);
}

}  // namespace

std::vector<std::string> HttpMessageSplitter::Add(std::string_view bytes) {
  std::vector<std::string> messages;
  if (is_opaque_) return messages;
  pending_ += bytes;
  while (!pending_.empty()) {
    const std::size_t head_end = pending_.find(kHeadEnd);
    if (head_end == std::string::npos) {
      is_opaque_ = pending_.size() > kMaxHeadBytes;
      break;
    }
    const std::size_t head_size = head_end + kHeadEnd.size();
    const std::optional<std::size_t> body_size = BodySize(std::string_view(pending_).substr(0, head_size));
    if (!body_size) {
      is_opaque_ = true;
      break;
    }
    if (pending_.size() < head_size + *body_size) break;
    messages.push_back(pending_.substr(0, head_size + *body_size));
    pending_.erase(0, head_size + *body_size);
  }
  if (is_opaque_) pending_.clear();
  return messages;
}

std::string HeaderValue(std::string_view message, std::string_view name) {
  const std::string line_start = "\r\n" + std::string(name) + ": ";
  const std::string_view head = message.substr(0, message.find(kHeadEnd));
  const std::size_t found = head.find(line_start);
  if (found == std::string_view::npos) return "";
  const std::size_t value = found + line_start.size();
  return std::string(head.substr(value, head.find("\r\n", value) - value));
}

int StatusOf(std::string_view response) {
  if (!response.starts_with(kStatusPrefix)) return 0;
  return ParseWhole<int>(response.substr(kStatusPrefix.size(), 3)).value_or(0);
}

}  // namespace sagetally::loadtest
