// Splits a stream of JSON objects into single objects. An object may be on one line or span many lines. Used
// for the platform's endpoint list, on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
#define SAGETALLY_SRC_CONFIG_JSON_STREAM_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

// Splits one stream. Buffers at most one object, the one that is not complete yet.
class JsonStream {
 public:
  // `max_object_bytes` is the maximum length of one object in bytes.
  explicit JsonStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  // Processes the next bytes of the stream. Calls `on_object` with the text of each object that is complete
  // now, and `on_blank_line` for each blank line between objects. Returns false if the bytes are not part of
  // an object, or if an object is too long. The rest of the stream can't be trusted then. A blank line within
  // an object is also such an error: the peer sends blank lines only between objects, so the rest of that
  // object will never arrive.
  bool Add(std::string_view text, const std::function<void(const std::string&)>& on_object,
           const std::function<void()>& on_blank_line);
  // Discards all state, to begin a new stream.
  void Clear() { *this = JsonStream(max_object_bytes_); }

 private:
  bool IsBetweenObjects() const { return depth_ == 0; }
  // Updates `is_line_blank_`. Returns whether `c` ends a line that contains only white space.
  bool EndsBlankLine(char c);
  // Appends a character to the current object. Returns whether it is the last character of the object.
  bool AppendToObject(char c);

  std::size_t max_object_bytes_;
  std::string partial_;  // the object that is not complete yet
  int depth_ = 0;        // number of open brackets and braces
  bool in_string_ = false;
  bool is_escaped_ = false;  // the last character was a backslash in a string
  // Whether only white space has arrived since the last line end or the beginning of the stream.
  bool is_line_blank_ = true;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
