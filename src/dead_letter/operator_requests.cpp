#include "dead_letter/operator_requests.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace sagetally::dead_letter {
namespace {

using Json = nlohmann::json;

constexpr int kTryAtOnce = 5000, kActAtOnce = 500;

std::string TextOf(const Json& request, const char* key, const std::string& otherwise) {
  if (!request.contains(key)) return otherwise;
  if (!request[key].is_string()) throw std::runtime_error(std::string("/") + key + ": expected a text");
  return request[key].get<std::string>();
}

std::int64_t NumberOf(const Json& request, const char* key, std::int64_t least, std::int64_t most,
                      std::int64_t otherwise) {
  if (!request.contains(key)) return otherwise;
  const Json& value = request[key];
  if (!value.is_number_integer() || value.get<std::int64_t>() < least || value.get<std::int64_t>() > most) {
    throw std::runtime_error(std::string("/") + key + ": expected a whole number from " +
                             std::to_string(least) + " to " + std::to_string(most));
  }
  return value.get<std::int64_t>();
}

bool FlagOf(const Json& request, const char* key) {
  if (!request.contains(key)) return false;
  if (!request[key].is_boolean())
    throw std::runtime_error(std::string("/") + key + ": expected true or false");
  return request[key].get<bool>();
}

std::optional<DeadLetterId> IdOf(const Json& request, const char* key) {
  const std::string text = TextOf(request, key, "");
  if (text.empty()) return std::nullopt;
  const std::optional<DeadLetterId> id = ParseId(text);
  if (!id) throw std::runtime_error(std::string("/") + key + ": expected NODE/NUMBER");
  return id;
}

Json List(const OperatorRequest& o, Database& db, Time now) {
  const Database::Page page = db.List(o.filter, now, o.after, o.limit);
  Json messages = Json::array();
  for (const DeadLetter& k : page.messages) {
    const std::optional<DeadLetter> whole = o.with_body ? db.Show(k.id, true) : std::nullopt;
    messages.push_back(Json::parse(ToJson(whole ? *whole : k, whole.has_value())));
  }
  return {{"messages", std::move(messages)}, {"next", page.next ? Json(Print(*page.next)) : Json(nullptr)}};
}

std::string_view Name(Review::Kind kind) {
  switch (kind) {
    case Review::Kind::kRedrive:
      return "resend";
    case Review::Kind::kLater:
      return "later";
    case Review::Kind::kHold:
      return "hold";
    case Review::Kind::kDrop:
      return "drop";
    case Review::Kind::kNothing:
      break;
  }
  return "nothing";
}

Json Try(const OperatorRequest& o, Database& db, const ReviewSettings& review, const Timestamp& now) {
  Condition open;  // what rules may still decide on
  const Database::Page page = db.List(open, now.wall_time, o.after, kTryAtOnce);
  Json rules = Json::object();
  for (const Rule& rule : o.rules.rules) rules[rule.name] = {{"matched", 0}, {"grounds", Json::object()}};
  std::int64_t unmatched = 0, over = 0;
  const auto count = [](Json& object, const std::string& key) { object[key] = object.value(key, 0) + 1; };
  for (DeadLetter k : page.messages) {
    if (k.state != DeadLetterState::kStored && k.state != DeadLetterState::kHeld) {
      ++over;
      continue;
    }
    k.requested_by_operator = false;
    const Review r = ReviewOf(k, o.rules, review, now);
    if (r.rule == nullptr) {
      ++unmatched;
      continue;
    }
    Json& counts = rules[r.rule->name];
    count(counts, "matched");
    count(counts, std::string(Name(r.kind)));
    if (r.rule->then.kind == RuleAction::Kind::kRedrive && r.decision.decision != RedriveDecision::kAllowed) {
      count(counts["grounds"], std::string(Name(r.decision.reason)));
    }
  }
  return {{"rules", std::move(rules)},
          {"unmatched", unmatched},
          {"over", over},
          {"looked_at", page.messages.size()},
          {"next", page.next ? Json(Print(*page.next)) : Json(nullptr)}};
}

}  // namespace

OperatorRequest ParseOperatorRequest(std::string_view line, const std::vector<std::string>& classes) {
  const Json request = Json::parse(line, nullptr, false);
  if (!request.is_object()) throw std::runtime_error("expected one JSON object a line");
  if (!request.contains("v") || request["v"] != kControlVersion) {
    throw std::runtime_error("/v: expected " + std::to_string(kControlVersion) +
                             ", the version of this node's control socket");
  }
  OperatorRequest o;
  const std::string op = TextOf(request, "op", "");
  const auto filter = [&] {
    try {
      o.filter = ParseCondition(TextOf(request, "filter", "true"), classes);
    } catch (const RuleError& error) {
      throw std::runtime_error(std::string("filter: ") + error.what());
    }
  };
  if (op == "status") {
    o.kind = OperatorRequest::Kind::kStatus;
  } else if (op == "list") {
    o.kind = OperatorRequest::Kind::kList;
    filter();
    o.with_body = FlagOf(request, "body");
    o.limit = static_cast<int>(NumberOf(request, "limit", 1, o.with_body ? kMaxBodyBytes : kMaxPageSize, 50));
    o.after = IdOf(request, "after");
  } else if (op == "show") {
    o.kind = OperatorRequest::Kind::kShow;
    const std::optional<DeadLetterId> id = IdOf(request, "id");
    if (!id) throw std::runtime_error("/id: expected NODE/NUMBER");
    o.id = *id;
    o.with_body = FlagOf(request, "body");
  } else if (op == "stats") {
    o.kind = OperatorRequest::Kind::kStats;
    o.by = TextOf(request, "by", o.by);
  } else if (op == "try") {
    o.kind = OperatorRequest::Kind::kTry;
    try {
      o.rules = ParseRules(TextOf(request, "rules", ""), classes);
    } catch (const RuleError& error) {
      throw std::runtime_error(std::string("rules: ") + error.what());
    }
    o.after = IdOf(request, "after");
  } else if (op == "act") {
    o.kind = OperatorRequest::Kind::kAct;
    filter();
    const std::string action = TextOf(request, "action", "");
    if (action != "resend" && action != "hold" && action != "drop") {
      throw std::runtime_error("/action: expected resend, hold or drop");
    }
    o.action = action == "resend" ? RuleAction::Kind::kRedrive
               : action == "hold" ? RuleAction::Kind::kHold
                                  : RuleAction::Kind::kDrop;
    o.cursor = NumberOf(request, "cursor", 0, INT64_MAX, 0);
    o.only_count = FlagOf(request, "only_count");
  } else {
    throw std::runtime_error("/op: expected one of status, list, show, stats, try, act");
  }
  return o;
}

Json ExecuteOperatorRequest(const OperatorRequest& o, Database& db, const ReviewSettings* review,
                            const Timestamp& now) {
  const auto needed = [&]() -> const ReviewSettings& {
    if (review == nullptr) throw std::runtime_error("the classes are needed: give the node's configuration");
    return *review;
  };
  switch (o.kind) {
    case OperatorRequest::Kind::kStatus:
      return Json::object();
    case OperatorRequest::Kind::kList:
      return List(o, db, now.wall_time);
    case OperatorRequest::Kind::kShow: {
      const std::optional<DeadLetter> k = db.Show(o.id, o.with_body);
      if (!k) throw std::runtime_error("no kept message " + Print(o.id));
      return {{"message", Json::parse(ToJson(*k, o.with_body))}};
    }
    case OperatorRequest::Kind::kStats: {
      Json counts = Json::object();
      std::int64_t all = 0;
      for (const auto& [name, n] : db.CountBy(o.by)) counts[name] = n, all += n;
      return {{"by", o.by}, {"counts", std::move(counts)}, {"all", all}, {"used_bytes", db.UsedBytes()}};
    }
    case OperatorRequest::Kind::kTry:
      return Try(o, db, needed(), now);
    case OperatorRequest::Kind::kAct:
      break;
  }
  const Database::Acted acted =
      db.ApplyOperatorAction(o.action, o.filter, needed(), now, o.cursor, kActAtOnce, o.only_count);
  return {{"changed", acted.changed},
          {"forbidden", acted.forbidden},
          {"grounds", acted.grounds},
          {"cursor", acted.after ? Json(*acted.after) : Json(nullptr)}};
}

std::string OkLine(Json result) {
  result["v"] = kControlVersion;
  result["ok"] = true;
  return result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string ErrorLine(std::string_view why) {
  const Json result = {{"v", kControlVersion}, {"ok", false}, {"error", why}};
  return result.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace sagetally::dead_letter
