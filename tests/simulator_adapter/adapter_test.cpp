// Runs the simulator adapter as a process. It must answer valid batches, and exit with code 1 and one line on
// standard error on malformed input.
#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>

namespace {

struct ProcessResult {
  int exit_code = -1;
  std::string out, err;
};

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

// Runs the adapter with `input` as its standard input and returns its exit code and output.
ProcessResult RunAdapter(const std::string& input) {
  char folder[] = "/tmp/sagetally-XXXXXX";
  EXPECT_NE(mkdtemp(folder), nullptr);
  const std::string base = folder;
  std::ofstream(base + "/in") << input;
  const std::string command =
      std::string(SAGETALLY_SIMULATOR_ADAPTER) + " <" + base + "/in >" + base + "/out 2>" + base + "/err";
  const int status = std::system(command.c_str());
  ProcessResult result{WEXITSTATUS(status), ReadFile(base + "/out"), ReadFile(base + "/err")};
  for (const char* name : {"/in", "/out", "/err"}) std::remove((base + name).c_str());
  rmdir(folder);
  return result;
}

const char* const kStartEvent =
    R"({"Begin":{"seed":1,"params":{"grades":[{"slo":1000,"deadline":9000,"idempotency":"pure"}],)"
    R"("flavors":["x"],"unknownKey":[1],"specifics":{"callsOut":2},"caps":{"mostHeld":9,"maxAttempts":3}}}})";
const char* const kEndpointListEvents =
    R"({"SnapshotRows":{"slot":0,"hosts":[{"destination":4,"endpoint":"a:1","mode":"up"}]}},)"
    R"({"BackendsChanged":{"seqNo":1,"kind":"SAVED","slot":0}})";
const char* const kMessageEvent = R"({"Order":{"req":"c:x","grace":9000,"calledNode":4}})";

// Returns the line of a batch that holds `events`, comma-separated JSON values, for one dispatcher.
std::string Batch(const std::string& events, const std::string& node = "node-0") {
  return R"({"moment":5.5,"groups":[{"nodeId":")" + node + R"(","happened":[)" + events + "]}]}\n";
}

TEST(SimulatorAdapter, AnswersAnEmptyBatchAndExitsAtTheEndOfInput) {
  const ProcessResult result = RunAdapter("{\"moment\":1,\"groups\":[]}\n");
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_EQ(result.out, "{\"groups\":[]}\n");
  EXPECT_EQ(result.err, "");
}

TEST(SimulatorAdapter, ForwardsAnAcceptedMessage) {
  const ProcessResult result =
      RunAdapter(Batch(std::string(kStartEvent) + "," + kEndpointListEvents + "," + kMessageEvent));
  EXPECT_EQ(result.exit_code, 0);
  EXPECT_NE(result.out.find(R"("Forward":{"endpoint":"a:1","req":"c:x")"), std::string::npos) << result.out;
}

TEST(SimulatorAdapter, RestartWithinABatchDiscardsEarlierEventsAndMessages) {
  const ProcessResult result = RunAdapter(
      Batch(std::string(kStartEvent) + "," + kEndpointListEvents) +
      Batch(std::string(kMessageEvent) + R"(,{"Retire":{}},)" + kStartEvent + "," + kEndpointListEvents) +
      Batch(R"({"Alarm":{"keyBack":0}},{"Abandoned":{"req":"c:x"}},)"
            R"({"Settled":{"req":"c:x","code":1,"endpoint":"a:1"}})"));
  EXPECT_EQ(result.exit_code, 0) << result.err;
  EXPECT_EQ(result.out.find("Forward"), std::string::npos);
}

TEST(SimulatorAdapter, KeepsTheEndpointListOfAnEventWhenItsSlotIsReusedLaterInTheBatch) {
  const ProcessResult result =
      RunAdapter(Batch(std::string(kStartEvent) + "," + kEndpointListEvents +
                       R"(,{"SnapshotRows":{"slot":0,"hosts":[]}},)" + kMessageEvent));
  EXPECT_NE(result.out.find("Forward"), std::string::npos);
}

TEST(SimulatorAdapter, ExitsWithOneErrorLineOnMalformedInput) {
  const std::string valid_batch = Batch(std::string(kStartEvent) + "," + kEndpointListEvents);
  for (const std::string& malformed : {
           std::string("not json\n"),
           std::string("[]\n"),
           std::string("{\"groups\":[]}\n"),
           std::string("{\"moment\":\"x\",\"groups\":[]}\n"),
           Batch(kMessageEvent, "node-7"),
           Batch(R"({"Order":{"grace":1}})"),
           Batch(R"({"Order":{"req":"c:x","grace":"soon"}})"),
           Batch(R"({"Order":{"req":"c:x","grace":10,"category":5}})"),
           Batch(R"({"BackendsChanged":{"kind":"FULL","slot":3}})"),
           Batch(R"({"Settled":{"req":"c:x","code":12}})"),
           Batch(R"({"Nonsense":{}})"),
           Batch(R"({"Begin":{"seed":1,"params":{"grades":[]}}})", "node-1"),
       }) {
    const ProcessResult result = RunAdapter(valid_batch + malformed);
    EXPECT_EQ(result.exit_code, 1) << malformed;
    EXPECT_EQ(std::count(result.out.begin(), result.out.end(), '\n'), 1) << malformed;
    EXPECT_EQ(std::count(result.err.begin(), result.err.end(), '\n'), 1) << result.err;
    EXPECT_EQ(result.err.rfind("sagetally-simulator-adapter: ", 0), 0u) << result.err;
  }
}

}  // namespace
