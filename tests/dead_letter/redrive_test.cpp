// Tests of the rule language, the redrive policy, the redrive planner and the parser of operators' requests.
#include <cmath>

#include "dead_letter/operator_requests.h"
#include "dead_letter/redrive_planner.h"
#include "dead_letter/redrive_review.h"
#include "dead_letter/rule_evaluation.h"
#include "dead_letter/rule_parser.h"
#include "dead_letter/rule_printer.h"
#include "sample.h"

namespace sagetally::dead_letter {
namespace {

using namespace std::chrono_literals;

void RulesAreParsedAndErrorsNameThePosition() {
  const RuleSet set = ParseRules(
      "# avisos go first\n"
      "rule avisos:\n"
      "  when class = aviso and age in {10s..2h} and not may_have_run\n"
      "  then resend rate 30/m, times 3, window 2h, deadline 20s, after 30s;\n"
      "rule rest: when attribute \"type\" = \"a \\\"b\\\"\" or destination in {3, 7..9} then hold;\n"
      "rule junk: when body_size > 4kb then drop;",
      kClasses);
  assert(set.rules.size() == 3 && set.rules[0].action.redrive.rate_per_second == 0.5 &&
         set.rules[0].action.redrive.max_redrives == 3);
  assert(set.rules[0].action.redrive.healthy_for == 30s &&
         set.rules[2].condition.ranges[0].from.number == 4096);
  assert(ParseCondition("not not class = aviso", kClasses) == ParseCondition("class = aviso", kClasses));

  const std::pair<const char*, const char*> table[] = {
      {"rule a when true then hold;", "line 1, column 8: expected ':'"},
      {"rule a:\n when true then hold", "line 2, column 21: expected ';', found the end"},
      {"rule a: when class = avisos then hold;",
       "line 1, column 22: expected one of aviso, pedido, pagamento"},
      {"rule a: when colour = 3 then hold;", "column 14: expected one of class, destination"},
      {"rule a: when age > 3 then hold;", "column 20: expected a duration"},
      {"rule a: when age then hold;", "column 17: expected =, !=, <"},
      {"rule a: when class < aviso then hold;", "column 14: expected = , != or in for class"},
      {"rule a: when destination in {9..3} then hold;", "column 33: expected a range"},
      {"rule a: when destination in {} then hold;", "expected"},
      {"rule a: when true then send;", "column 24: expected resend, hold or drop, found 'send'"},
      {"rule a: when true then resend rate 5;", "expected"},
      {"rule a: when true then resend rate 0/s;", "expected"},
      {"rule a: when true then resend times 0;", "expected"},
      {"rule a: when true then resend window 10;", "expected a duration"},
      {"rule a: when true then hold; rule a: when true then drop;",
       "column 35: expected a name that no other"},
      {"rule a: when id = \"x then hold;", "expected"},
      {"rule a: when age > 99999999999999999999s then hold;", "line 1, column"},
      {"hold", "line 1, column 1: expected 'rule' or the end, found 'hold'"},
      {"rule a: when true and then hold;", "expected"}};
  for (const auto& [text, expected] : table) {
    std::string message;
    try {
      ParseRules(text, kClasses);
    } catch (const RuleError& error) {
      message = error.what();
    }
    if (message.find(expected) == message.npos) {
      std::fprintf(stderr, "%s\n  message:  %s\n  expected: %s\n", text, message.c_str(), expected);
    }
    assert(message.find(expected) != message.npos);
  }
  std::string message;
  try {
    ParseCondition(std::string(5000, '(') + "true", kClasses);
  } catch (const RuleError& error) {
    message = error.what();
  }
  assert(message.find("nested") != message.npos);
}

void PrintedRulesParseToEqualOnes() {
  assert(rc::check("print, then parse", [](const RuleSet& set) {
    const std::string text = Print(set);
    RuleSet parsed = ParseRules(text, kClasses);
    RC_ASSERT(parsed.rules.size() == set.rules.size());
    for (std::size_t i = 0; i < set.rules.size(); ++i) {
      RedriveAction& redrive = parsed.rules[i].action.redrive;
      RC_ASSERT(std::abs(redrive.rate_per_second - set.rules[i].action.redrive.rate_per_second) < 1e-9);
      redrive.rate_per_second = set.rules[i].action.redrive.rate_per_second;
    }
    RC_ASSERT(parsed == set);
  }));
}

void NoRuleMatchesDifferentlyBeforeTheNextChange() {
  assert(rc::check("nothing changes before", [](const RuleSet& printed, const DeadLetter& dead_letter) {
    const RuleSet set = ParseRules(Print(printed), kClasses);
    const Time now = dead_letter.ended_at + Duration(*rc::gen::inRange<std::int64_t>(0, 100'000'000));
    const Time next = NextChange(set, dead_letter, now).value_or(now + 400s);
    const Time between = now + Duration(*rc::gen::inRange<std::int64_t>(0, (next - now).count()));
    RC_ASSERT(FirstMatch(set, dead_letter, now) == FirstMatch(set, dead_letter, between));
  }));
}

// --- The redrive policy ---

ReviewSettings ThreeClasses() {
  ReviewSettings settings;
  settings.class_names = kClasses;
  settings.classes.resize(3);
  settings.classes[0].idempotency = Idempotency::kIdempotent;
  settings.classes[1].idempotency = Idempotency::kIdempotentWithKey;
  settings.classes[1].deduplication_window = 10s;
  settings.classes[2].idempotency = Idempotency::kNotIdempotent;
  settings.policy = {6, true};
  return settings;
}

DeadLetter FailedDeadLetter(const char* name, int attempts, bool may_have_run,
                            Timestamp first = {100s, 50s, 9}) {
  DeadLetter dead_letter;
  dead_letter.class_name = name;
  dead_letter.request.idempotency_key = "key";
  dead_letter.final_status = FinalStatus::kFailed;
  dead_letter.attempts = attempts;
  dead_letter.ended_at = first.wall_time;
  if (may_have_run) dead_letter.first_uncertain_attempt = first;
  return dead_letter;
}

void PolicyForbidsWhatCouldTakeEffectTwice() {
  const ReviewSettings settings = ThreeClasses();
  const auto reason = [&](const DeadLetter& dead_letter, Timestamp now, bool redrive_deferred = true) {
    RedrivePolicySettings policy = settings.policy;
    policy.redrive_deferred = redrive_deferred;
    return DecideRedrive(dead_letter, settings.FindClass(dead_letter.class_name), policy, now).reason;
  };
  const Timestamp soon{102s, 52s, 9};
  assert(reason(FailedDeadLetter("pagamento", 1, true), soon) == DecisionReason::kMayHaveTakenEffect);
  assert(reason(FailedDeadLetter("pagamento", 1, false), soon) == DecisionReason::kNone);
  assert(reason(FailedDeadLetter("aviso", 5, true), soon) == DecisionReason::kNone);
  assert(reason(FailedDeadLetter("aviso", 6, true), soon) == DecisionReason::kAttemptsExhausted);
  assert(reason(FailedDeadLetter("pedido", 1, true), soon) == DecisionReason::kNone);
  assert(reason(FailedDeadLetter("gone", 0, false), soon) == DecisionReason::kClassUnknown);
  const RedriveDecisionResult within =
      DecideRedrive(FailedDeadLetter("pedido", 1, true), &settings.classes[1], settings.policy, soon);
  assert(within.latest_send_time == Time(110s) - kWindowMargin);
  assert(reason(FailedDeadLetter("pedido", 1, true), {110s, 60s, 9}) ==
         DecisionReason::kDeduplicationWindowExpired);
  assert(reason(FailedDeadLetter("pedido", 1, true), {109800ms, 59800ms, 9}) ==
         DecisionReason::kDeduplicationWindowExpired);
  // The wall clock was set back by 8 s or forward by 9 s. The larger of the two elapsed times counts, by the
  // steady clock and by the wall clock.
  assert(reason(FailedDeadLetter("pedido", 1, true), {103s, 61s, 9}) ==
         DecisionReason::kDeduplicationWindowExpired);
  assert(reason(FailedDeadLetter("pedido", 1, true), {111s, 52s, 9}) ==
         DecisionReason::kDeduplicationWindowExpired);
  assert(reason(FailedDeadLetter("pedido", 1, true), {102s, 2s, 8}) ==
         DecisionReason::kClockUncertain);  // the machine was restarted
  assert(reason(FailedDeadLetter("pedido", 1, true), {102s, 49s, 9}) == DecisionReason::kClockUncertain);
  assert(reason(FailedDeadLetter("pedido", 1, true, {100s, 50s, 0}), {102s, 52s, 0}) ==
         DecisionReason::kClockUncertain);
  DeadLetter dead_letter = FailedDeadLetter("pedido", 1, true);
  dead_letter.request.idempotency_key.clear();
  assert(reason(dead_letter, soon) == DecisionReason::kNoKey);
  dead_letter = FailedDeadLetter("pedido", 0, false);
  dead_letter.final_status = FinalStatus::kRejected;
  assert(reason(dead_letter, soon) == DecisionReason::kNone &&
         reason(dead_letter, soon, false) == DecisionReason::kClientMayRetry);
  for (const DeadLetterState state :
       {DeadLetterState::kDelivered, DeadLetterState::kDropped, DeadLetterState::kResubmitted}) {
    dead_letter.state = state;
    assert(reason(dead_letter, soon) == DecisionReason::kCompleted);
  }
  dead_letter.state = DeadLetterState::kClaimed;
  assert(DecideRedrive(dead_letter, &settings.classes[1], settings.policy, soon).decision ==
         RedriveDecision::kRetryLater);
}

// However the wall clock is set, an allowed redrive that ends by `latest_send_time` ends within the actual
// deduplication window. After a restart of the machine no redrive is allowed.
void AllowedRedrivesEndWithinTheDeduplicationWindow() {
  assert(rc::check("allowed redrives end within the actual window", [](bool rebooted) {
    const ReviewSettings settings = ThreeClasses();
    const auto elapsed = Duration(*rc::gen::inRange<std::int64_t>(0, 15'000'000));
    const auto step = Duration(*rc::gen::inRange<std::int64_t>(-12'000'000, 12'000'000));
    const Timestamp first{Time(1000s), Time(500s), 9};
    Timestamp now{first.wall_time + elapsed + step, first.steady_time + elapsed, 9};
    if (rebooted) now = {now.wall_time, Time(*rc::gen::inRange<std::int64_t>(0, 900'000'000)), 10};
    const RedriveDecisionResult result =
        DecideRedrive(FailedDeadLetter("pedido", 1, true, first), &settings.classes[1], settings.policy, now);
    if (rebooted) RC_ASSERT(result.decision == RedriveDecision::kForbidden);
    if (result.decision != RedriveDecision::kAllowed) return;
    const Duration call = *result.latest_send_time - now.wall_time;
    RC_ASSERT(call >= kMinCallTime && elapsed + call <= 10s);
  }));
}

void NeitherRulesNorOperatorsOverrideThePolicy() {
  assert(rc::check("forbidden stays forbidden", [](const RuleSet& printed, DeadLetter dead_letter) {
    const RuleSet set = ParseRules(Print(printed), kClasses);
    const ReviewSettings settings = ThreeClasses();
    const Timestamp now{dead_letter.ended_at + Duration(*rc::gen::inRange<std::int64_t>(0, 20'000'000)),
                        Time(20s), 9};
    dead_letter.requested_by_operator = *rc::gen::arbitrary<bool>();
    const Review review = ReviewDeadLetter(dead_letter, set, settings, now);
    const RedriveDecisionResult result =
        DecideRedrive(dead_letter, settings.FindClass(dead_letter.class_name), settings.policy, now);
    if (review.kind != Review::Kind::kRedrive) return;
    RC_ASSERT(result.decision == RedriveDecision::kAllowed && dead_letter.attempts < 6);
    RC_ASSERT(!result.latest_send_time || review.deadline <= *result.latest_send_time);
    RC_ASSERT(!(dead_letter.class_name == "pagamento" && dead_letter.first_uncertain_attempt));
  }));
}

// --- The planner ---

// Calls a planner with random events, and checks each grant against a model that counts grants and failures.
class PlannerModel {
 public:
  PlannerModel() : limits_(RandomLimits()), planner_(limits_, 1, Time(0)) {
    redrive_.rate_per_second = *rc::gen::inRange(1, 20);
    redrive_.healthy_for = *rc::gen::element<Duration>(0s, 2s);
  }

  void Step() {
    now_ += Duration(*rc::gen::inRange<std::int64_t>(0, 150'000));
    const int destination = *rc::gen::inRange(0, 3);
    switch (*rc::gen::inRange(0, 6)) {
      case 0:
        CompleteMessage(destination);
        break;
      case 1:
        RejectCall(destination);
        break;
      default:
        RequestGrant(destination);
    }
    RC_ASSERT(total_ == planner_.in_flight_count() && total_ <= planner_.MaxInFlight());
    RC_ASSERT(planner_.MaxInFlight() <=
              std::max(1.0, limits_.concurrency_fraction * limits_.max_concurrent_calls));
  }

  void CheckRates() const {
    RC_ASSERT(StayWithinRate(granted_by_rule_, redrive_.rate_per_second));
    for (const auto& [destination, times] : granted_)
      RC_ASSERT(StayWithinRate(times, limits_.destination_rate));
  }

 private:
  static RedrivePlanner::Limits RandomLimits() {
    RedrivePlanner::Limits limits;
    limits.max_concurrent_calls = *rc::gen::inRange(1, 40);
    limits.max_pending_messages = 200;
    limits.concurrency_fraction = *rc::gen::element(0.05, 0.25, 1.0);
    limits.destination_rate = 5;
    return limits;
  }

  // Whether no interval has more grants than a token bucket allows that holds the tokens of one second (at
  // least one) and is refilled at `rate` per second.
  static bool StayWithinRate(const std::vector<Time>& times, double rate) {
    for (std::size_t first = 0; first < times.size(); ++first) {
      for (std::size_t last = first; last < times.size(); ++last) {
        const double seconds = static_cast<double>((times[last] - times[first]).count()) / 1e6;
        const auto count = static_cast<double>(last - first + 1);
        if (count > std::max(1.0, rate) + rate * seconds + 1e-3) return false;
      }
    }
    return true;
  }

  void CompleteMessage(int destination) {
    if (in_flight_[destination] == 0) return;
    --in_flight_[destination];
    --total_;
    planner_.OnMessageCompleted(destination, *rc::gen::arbitrary<bool>(), now_);
  }

  void RejectCall(int destination) {
    failed_at_[destination] = now_;
    retry_after_[destination] = std::max(retry_after_[destination], now_ + 300ms);
    planner_.OnCallCompleted(destination, Outcome::kRejected, 300ms, now_);
  }

  void RequestGrant(int destination) {
    const bool has_endpoint = *rc::gen::inRange(0, 10) > 0;
    const RedrivePlanner::Load load{*rc::gen::inRange(0, limits_.max_concurrent_calls + 1),
                                    *rc::gen::inRange(0, 201)};
    const auto grant = planner_.RequestGrant("r", redrive_, destination, has_endpoint, load, now_);
    if (!grant.granted()) {
      RC_ASSERT(grant.retry_after >= now_);
      return;
    }
    RC_ASSERT(has_endpoint && load.pending_messages < limits_.max_pending_messages &&
              load.calls_in_flight < limits_.max_concurrent_calls);
    const bool is_healthy =
        !failed_at_.contains(destination) || now_ >= failed_at_[destination] + redrive_.healthy_for;
    RC_ASSERT(now_ >= retry_after_[destination] && is_healthy);
    ++in_flight_[destination];
    ++total_;
    granted_[destination].push_back(now_);
    granted_by_rule_.push_back(now_);
  }

  const RedrivePlanner::Limits limits_;
  RedrivePlanner planner_;
  RedriveAction redrive_;
  Time now_{0};
  int total_ = 0;
  std::map<int, int> in_flight_;
  std::map<int, Time> failed_at_;
  std::map<int, Time> retry_after_;
  std::map<int, std::vector<Time>> granted_;
  std::vector<Time> granted_by_rule_;
};

void PlannerNeverExceedsItsLimits() {
  assert(rc::check("planner against a model", [] {
    PlannerModel model;
    for (int i = 0; i < 300; ++i) model.Step();
    model.CheckRates();
  }));
}

// A destination is healthy for 3 s between failures. Its second backoff is longer than the first, and after
// each backoff only one redrive at a time is allowed.
void BackoffGrowsWhenADestinationFailsAgain() {
  RedrivePlanner planner({100, 1000, 0.5, 0.5, 100, 1s, 60s}, 1, Time(0));
  RedriveAction redrive;
  redrive.rate_per_second = 1000;
  redrive.healthy_for = 1s;
  std::vector<Duration> backoffs;
  Time now(10s);
  for (int round = 0; round < 3; ++round) {
    int sent = 0;
    for (const Time end = now + 3s; now < end; now += 100ms) {
      if (!planner.RequestGrant("r", redrive, 7, true, {}, now).granted()) continue;
      ++sent;
      planner.OnMessageCompleted(7, true, now + 50ms);
    }
    assert(sent > 5);
    now += 100ms;
    int concurrent = 0;
    while (planner.RequestGrant("r", redrive, 7, true, {}, now).granted()) ++concurrent;
    assert(concurrent > 1);  // each success allowed one more
    for (int i = 0; i < concurrent; ++i) {
      planner.OnCallCompleted(7, Outcome::kTimeout, 0s, now);
      planner.OnMessageCompleted(7, false, now);
    }
    const Time failed_at = now;
    while (!planner.RequestGrant("r", redrive, 7, true, {}, now).granted()) now += 100ms;
    backoffs.push_back(now - failed_at);
    assert(!planner.RequestGrant("r", redrive, 7, true, {}, now).granted());  // only one at a time
    planner.OnMessageCompleted(7, true, now);
  }
  assert(backoffs[0] >= 1s && backoffs[1] > backoffs[0]);
}

// --- Operators' requests ---

void OperatorRequestsAreParsedOrRejectedWithTheReason() {
  const std::pair<const char*, const char*> table[] = {
      {"", "one JSON object"},
      {"[1]", "one JSON object"},
      {"{}", "/v: expected 1"},
      {R"({"v":2,"op":"list"})", "/v: expected 1"},
      {R"({"v":1,"op":"burn"})", "/op: expected one of"},
      {R"({"v":1,"op":"list","limit":0})", "/limit: expected a whole number from 1 to 1000"},
      {R"({"v":1,"op":"list","limit":"9"})", "/limit"},
      {R"({"v":1,"op":"list","body":true,"limit":1000})", "/limit: expected a whole number from 1 to 50"},
      {R"({"v":1,"op":"list","filter":"age > 3"})", "filter: line 1, column 7: expected a duration"},
      {R"({"v":1,"op":"list","filter":7})", "/filter: expected a string"},
      {R"({"v":1,"op":"list","after":"x"})", "/after: expected NODE/NUMBER"},
      {R"({"v":1,"op":"show"})", "/id: expected NODE/NUMBER"},
      {R"({"v":1,"op":"show","id":"n0/12x"})", "/id"},
      {R"({"v":1,"op":"try","rules":"rule"})", "rules: line 1, column 5: expected a word"},
      {R"({"v":1,"op":"act","action":"burn"})", "/action: expected resend, hold or drop"},
      {R"({"v":1,"op":"act","action":"hold","only_count":1})", "/only_count: expected true or false"}};
  for (const auto& [line, expected] : table) {
    std::string message;
    try {
      ParseOperatorRequest(line, kClasses);
    } catch (const std::exception& error) {
      message = error.what();
    }
    if (message.find(expected) == message.npos)
      std::fprintf(stderr, "%s: unexpected message %s\n", line, message.c_str());
    assert(message.find(expected) != message.npos);
  }
  const OperatorRequest good = ParseOperatorRequest(
      R"({"v":1,"op":"list","filter":"class = aviso","after":"a/b/7","limit":3})", kClasses);
  assert(good.limit == 3 && good.after == DeadLetterId({"a/b", 7}) && !good.IsWrite());
}

}  // namespace
}  // namespace sagetally::dead_letter

int main() {
  using namespace sagetally::dead_letter;
  RulesAreParsedAndErrorsNameThePosition();
  PrintedRulesParseToEqualOnes();
  NoRuleMatchesDifferentlyBeforeTheNextChange();
  PolicyForbidsWhatCouldTakeEffectTwice();
  AllowedRedrivesEndWithinTheDeduplicationWindow();
  NeitherRulesNorOperatorsOverrideThePolicy();
  PlannerNeverExceedsItsLimits();
  BackoffGrowsWhenADestinationFailsAgain();
  OperatorRequestsAreParsedOrRejectedWithTheReason();
  std::puts("9 passed, 0 failed");
}
