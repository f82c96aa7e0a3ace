// The adapter as a process: good batches get replies, malformed ones end it with one line on standard error.
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

struct Reply {
  int code = -1;
  std::string out, err;
};

std::string ReadFile(const std::string& path) {
  std::ostringstream text;
  text << std::ifstream(path).rdbuf();
  return text.str();
}

Reply Feed(const std::string& input) {
  char folder[] = "/tmp/sagetally-XXXXXX";
  EXPECT_NE(mkdtemp(folder), nullptr);
  const std::string base = folder;
  std::ofstream(base + "/in") << input;
  const std::string command =
      std::string(SAGETALLY_SIMULATOR_ADAPTER) + " <" + base + "/in >" + base + "/out 2>" + base + "/err";
  const int status = std::system(command.c_str());
  Reply run{WEXITSTATUS(status), ReadFile(base + "/out"), ReadFile(base + "/err")};
  for (const char* name : {"/in", "/out", "/err"}) std::remove((base + name).c_str());
  rmdir(folder);
  return run;
}

const char* const kBegin =
    R"({"Begin":{"seed":1,"params":{"grades":[{"slo":1000,"deadline":9000,"idempotency":"pure"}],)"
    R"("flavors":["x"],"unknownKey":[1],"specifics":{"callsOut":2},"caps":{"mostHeld":9,"maxAttempts":3}}}})";
const char* const kList =
    R"({"SnapshotRows":{"slot":0,"hosts":[{"destination":4,"endpoint":"a:1","mode":"up"}]}},)"
    R"({"BackendsChanged":{"seqNo":1,"kind":"SAVED","slot":0}})";
const char* const kOrder = R"({"Order":{"req":"c:x","grace":9000,"calledNode":4}})";

std::string Batch(const std::string& events, const std::string& node = "node-0") {
  return R"({"moment":5.5,"groups":[{"nodeId":")" + node + R"(","happened":[)" + events + "]}]}\n";
}

TEST(SimulatorAdapter, AnswersEmptyBatchesAndEndsWithItsInput) {
  const Reply run = Feed("{\"moment\":1,\"groups\":[]}\n");
  EXPECT_EQ(run.code, 0);
  EXPECT_EQ(run.out, "{\"groups\":[]}\n");
  EXPECT_EQ(run.err, "");
}

TEST(SimulatorAdapter, SendsAMessage) {
  const Reply run = Feed(Batch(std::string(kBegin) + "," + kList + "," + kOrder));
  EXPECT_EQ(run.code, 0);
  EXPECT_NE(run.out.find(R"("Forward":{"endpoint":"a:1","req":"c:x")"), std::string::npos) << run.out;
}

TEST(SimulatorAdapter, RestartInOneBatchDropsEverything) {
  const Reply run = Feed(Batch(std::string(kBegin) + "," + kList) +
                         Batch(std::string(kOrder) + R"(,{"Retire":{}},)" + kBegin + "," + kList) +
                         Batch(R"({"Alarm":{"keyBack":0}},{"Abandoned":{"req":"c:x"}},)"
                               R"({"Settled":{"req":"c:x","code":1,"endpoint":"a:1"}})"));
  EXPECT_EQ(run.code, 0) << run.err;
  EXPECT_EQ(run.out.find("Forward"), std::string::npos);
}

TEST(SimulatorAdapter, ResolvesAListNumberUsedAgainInABatchInOrder) {
  const Reply run =
      Feed(Batch(std::string(kBegin) + "," + kList + R"(,{"SnapshotRows":{"slot":0,"hosts":[]}},)" + kOrder));
  EXPECT_NE(run.out.find("Forward"), std::string::npos);
}

TEST(SimulatorAdapter, EndsWithOneLineOnMalformedInput) {
  const std::string start = Batch(std::string(kBegin) + "," + kList);
  for (const std::string& bad : {
           std::string("not json\n"),
           std::string("[]\n"),
           std::string("{\"groups\":[]}\n"),
           std::string("{\"moment\":\"x\",\"groups\":[]}\n"),
           Batch(kOrder, "node-7"),
           Batch(R"({"Order":{"grace":1}})"),
           Batch(R"({"Order":{"req":"c:x","grace":"soon"}})"),
           Batch(R"({"Order":{"req":"c:x","grace":10,"category":5}})"),
           Batch(R"({"BackendsChanged":{"kind":"FULL","slot":3}})"),
           Batch(R"({"Settled":{"req":"c:x","code":12}})"),
           Batch(R"({"Nonsense":{}})"),
           Batch(R"({"Begin":{"seed":1,"params":{"grades":[]}}})", "node-1"),
       }) {
    const Reply run = Feed(start + bad);
    EXPECT_EQ(run.code, 1) << bad;
    EXPECT_EQ(std::count(run.out.begin(), run.out.end(), '\n'), 1) << bad;
    EXPECT_EQ(std::count(run.err.begin(), run.err.end(), '\n'), 1) << run.err;
    EXPECT_EQ(run.err.rfind("sagetally-simulator-adapter: ", 0), 0u) << run.err;
  }
}

}  // namespace
