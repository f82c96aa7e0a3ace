// Tests of RequestReader: a request is the same however it arrives, and none costs more memory than its
// limits allow.
#include "net/request_reader.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace sagetally {
namespace {

using Step = RequestReader::Step;

constexpr RequestReader::Limits kLimits{16 * 1024, 64 * 1024};

// A reader with its buffer.
struct Source {
  Step Add(const std::string& bytes) {
    evbuffer_add(input.get(), bytes.data(), bytes.size());
    Step step = Step::kParsed;
    while (step == Step::kParsed && evbuffer_get_length(input.get()) > 0) step = reader.Read(input.get());
    return step;
  }
  RequestReader reader{kLimits};
  BufferPtr input{evbuffer_new()};
};

std::string Repeat(const std::string& text, int count) {
  std::string repeated;
  for (int i = 0; i < count; ++i) repeated += text;
  return repeated;
}

std::string TextOf(const RequestReader::HttpRequest& request) {
  std::string text = std::string(request.method_string()) + " " + std::string(request.target()) + "\n";
  for (const auto& field : request) {
    text += std::string(field.name_string()) + "=" + std::string(field.value()) + "\n";
  }
  return text + request.body();
}

TEST(RequestReader, ReadsARequestAlikeWhereverItIsCut) {
  const std::vector<std::string> requests = {
      "GET /healthz HTTP/1.1\r\nHost: b\r\n\r\n",
      "POST /a HTTP/1.1\r\nHost: b\r\nContent-Length: 5\r\n\r\nhello",
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2;x=y\r\nlo\r\n0\r\nT: u\r\n\r\n"};
  for (const std::string& request : requests) {
    Source whole;
    ASSERT_EQ(whole.Add(request + "GET"), Step::kComplete);
    const std::string expected = TextOf(whole.reader.TakeRequest());
    EXPECT_EQ(evbuffer_get_length(whole.input.get()), 3U);
    for (std::size_t cut = 1; cut < request.size(); ++cut) {
      Source source;
      ASSERT_NE(source.Add(request.substr(0, cut)), Step::kComplete) << cut;
      const std::string received = source.reader.CopyReceivedBytes();
      EXPECT_EQ(received.size() + evbuffer_get_length(source.input.get()), cut);
      ASSERT_EQ(source.Add(request.substr(cut) + "GET"), Step::kComplete) << cut;
      EXPECT_EQ(TextOf(source.reader.TakeRequest()), expected);
      EXPECT_EQ(evbuffer_get_length(source.input.get()), 3U);
    }
  }
}

TEST(RequestReader, ReadsARequestThatComesByteByByte) {
  Source source;
  const std::string request =
      "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n" + Repeat("1\r\nx\r\n", 10) + "0\r\n\r\n";
  for (const char byte : request.substr(0, request.size() - 1)) {
    ASSERT_NE(source.Add(std::string(1, byte)), Step::kComplete);
  }
  ASSERT_EQ(source.Add("\n"), Step::kComplete);
  EXPECT_EQ(source.reader.TakeRequest().body(), std::string(10, 'x'));
}

// Guards against incident 021729: four bytes on the wire took up about eighty in memory.
TEST(RequestReader, RejectsAHeadOfTooManyFields) {
  const std::string fields = Repeat("a:\r\n", static_cast<int>(RequestReader::kMaxFields));
  Source most;
  EXPECT_EQ(most.Add("GET / HTTP/1.1\r\n" + fields + "\r\n"), Step::kComplete);
  for (const std::string& end : {std::string("b:\r\n\r\n"), std::string("b:\r\nc:\r\n")}) {
    Source source;
    EXPECT_EQ(source.Add("GET / HTTP/1.1\r\n" + fields + end), Step::kRejected);
    EXPECT_EQ(source.reader.rejection_status(), 431);
  }
}

// Guards against incident 021729: the framing of chunks had no limit.
TEST(RequestReader, RejectsABodyWhoseChunksTakeUpMoreThanItself) {
  Source source;
  Step step = source.Add("POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 60'000 && step != Step::kRejected; ++i) step = source.Add("1\r\nx\r\n");
  EXPECT_EQ(step, Step::kRejected);
  EXPECT_EQ(source.reader.rejection_status(), 413);
  EXPECT_LE(source.reader.HeldBytes(), kLimits.max_head_bytes + 2 * kLimits.max_body_bytes + 1024);
}

}  // namespace
}  // namespace sagetally
