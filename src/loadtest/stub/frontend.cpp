#include "loadtest/stub/frontend.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>

namespace sagetally::loadtest {
namespace {

// The ids of all that a request hands in, at either front.
std::vector<std::string> IdsOf(const Call& call) {
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

FrontStandIn::FrontStandIn(EventLoop& loop, const Address& at, const Timeline& timeline, Random random,
                           std::int64_t started_us)
    : timeline_(timeline),
      random_(random),
      listener_(loop, at, [this](const std::shared_ptr<Call>& call) { Asked(call); }),
      script_(loop, listener_, timeline, kUid, 0, started_us) {}

void FrontStandIn::Asked(const std::shared_ptr<Call>& call) {
  ++requests;
  const FaultSpan fault = timeline_.Draw(script_.NowMs(), kUid, 0, random_);
  switch (fault.fault) {
    case Fault::kRefuse:
      call->Answer(503);
      return;
    case Fault::kFull:
      call->Answer(429, "", {{"Retry-After", fmt::format("{:.3f}", fault.ms / 1000)}});
      return;
    case Fault::kError:
      call->Answer(500);
      return;
    case Fault::kReset:
      return call->Reset();
    case Fault::kSpoilt:
      call->Raw("HTTP/1.1 202 Accepted\r\nContent-Length: -7\r\n\r\nzzzz");
      return;
    case Fault::kHalf:
      call->Raw("HTTP/1.1 202 Acc");
      return call->Close();
    case Fault::kSilent:
    case Fault::kLate:
      return;
    default:
      break;
  }
  for (const std::string& id : IdsOf(*call)) {
    if (!on_taken) break;
    on_taken(id);
    if (fault.fault == Fault::kTwice) on_taken(id);
  }
  call->Answer(202);
}

}  // namespace sagetally::loadtest
