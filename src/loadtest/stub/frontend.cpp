#include "loadtest/stub/frontend.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// The ids of all messages in a request of either protocol.
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

StubFrontend::StubFrontend(EventLoop& loop, const Address& at, const Timeline& timeline, Random random,
                           std::int64_t started_us)
    : timeline_(timeline),
      random_(random),
      listener_(loop, at, [this](const std::shared_ptr<Call>& call) { OnRequest(call); }),
      fault_schedule_(loop, listener_, timeline, kUid, 0, started_us) {}

bool StubFrontend::AnswerWithFault(Call& call, const FaultSpan& fault) {
  switch (fault.fault) {
    case Fault::kRefuse:
      call.Answer(503);
      return true;
    case Fault::kFull:
      call.Answer(429, "", {{"Retry-After", fmt::format("{:.3f}", fault.ms / 1000)}});
      return true;
    case Fault::kError:
      call.Answer(500);
      return true;
    case Fault::kReset:
      call.Reset();
      return true;
    case Fault::kSpoilt:
      call.Raw("HTTP/1.1 202 Accepted\r\nContent-Length: -7\r\n\r\nzzzz");
      return true;
    case Fault::kHalf:
      call.Raw("HTTP/1.1 202 Acc");
      call.Close();
      return true;
    case Fault::kSilent:
    case Fault::kLate:
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
    if (fault.fault == Fault::kTwice) on_accepted(id);
  }
  call->Answer(202);
}

}  // namespace sagetally::loadtest
