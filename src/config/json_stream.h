// Cuts a stream of JSON objects into whole ones, whether each stands on a line or is indented over many. No
// I/O.
#ifndef SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
#define SAGETALLY_SRC_CONFIG_JSON_STREAM_H_

#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

class JsonStream {
 public:
  explicit JsonStream(std::size_t longest) : longest_(longest) {}

  // Calls `object` with the text of each that is whole now, and `blank` for each empty line between them.
  // False: what came can't be, or begin, an object, or is too long; nothing that follows can be trusted. An
  // empty line within one is such: the peer sends them only between, so the rest of that object is not to
  // come.
  bool Add(std::string_view text, const std::function<void(const std::string&)>& object,
           const std::function<void()>& blank) {
    for (const char c : text) {
      const bool line_empty = c == '\n' && line_empty_;
      line_empty_ = c == '\n' || (line_empty_ && (c == ' ' || c == '\t' || c == '\r'));
      if (depth_ == 0 && line_empty) blank();
      if (depth_ == 0 && (c == ' ' || c == '\t' || c == '\r' || c == '\n')) continue;
      if (depth_ == 0 ? c != '{' : line_empty || partial_.size() >= longest_) return false;
      partial_ += c;
      if (in_string_) {
        in_string_ = escaped_ || c != '"';
        escaped_ = !escaped_ && c == '\\';
      } else if (c == '"') {
        in_string_ = true;
      } else if (c == '{' || c == '[') {
        ++depth_;
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        object(partial_);
        partial_.clear();
      }
    }
    return true;
  }
  void Clear() { *this = JsonStream(longest_); }

 private:
  std::size_t longest_;
  std::string partial_;
  int depth_ = 0;
  bool in_string_ = false, escaped_ = false;
  bool line_empty_ = true;  // nothing but white space since a line's end, or the stream's beginning
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
