// Cuts a stream of JSON objects into single ones, whether each stands on a line or is indented over many.
// Used for the platform's endpoint list, on the event loop's thread. No I/O.
#ifndef SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
#define SAGETALLY_SRC_CONFIG_JSON_STREAM_H_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace sagetally {

// Splits one stream; holds at most one object that is not complete yet.
class JsonStream {
 public:
  // `max_object_bytes` limits the length of one object.
  explicit JsonStream(std::size_t max_object_bytes) : max_object_bytes_(max_object_bytes) {}

  // Takes the next bytes of the stream. Calls `on_object` with the text of each object that is complete now,
  // and `on_blank_line` for each empty line between objects. Returns false if the bytes can't be, or begin,
  // an object, or if it is too long: then nothing that follows can be trusted. An empty line within an object
  // is such a fault: the peer sends them only between objects, so the rest of that object won't come.
  bool Add(std::string_view text, const std::function<void(const std::string&)>& on_object,
           const std::function<void()>& on_blank_line);
  // Forgets what has come, for a new stream.
  void Clear() { *this = JsonStream(max_object_bytes_); }

 private:
  bool IsBetweenObjects() const { return depth_ == 0; }
  // Returns whether `c` ends a line that holds nothing but white space.
  bool EndsBlankLine(char c);
  // Appends a character of an object. Returns true if it is the object's last.
  bool AppendToObject(char c);

  std::size_t max_object_bytes_;
  std::string partial_;  // the object that is not complete yet
  int depth_ = 0;        // of brackets that are open
  bool in_string_ = false;
  bool is_escaped_ = false;  // the last character was a backslash in a string
  // Nothing but white space has come since a line's end or the stream's beginning.
  bool is_line_blank_ = true;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_CONFIG_JSON_STREAM_H_
