#include "handover/handover_state.h"

#include <utility>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

void Put(ByteWriter& w, const LoadReport& load) {
  w.AppendNumber(load.quota_left).AppendNumber(load.rate_limit);
}
LoadReport ReadLoadReport(ByteReader& r) {
  LoadReport load;
  load.quota_left = r.ReadNumber<double>();
  load.rate_limit = r.ReadNumber<double>();
  return load;
}

Outcome ReadOutcome(ByteReader& r) {
  const auto value = r.ReadNumber<std::uint8_t>();
  if (value > static_cast<std::uint8_t>(Outcome::kNotSent)) r.MarkMalformed();
  return static_cast<Outcome>(value);
}

template <typename T, typename F>
void PutAll(ByteWriter& w, const std::vector<T>& all, F put) {
  w.AppendNumber(static_cast<std::uint32_t>(all.size()));
  for (const T& one : all) put(one);
}
template <typename F>
void ReadAllOf(ByteReader& r, F read) {
  const auto count = r.ReadNumber<std::uint32_t>();
  for (std::uint32_t i = 0; i < count && r.ok(); ++i) read();
}

}  // namespace

std::string EncodeHandoverState(const HandoverState& s) {
  ByteWriter w;
  w.AppendNumber(kHandoverVersion)
      .AppendTime(s.now.wall_time)
      .AppendTime(s.now.steady_time)
      .AppendNumber(s.now.boot_id)
      .AppendNumber(s.revision);
  PutAll(w, s.classes, [&](const std::string& name) { w.AppendString(name); });
  PutAll(w, s.endpoints, [&](const EndpointUpdate& n) {
    const EndpointRecord& e = n.record;
    w.AppendString(e.endpoint)
        .AppendString(n.address)
        .AppendNumber(e.destination)
        .AppendNumber(e.zone)
        .AppendNumber(e.kind)
        .AppendNumber(e.rate);
    w.AppendNumber(static_cast<std::uint8_t>(e.state));
  });
  PutAll(w, s.recent_attempts, [&](const CompletedAttempt& a) {
    w.AppendTime(a.sent_at)
        .AppendTime(a.completed_at)
        .AppendTime(a.deadline)
        .AppendNumber(a.destination)
        .AppendNumber(a.message_class)
        .AppendNumber(a.attempts);
    w.AppendString(a.endpoint).AppendNumber(static_cast<std::uint8_t>(a.outcome)).AppendTime(a.retry_after);
    Put(w, a.load_report);
  });
  PutAll(w, s.in_flight_calls, [&](const InFlightCall& c) {
    w.AppendNumber(c.number).AppendString(c.endpoint).AppendTime(c.sent_at);
    w.AppendNumber(c.first_uncertain_attempt.has_value())
        .AppendTime(c.first_uncertain_attempt.value_or(Time(0)))
        .AppendString(c.first_uncertain_endpoint);
  });
  return w.bytes();
}

std::optional<HandoverState> DecodeHandoverState(std::string_view bytes) {
  ByteReader r(bytes);
  if (r.ReadNumber<std::uint32_t>() != kHandoverVersion) return {};
  HandoverState s;
  s.now.wall_time = r.ReadTime();
  s.now.steady_time = r.ReadTime();
  s.now.boot_id = r.ReadNumber<std::uint64_t>();
  s.revision = r.ReadNumber<std::int64_t>();
  ReadAllOf(r, [&] { s.classes.push_back(r.ReadString()); });
  ReadAllOf(r, [&] {
    EndpointUpdate& n = s.endpoints.emplace_back();
    EndpointRecord& e = n.record;
    e.endpoint = r.ReadString();
    n.address = r.ReadString();
    e.destination = r.ReadNumber<int>();
    e.zone = r.ReadNumber<int>();
    e.kind = r.ReadNumber<int>();
    e.rate = r.ReadNumber<double>();
    const auto state = r.ReadNumber<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(EndpointRecord::State::kRemoved)) r.MarkMalformed();
    e.state = static_cast<EndpointRecord::State>(state);
  });
  ReadAllOf(r, [&] {
    CompletedAttempt& a = s.recent_attempts.emplace_back();
    a.sent_at = r.ReadTime();
    a.completed_at = r.ReadTime();
    a.deadline = r.ReadTime();
    a.destination = r.ReadNumber<int>();
    a.message_class = r.ReadNumber<int>();
    a.attempts = r.ReadNumber<int>();
    a.endpoint = r.ReadString();
    a.outcome = ReadOutcome(r);
    a.retry_after = r.ReadTime();
    a.load_report = ReadLoadReport(r);
  });
  ReadAllOf(r, [&] {
    InFlightCall& c = s.in_flight_calls.emplace_back();
    c.number = r.ReadNumber<std::uint64_t>();
    c.endpoint = r.ReadString();
    c.sent_at = r.ReadTime();
    const bool may = r.ReadBool();
    const Time may_at = r.ReadTime();
    if (may) c.first_uncertain_attempt = may_at;
    c.first_uncertain_endpoint = r.ReadString();
  });
  if (!r.ok() || !r.empty()) return {};
  return s;
}

std::string EncodeCallResult(const CallResult& result) {
  ByteWriter w;
  w.AppendNumber(result.number)
      .AppendNumber(static_cast<std::uint8_t>(result.outcome))
      .AppendNumber(result.completed);
  w.AppendTime(result.retry_after);
  Put(w, result.load_report);
  return w.bytes();
}

std::optional<CallResult> DecodeCallResult(std::string_view bytes) {
  ByteReader r(bytes);
  CallResult result;
  result.number = r.ReadNumber<std::uint64_t>();
  result.outcome = ReadOutcome(r);
  result.completed = r.ReadBool();
  result.retry_after = r.ReadTime();
  result.load_report = ReadLoadReport(r);
  if (!r.ok() || !r.empty()) return {};
  return result;
}

void AttemptHistory::Add(CompletedAttempt attempt) {
  while (!recent_.empty() && (recent_.size() >= kMaxAttempts ||
                              recent_.front().completed_at + kRetention < attempt.completed_at)) {
    recent_.pop_front();
  }
  recent_.push_back(std::move(attempt));
}

}  // namespace sagetally
