// Tests the errors of configuration files: the contents of their fields, and the messages built from them.
#undef NDEBUG
#include "config/format_error.h"

#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <optional>
#include <string>

#include "config/config.h"
#include "config/node_file.h"

namespace sagetally {
namespace {

constexpr char kConfigText[] =
    R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","state":"/s","limits":{"sockets":64},)"
    R"("settings":{"grades":[{"slo":1,"deadline":2,"idempotency":"pure"}],)"
    R"("specifics":{"callsOut":8},"caps":{"mostHeld":40,"maxAttempts":6}}})";

const char* NoEnvironment(const char*) { return nullptr; }

// A file that is removed at the end of its scope.
class TemporaryFile {
 public:
  explicit TemporaryFile(const std::string& text)
      : path_(std::filesystem::temp_directory_path() / ("format_error_test-" + std::to_string(getpid()))) {
    std::ofstream(path_) << text;
  }
  ~TemporaryFile() { std::filesystem::remove(path_); }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;
  const std::string& path() const { return path_; }

 private:
  const std::string path_;
};

// Returns the configuration with `old_text` replaced by `new_text`.
std::string ReplaceInConfig(const std::string& old_text, const std::string& new_text) {
  std::string text = kConfigText;
  const std::size_t position = text.find(old_text);
  assert(position != std::string::npos);
  return text.replace(position, old_text.size(), new_text);
}

// Calls `read`, asserts that it throws an Error, and returns the error.
template <typename Error>
Error Catch(const std::function<void()>& read) {
  std::optional<Error> caught;
  try {
    read();
  } catch (const Error& error) {
    caught = error;
  }
  assert(caught);
  return *caught;
}

void ConfigurationErrorsNameKeyExpectedAndFound() {
  ParseConfig(kConfigText, NoEnvironment);
  const struct {
    const char* old_text;
    const char* new_text;
    const char* message;
    const char* key;
    const char* expected;
    const char* found;
  } table[] = {
      {R"("sockets":64)", R"("sockets":9)", "limits: 'sockets' must be at least 64", "limits.sockets",
       "at least 64", "9"},
      {R"("callsOut":8)", R"("callsOut":"x")", "settings: wrong type of 'callsOut'", "settings.callsOut",
       "a whole number in its range", "a string"},
      {R"("callsOut":8)", R"("callsOut":1.5)", "settings: wrong type of 'callsOut'", "settings.callsOut",
       "a whole number in its range", "a number"},
      {R"("slo":1,)", "", "settings: missing field 'slo'", "settings.slo", "a value", "nothing"},
      {R"("pure")", R"("holy")", "settings: unknown idempotency 'holy'", "settings.idempotency",
       "one of pure, token, side_effect", "holy"},
      {"127.0.0.1:0", "a.test:80", "listen: 'a.test:80' is not an address", "listen",
       "a numeric IPv4 address and a port", "a.test:80"},
      {R"("settings":)", R"("other":)", "settings: missing field 'settings'", "settings", "a value",
       "nothing"},
      {R"("limits":{"sockets":64})", R"("limits":[])", "limits: no object around 'disk_mb'", "limits.disk_mb",
       "an object", "an array"},
  };
  for (const auto& row : table) {
    const auto error =
        Catch<FormatError>([&] { ParseConfig(ReplaceInConfig(row.old_text, row.new_text), NoEnvironment); });
    assert(error.what() == std::string(row.message));
    assert(error.key() == row.key && error.expected() == row.expected && error.found() == row.found);
  }
}

void ConfigurationErrorsNameTheFile() {
  const TemporaryFile file(ReplaceInConfig(R"("name":"n0")", R"("name":7)"));
  const auto environment = [&](const char* variable) -> const char* {
    return std::string(variable) == "BALANCER_CONFIG" ? file.path().c_str() : nullptr;
  };
  const auto error = Catch<ConfigError>([&] { ReadConfig(environment); });
  assert(error.file() == file.path() && error.key() == "name" && error.found() == "a number");
  assert(error.what() == std::string("wrong type of 'name'"));
  const auto not_set = Catch<ConfigError>([] { ReadConfig(NoEnvironment); });
  assert(not_set.file().empty() && not_set.key() == "BALANCER_CONFIG");
}

void NodeFileErrorsNameFilePointerExpectedAndFound() {
  const TemporaryFile file(R"({"journal":{"group_ms":"soon"}})");
  const auto error = Catch<ConfigError>([&] { ReadNodeFile(file.path()); });
  assert(error.file() == file.path() && error.key() == "/journal/group_ms" && error.found() == R"("soon")");
  assert(error.what() ==
         file.path() + ": " + error.key() + ": expected " + error.expected() + ", found " + error.found());
}

// Callers that don't use the typed errors can catch them as std::runtime_error.
void ErrorsAreRuntimeErrors() {
  Catch<std::runtime_error>([] { ParseConfig("{", NoEnvironment); });
  Catch<std::runtime_error>([] { ParseNodeFile("{"); });
}

}  // namespace
}  // namespace sagetally

int main() {
  using namespace sagetally;
  ConfigurationErrorsNameKeyExpectedAndFound();
  ConfigurationErrorsNameTheFile();
  NodeFileErrorsNameFilePointerExpectedAndFound();
  ErrorsAreRuntimeErrors();
  std::puts("4 passed, 0 failed");
}
