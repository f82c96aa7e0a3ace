#include "net/request_reader.h"

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

int StatusOf(const boost::system::error_code& error) {
  if (error == http::error::body_limit) return kPayloadTooLarge;
  if (error == http::error::header_limit) return kHeaderFieldsTooLarge;
  return kBadRequest;
}

}  // namespace

void RequestReader::StartRequest() {
  parser_.emplace();
  parser_->header_limit(static_cast<std::uint32_t>(limits_.max_head_bytes));
  parser_->body_limit(limits_.max_body_bytes);
  head_checked_ = false;
}

RequestReader::Step RequestReader::Read(evbuffer* input) {
  if (!parser_) StartRequest();
  const ParseProgress progress = FeedParser(*parser_, input);
  if (progress.error) return Reject(StatusOf(progress.error));
  const std::size_t consumed = progress.consumed_bytes;
  // Keeps the bytes of an incomplete request, because another process may have to continue reading it.
  if (!parser_->is_done()) {
    consumed_bytes_.append(reinterpret_cast<char*>(evbuffer_pullup(input, consumed)), consumed);
  }
  evbuffer_drain(input, consumed);
  if (parser_->is_header_done() && !std::exchange(head_checked_, true)) {
    if (!HasUnambiguousLength(parser_->get())) return Reject(kBadRequest);
    parser_->eager(true);
    const bool body_has_begun = evbuffer_get_length(input) > 0 || parser_->is_done();
    const auto expectation = parser_->get()[http::field::expect];
    if (!body_has_begun && boost::beast::iequals(expectation, "100-continue")) return Step::kExpectsContinue;
  }
  if (parser_->is_done()) return Step::kComplete;
  if (consumed > 0) return Step::kParsed;
  // If the buffer is full and the parser consumes nothing, a line is too long and can never be complete.
  return progress.available_bytes >= max_unparsed_bytes() ? Reject(kBadRequest) : Step::kBlocked;
}

std::size_t RequestReader::HeldBytes() const {
  if (!parser_) return 0;
  std::size_t size = consumed_bytes_.capacity() + parser_->get().body().capacity();
  for (const auto& field : parser_->get()) size += MemoryOf(field);
  return size;
}

RequestReader::HttpRequest RequestReader::TakeRequest() {
  HttpRequest request = parser_->release();
  Reset();
  return request;
}

void RequestReader::Reset() {
  parser_.reset();
  consumed_bytes_ = std::string();  // releases its memory, which clear() would not do
}

RequestReader::Step RequestReader::Reject(int status) {
  rejection_status_ = status;
  return Step::kRejected;
}

}  // namespace sagetally
