#include "net/request_reader.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>

#include "net/http_parsing.h"

namespace sagetally {
namespace {

namespace http = boost::beast::http;

constexpr int kBadRequest = 400;
constexpr int kPayloadTooLarge = 413;
constexpr int kHeaderFieldsTooLarge = 431;

// Returns whether at most one header states where the body ends, in a form that every HTTP implementation
// understands alike. Otherwise the body could hide another request (request smuggling). The parser alone does
// not prevent that: it accepts a repeated length, and other transfer codings than chunked.
bool HasUnambiguousLength(const http::fields& fields) {
  static constexpr std::string_view kDigits = "0123456789";
  int length_count = 0;
  for (const auto& field : fields) {
    const std::string_view value(field.value().data(), field.value().size());
    if (field.name() == http::field::content_length) {
      ++length_count;
      if (value.empty() || value.find_first_not_of(kDigits) != std::string_view::npos) return false;
    } else if (field.name() == http::field::transfer_encoding) {
      ++length_count;
      if (!boost::beast::iequals(field.value(), "chunked")) return false;
    }
  }
  return length_count <= 1;
}

// Trailers of a chunked body count as fields too.
bool HasTooManyFields(const http::fields& fields) {
  std::size_t count = 0;
  for (auto field = fields.begin(); field != fields.end(); ++field) {
    if (++count > RequestReader::kMaxFields) return true;
  }
  return false;
}

// Returns the number of line ends among the first bytes of `buffer`.
std::size_t CountLines(evbuffer* buffer, std::size_t size) {
  const auto* const bytes = static_cast<const char*>(BytesOf(buffer).data());
  return static_cast<std::size_t>(std::count(bytes, bytes + size, '\n'));
}

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return kPayloadTooLarge;
  if (error == http::error::header_limit) return kHeaderFieldsTooLarge;
  return kBadRequest;
}

}  // namespace

RequestReader::RequestReader(Limits limits) : limits_(limits), received_(evbuffer_new()) {}

RequestReader::Step RequestReader::Read(evbuffer* input) {
  if (!std::exchange(is_reading_, true)) {
    is_head_checked_ = false;
    head_line_count_ = 0;
    if (HasTooManyLines(input)) return Reject(kHeaderFieldsTooLarge);
    const Step step = ReadIntoRequest(input);
    if (step != Step::kBlocked) return step;
    checker_.emplace();
    SetLimits(*checker_);
    is_head_checked_ = false;
  }
  return Check(input);
}

// Returns whether the head continues in `input` with more lines than a head may have. Tells that at less cost
// than the parser, which stores each field.
bool RequestReader::HasTooManyLines(evbuffer* input) const {
  const boost::asio::const_buffer bytes = BytesOf(input);
  const std::string_view text(static_cast<const char*>(bytes.data()), bytes.size());
  std::size_t line_start = 0;
  for (std::size_t lines = head_line_count_; lines <= kMaxFields + 1; ++lines) {
    const std::size_t line_end = text.find('\n', line_start);
    if (line_end == std::string_view::npos) return false;
    const std::string_view line = text.substr(line_start, line_end - line_start);
    if (line.empty() || line == "\r") return false;  // the head ends here
    line_start = line_end + 1;
  }
  return true;
}

// Parses the next request if `input` holds all of it. Returns kComplete, kRejected or, if bytes are missing,
// kBlocked.
RequestReader::Step RequestReader::ReadIntoRequest(evbuffer* input) {
  RequestParser parser;
  SetLimits(parser);
  const boost::asio::const_buffer bytes = BytesOf(input);
  is_head_checked_ = false;
  const ParseProgress head = FeedParser(parser, bytes);
  if (head.error) return Reject(StatusOf(head.error));
  if (const std::optional<Step> rejected = CheckHead(parser)) return *rejected;
  if (!parser.is_header_done()) return Step::kBlocked;
  parser.eager(true);
  ParseProgress body;
  if (!parser.is_done()) body = FeedParser(parser, bytes + head.consumed_bytes);
  if (body.error) return Reject(StatusOf(body.error));
  if (!parser.is_done()) return Step::kBlocked;
  if (HasTooManyFields(parser.get())) return Reject(kHeaderFieldsTooLarge);
  evbuffer_drain(input, head.consumed_bytes + body.consumed_bytes);
  request_ = parser.release();
  return Step::kComplete;
}

// Checks bytes of a request that has not come at once, and moves them to `received_`.
RequestReader::Step RequestReader::Check(evbuffer* input) {
  if (!is_head_checked_ && HasTooManyLines(input)) return Reject(kHeaderFieldsTooLarge);
  const ParseProgress progress = FeedParser(*checker_, input);
  if (progress.error) return Reject(StatusOf(progress.error));
  const std::size_t consumed = progress.consumed_bytes;
  if (!is_head_checked_) head_line_count_ += CountLines(input, consumed);
  evbuffer_remove_buffer(input, received_.get(), consumed);
  const bool is_head_done_now = checker_->is_header_done() && !is_head_checked_;
  if (const std::optional<Step> rejected = CheckHead(*checker_)) return *rejected;
  if (evbuffer_get_length(received_.get()) > MaxReceivedBytes()) return Reject(kPayloadTooLarge);
  if (is_head_done_now) {
    checker_->eager(true);
    const bool body_has_begun = evbuffer_get_length(input) > 0 || checker_->is_done();
    const auto expectation = checker_->get()[http::field::expect];
    if (!body_has_begun && boost::beast::iequals(expectation, "100-continue")) return Step::kExpectsContinue;
  }
  if (checker_->is_done()) return ParseReceived() ? Step::kComplete : Reject(kBadRequest);
  if (consumed > 0) return Step::kParsed;
  // If the buffer is full and the parser consumes nothing, a line is too long and can never be complete.
  return progress.available_bytes >= max_unparsed_bytes() ? Reject(kBadRequest) : Step::kBlocked;
}

template <typename Parser>
void RequestReader::SetLimits(Parser& parser) const {
  parser.header_limit(static_cast<std::uint32_t>(limits_.max_head_bytes));
  parser.body_limit(limits_.max_body_bytes);
}

// Checks as much of the head as was parsed. Returns kRejected if it can't be accepted, else nothing.
template <typename Parser>
std::optional<RequestReader::Step> RequestReader::CheckHead(Parser& parser) {
  if (is_head_checked_) return std::nullopt;
  if (HasTooManyFields(parser.get())) return Reject(kHeaderFieldsTooLarge);
  is_head_checked_ = parser.is_header_done();
  if (is_head_checked_ && !HasUnambiguousLength(parser.get())) return Reject(kBadRequest);
  return std::nullopt;
}

// The longest request as received. The framing of a chunked body may take up as many bytes as a body.
std::size_t RequestReader::MaxReceivedBytes() const {
  return limits_.max_head_bytes + 2 * limits_.max_body_bytes;
}

// Parses `received_`, which holds a whole request. Returns false if it can't be accepted after all.
bool RequestReader::ParseReceived() {
  RequestParser parser;
  SetLimits(parser);
  parser.eager(true);
  boost::asio::const_buffer bytes = BytesOf(received_.get());
  while (!parser.is_done()) {
    const ParseProgress progress = FeedParser(parser, bytes);
    if (progress.error || progress.consumed_bytes == 0) return false;
    bytes += progress.consumed_bytes;
  }
  if (HasTooManyFields(parser.get())) return false;
  request_ = parser.release();
  return true;
}

std::string RequestReader::CopyReceivedBytes() const {
  std::string bytes(evbuffer_get_length(received_.get()), '\0');
  evbuffer_copyout(received_.get(), bytes.data(), bytes.size());
  return bytes;
}

std::size_t RequestReader::HeldBytes() const {
  std::size_t size = evbuffer_get_length(received_.get());
  if (!checker_) return size;
  for (const auto& field : checker_->get()) size += MemoryOf(field);
  return size;
}

RequestReader::HttpRequest RequestReader::TakeRequest() {
  HttpRequest request = std::move(*request_);
  Reset();
  return request;
}

void RequestReader::Reset() {
  is_reading_ = false;
  checker_.reset();
  request_.reset();
  evbuffer_drain(received_.get(), evbuffer_get_length(received_.get()));
}

RequestReader::Step RequestReader::Reject(int status) {
  rejection_status_ = status;
  return Step::kRejected;
}

}  // namespace sagetally
