#include "config/json_stream.h"

namespace sagetally {
namespace {

bool IsSpaceWithinLine(char c) { return c == ' ' || c == '\t' || c == '\r'; }

}  // namespace

bool JsonStream::Add(std::string_view text, const std::function<void(const std::string&)>& on_object,
                     const std::function<void()>& on_blank_line) {
  for (const char c : text) {
    const bool ends_blank_line = EndsBlankLine(c);
    if (IsBetweenObjects()) {
      if (ends_blank_line) on_blank_line();
      if (IsSpaceWithinLine(c) || c == '\n') continue;
      if (c != '{') return false;
    } else if (ends_blank_line || partial_.size() >= max_object_bytes_) {
      return false;
    }
    if (AppendToObject(c)) {
      on_object(partial_);
      partial_.clear();
    }
  }
  return true;
}

bool JsonStream::EndsBlankLine(char c) {
  const bool ends_blank_line = c == '\n' && is_line_blank_;
  is_line_blank_ = c == '\n' || (is_line_blank_ && IsSpaceWithinLine(c));
  return ends_blank_line;
}

bool JsonStream::AppendToObject(char c) {
  partial_ += c;
  if (in_string_) {
    in_string_ = is_escaped_ || c != '"';
    is_escaped_ = !is_escaped_ && c == '\\';
  } else if (c == '"') {
    in_string_ = true;
  } else if (c == '{' || c == '[') {
    ++depth_;
  } else if (c == '}' || c == ']') {
    --depth_;
    return depth_ == 0;
  }
  return false;
}

}  // namespace sagetally
