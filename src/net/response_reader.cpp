#include "net/response_reader.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include "net/http_parsing.h"

namespace sagetally {
namespace {

// The time from the first byte of a response to its last.
constexpr Duration kResponseTimeout = std::chrono::milliseconds(1000);
// The same after a status line with 200. The call is then delivered and waits only for the connection to
// become reusable, while it still counts as in flight. So the rest may take about as long as opening a new
// connection.
constexpr Duration kOkResponseTimeout = std::chrono::milliseconds(100);
constexpr std::uint32_t kMaxHeadBytes = 16 * 1024;
constexpr std::uint64_t kMaxBodyBytes = 64 * 1024;
constexpr int kMaxInterimResponses = 16;  // before one final response
constexpr unsigned kFirstFinalStatus = 200;

constexpr std::string_view kProtocol = "HTTP/1.";
// The beginning of a response, such as "HTTP/1.1 200 ", which is checked before the parser reads it.
constexpr std::size_t kStatusPrefixBytes = 13;
constexpr std::size_t kStatusOffset = 8;
constexpr std::string_view kOkStatus = " 200";

static_assert(ResponseReader::kMaxUnparsedBytes == 2 * kMaxHeadBytes);

// Returns whether `input`, which holds fewer than kStatusPrefixBytes, may be the beginning of a status line.
bool MayBecomeStatusLine(evbuffer* input) {
  char bytes[kStatusPrefixBytes] = {};
  const auto size = static_cast<std::size_t>(evbuffer_copyout(input, bytes, sizeof bytes));
  return std::string_view(bytes, size).substr(0, kProtocol.size()) == kProtocol.substr(0, size);
}

}  // namespace

ResponseReader::ResponseReader(EventLoop& loop, std::function<void()> on_timed_out)
    : response_timer_(loop, std::move(on_timed_out)) {}

void ResponseReader::ExpectResponse() {
  has_ok_status_ = false;
  interim_response_count_ = 0;
}

void ResponseReader::Stop() {
  parser_.reset();
  response_timer_.Stop();
}

ResponseReader::State ResponseReader::Read(evbuffer* input) {
  while (evbuffer_get_length(input) > 0) {
    if (const std::optional<State> state = ReadStep(input)) return *state;
  }
  return State::kIncomplete;
}

// Passes the bytes of `input` to the parser once. Returns nothing if there may be more to read.
std::optional<ResponseReader::State> ResponseReader::ReadStep(evbuffer* input) {
  if (!response_timer_.is_pending()) response_timer_.Schedule(kResponseTimeout);
  if (!parser_) {
    if (evbuffer_get_length(input) < kStatusPrefixBytes) {
      return MayBecomeStatusLine(input) ? State::kIncomplete : State::kInvalid;
    }
    StartResponse(input);
  }
  const ParseProgress progress = FeedParser(*parser_, input);
  if (progress.error) return State::kInvalid;
  evbuffer_drain(input, progress.consumed_bytes);
  if (!AcceptHead()) return State::kInvalid;
  if (parser_->is_done()) {
    if (parser_->get().result_int() >= kFirstFinalStatus) return State::kComplete;
    if (!SkipInterimResponse()) return State::kInvalid;
    return std::nullopt;
  }
  if (progress.consumed_bytes > 0) return std::nullopt;
  // If the buffer is full and the parser consumes nothing, a line is too long and can never be complete.
  return progress.available_bytes >= kMaxUnparsedBytes ? State::kInvalid : State::kIncomplete;
}

bool ResponseReader::ReadEndOfStream() {
  if (!parser_) return false;
  boost::system::error_code error;
  parser_->put_eof(error);
  return !error && parser_->is_done() && parser_->get().result_int() >= kFirstFinalStatus;
}

// Starts a parser for the response at the beginning of `input`, and determines whether its status is 200.
void ResponseReader::StartResponse(evbuffer* input) {
  char bytes[kStatusPrefixBytes] = {};
  evbuffer_copyout(input, bytes, sizeof bytes);
  const std::string_view line(bytes, sizeof bytes);
  has_ok_status_ = line.starts_with(kProtocol) && line.substr(kStatusOffset, kOkStatus.size()) == kOkStatus &&
                   line.back() <= ' ';
  if (has_ok_status_) response_timer_.Schedule(kOkResponseTimeout);
  parser_.emplace();
  parser_->header_limit(kMaxHeadBytes);
  parser_->body_limit(kMaxBodyBytes);
}

// Lets the parser continue with the body once the head is complete. Returns false if the head states a length
// above the limit, because the parser would allocate that length before it checks its limit.
bool ResponseReader::AcceptHead() {
  if (!parser_->is_header_done() || parser_->eager()) return true;
  if (parser_->content_length().value_or(0) > kMaxBodyBytes) return false;
  parser_->eager(true);
  return true;
}

// Discards an interim response. Returns false if there were more than kMaxInterimResponses.
bool ResponseReader::SkipInterimResponse() {
  parser_.reset();
  response_timer_.Stop();
  ++interim_response_count_;
  return interim_response_count_ <= kMaxInterimResponses;
}

}  // namespace sagetally
