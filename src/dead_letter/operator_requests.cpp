// Executes operators' requests. The keys and words of the answers belong to the protocol and must not change.
#include "dead_letter/operator_requests.h"

#include <nlohmann/json.hpp>

#include "dead_letter/dead_letter_json.h"

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;

// Maximum number of messages in one request, so that other jobs of the store do not wait long.
constexpr int kDryRunPageSize = 5000;
constexpr int kActionPageSize = 500;

Json NextPage(const Database::Page& page) { return page.next ? Json(ToString(*page.next)) : Json(nullptr); }

Json ToJsonObject(const std::vector<NamedCount>& counts) {
  Json object = Json::object();
  for (const NamedCount& entry : counts) object[entry.name] = entry.count;
  return object;
}

Json List(const OperatorRequest& request, Database& database, Time now) {
  const Database::Page page = database.List(request.filter, now, request.after, request.limit);
  Json messages = Json::array();
  for (const DeadLetter& listed : page.messages) {
    const std::optional<DeadLetter> with_body =
        request.with_body ? database.Show(listed.id, true) : std::nullopt;
    messages.push_back(Json::parse(ToJson(with_body ? *with_body : listed, with_body.has_value())));
  }
  return {{"messages", std::move(messages)}, {"next", NextPage(page)}};
}

Json Show(const OperatorRequest& request, Database& database) {
  const std::optional<DeadLetter> dead_letter = database.Show(request.id, request.with_body);
  if (!dead_letter) throw OperatorRequestError("", "no kept message " + ToString(request.id));
  return {{"message", Json::parse(ToJson(*dead_letter, request.with_body))}};
}

Json Stats(const OperatorRequest& request, Database& database) {
  const std::vector<NamedCount> counts = database.CountBy(request.by);
  std::int64_t all = 0;
  for (const NamedCount& entry : counts) all += entry.count;
  return {{"by", request.by},
          {"counts", ToJsonObject(counts)},
          {"all", all},
          {"used_bytes", database.UsedBytes()}};
}

std::string_view Name(Review::Kind kind) {
  switch (kind) {
    case Review::Kind::kRedrive:
      return "resend";
    case Review::Kind::kRetryLater:
      return "later";
    case Review::Kind::kHold:
      return "hold";
    case Review::Kind::kDrop:
      return "drop";
    case Review::Kind::kNoMatch:
      break;
  }
  return "nothing";
}

void Increment(Json& object, std::string_view key) {
  const std::string name(key);
  object[name] = object.value(name, 0) + 1;
}

// Adds one message to the counts of the rule that matched it.
void CountReview(const Review& review, Json& counts) {
  Increment(counts, "matched");
  Increment(counts, Name(review.kind));
  const bool is_redrive = review.rule->action.kind == RuleAction::Kind::kRedrive;
  if (is_redrive && review.decision.decision != RedriveDecision::kAllowed) {
    Increment(counts["grounds"], Name(review.decision.reason));
  }
}

// Counts what the rules of the request would do with one page of messages.
Json DryRun(const OperatorRequest& request, Database& database, const ReviewSettings& settings,
            const Timestamp& now) {
  const Database::Page page = database.List(Condition(), now.wall_time, request.after, kDryRunPageSize);
  Json rules = Json::object();
  for (const Rule& rule : request.rules.rules) {
    rules[rule.name] = {{"matched", 0}, {"grounds", Json::object()}};
  }
  std::int64_t unmatched = 0;
  std::int64_t not_open = 0;
  for (DeadLetter dead_letter : page.messages) {
    if (dead_letter.state != DeadLetterState::kStored && dead_letter.state != DeadLetterState::kHeld) {
      ++not_open;
      continue;
    }
    dead_letter.requested_by_operator = false;
    const Review review = ReviewDeadLetter(dead_letter, request.rules, settings, now);
    if (review.rule == nullptr) {
      ++unmatched;
      continue;
    }
    CountReview(review, rules[review.rule->name]);
  }
  return {{"rules", std::move(rules)},
          {"unmatched", unmatched},
          {"over", not_open},
          {"looked_at", page.messages.size()},
          {"next", NextPage(page)}};
}

Json Act(const OperatorRequest& request, Database& database, const ReviewSettings& settings,
         const Timestamp& now) {
  const Database::OperatorAction action = {.kind = request.action,
                                           .filter = request.filter,
                                           .cursor = request.cursor,
                                           .limit = kActionPageSize,
                                           .only_count = request.only_count};
  const Database::OperatorActionResult result = database.ApplyOperatorAction(action, settings, now);
  return {{"changed", result.changed},
          {"forbidden", result.forbidden},
          {"grounds", ToJsonObject(result.forbidden_by_reason)},
          {"cursor", result.next_cursor ? Json(*result.next_cursor) : Json(nullptr)}};
}

const ReviewSettings& RequireReview(const ReviewSettings* review) {
  if (review != nullptr) return *review;
  throw OperatorRequestError("", "the configured classes are required: specify the node's configuration");
}

std::string Dump(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

Json ExecuteOperatorRequest(const OperatorRequest& request, Database& database, const ReviewSettings* review,
                            const Timestamp& now) {
  switch (request.kind) {
    case OperatorRequest::Kind::kStatus:
      break;
    case OperatorRequest::Kind::kList:
      return List(request, database, now.wall_time);
    case OperatorRequest::Kind::kShow:
      return Show(request, database);
    case OperatorRequest::Kind::kStats:
      return Stats(request, database);
    case OperatorRequest::Kind::kDryRun:
      return DryRun(request, database, RequireReview(review), now);
    case OperatorRequest::Kind::kAct:
      return Act(request, database, RequireReview(review), now);
  }
  return Json::object();
}

std::string OkLine(Json result) {
  result["v"] = kControlVersion;
  result["ok"] = true;
  return Dump(result);
}

std::string ErrorLine(std::string_view reason) {
  return Dump({{"v", kControlVersion}, {"ok", false}, {"error", reason}});
}

}  // namespace sagetally::dead_letter
