#include "loadtest/stub/frontend.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// Returns the ids of all messages in a request of the platform's protocol or of CloudEvents.
std::vector<std::string> SubmittedIds(const Call& call) {
  if (const std::string id = call.Header("X-Request-Id"); !id.empty()) return {id};
  if (const std::string id = call.Header("ce-id"); !id.empty()) return {id};
  const auto body = nlohmann::json::parse(call.body, nullptr, false);
  std::vector<std::string> ids;
  for (const auto& event : body.is_array() ? body : nlohmann::json::array({body})) {
    if (event.is_object() && event.contains("id")) ids.push_back(event["id"].get<std::string>());
  }
  return ids;
}

}  // namespace

StubFrontend::StubFrontend(EventLoop& loop, const Address& listen_address, const FaultTimeline& timeline,
                           Random random, std::int64_t started_us)
    : timeline_(timeline),
      random_(random),
      listener_(loop, listen_address, [this](const std::shared_ptr<Call>& call) { OnRequest(call); }),
      fault_schedule_(loop, listener_, timeline, kUid, 0, started_us) {}

bool StubFrontend::AnswerWithFault(Call& call, const FaultSpan& fault) {
  switch (fault.fault) {
    case Fault::kServiceUnavailable:
      call.Answer(503);
      return true;
    case Fault::kTooManyRequests:
      call.Answer(429, "", {{"Retry-After", fmt::format("{:.3f}", fault.ms / 1000)}});
      return true;
    case Fault::kError:
      call.Answer(500);
      return true;
    case Fault::kReset:
      call.Reset();
      return true;
    case Fault::kMalformedResponse:
      call.Raw("HTTP/1.1 202 Accepted\r\nContent-Length: -7\r\n\r\nzzzz");
      return true;
    case Fault::kTruncatedResponse:
      call.Raw("HTTP/1.1 202 Acc");
      call.Close();
      return true;
    case Fault::kNoResponse:
    case Fault::kLateExecution:
      return true;
    default:
      return false;
  }
}

void StubFrontend::OnRequest(const std::shared_ptr<Call>& call) {
  ++requests;
  const FaultSpan fault = timeline_.Draw(fault_schedule_.NowMs(), kUid, 0, random_);
  if (AnswerWithFault(*call, fault)) return;
  for (const std::string& id : SubmittedIds(*call)) {
    if (!on_accepted) break;
    on_accepted(id);
    if (fault.fault == Fault::kDoubleExecution) on_accepted(id);
  }
  call->Answer(202);
}

}  // namespace sagetally::loadtest
