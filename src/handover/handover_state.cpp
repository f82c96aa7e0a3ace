#include "handover/handover_state.h"

#include <utility>

#include "base/byte_codec.h"

namespace sagetally {
namespace {

void Put(Writer& w, const LoadReport& load) { w.Number(load.allowance_left).Number(load.limit); }
LoadReport ReadLoadReport(Reader& r) {
  LoadReport load;
  load.allowance_left = r.Number<double>();
  load.limit = r.Number<double>();
  return load;
}

Outcome ReadOutcome(Reader& r) {
  const auto value = r.Number<std::uint8_t>();
  if (value > static_cast<std::uint8_t>(Outcome::kMoot)) r.Fail();
  return static_cast<Outcome>(value);
}

template <typename T, typename F>
void PutAll(Writer& w, const std::vector<T>& all, F put) {
  w.Number(static_cast<std::uint32_t>(all.size()));
  for (const T& one : all) put(one);
}
template <typename F>
void ReadAllOf(Reader& r, F read) {
  const auto count = r.Number<std::uint32_t>();
  for (std::uint32_t i = 0; i < count && r.fine(); ++i) read();
}

}  // namespace

std::string Encode(const HandoverState& s) {
  Writer w;
  w.Number(kHandoverVersion).At(s.now.wall).At(s.now.steady).Number(s.now.boot).Number(s.revision);
  PutAll(w, s.classes, [&](const std::string& name) { w.Text(name); });
  PutAll(w, s.endpoints, [&](const EndpointNews& n) {
    const EndpointEntry& e = n.entry;
    w.Text(e.endpoint).Text(n.address).Number(e.destination).Number(e.zone).Number(e.kind).Number(e.rate);
    w.Number(static_cast<std::uint8_t>(e.state));
  });
  PutAll(w, s.recent, [&](const PastAttempt& a) {
    w.At(a.sent).At(a.ended).At(a.deadline).Number(a.destination).Number(a.message_class).Number(a.attempts);
    w.Text(a.endpoint).Number(static_cast<std::uint8_t>(a.outcome)).At(a.told_wait);
    Put(w, a.load);
  });
  PutAll(w, s.out, [&](const CallOut& c) {
    w.Number(c.number).Text(c.endpoint).At(c.sent);
    w.Number(c.may_have_run.has_value()).At(c.may_have_run.value_or(Time(0))).Text(c.may_have_run_at);
  });
  return w.out();
}

std::optional<HandoverState> DecodeHandover(std::string_view bytes) {
  Reader r(bytes);
  if (r.Number<std::uint32_t>() != kHandoverVersion) return {};
  HandoverState s;
  s.now.wall = r.At();
  s.now.steady = r.At();
  s.now.boot = r.Number<std::uint64_t>();
  s.revision = r.Number<std::int64_t>();
  ReadAllOf(r, [&] { s.classes.push_back(r.Text()); });
  ReadAllOf(r, [&] {
    EndpointNews& n = s.endpoints.emplace_back();
    EndpointEntry& e = n.entry;
    e.endpoint = r.Text();
    n.address = r.Text();
    e.destination = r.Number<int>();
    e.zone = r.Number<int>();
    e.kind = r.Number<int>();
    e.rate = r.Number<double>();
    const auto state = r.Number<std::uint8_t>();
    if (state > static_cast<std::uint8_t>(EndpointEntry::State::kRemoved)) r.Fail();
    e.state = static_cast<EndpointEntry::State>(state);
  });
  ReadAllOf(r, [&] {
    PastAttempt& a = s.recent.emplace_back();
    a.sent = r.At();
    a.ended = r.At();
    a.deadline = r.At();
    a.destination = r.Number<int>();
    a.message_class = r.Number<int>();
    a.attempts = r.Number<int>();
    a.endpoint = r.Text();
    a.outcome = ReadOutcome(r);
    a.told_wait = r.At();
    a.load = ReadLoadReport(r);
  });
  ReadAllOf(r, [&] {
    CallOut& c = s.out.emplace_back();
    c.number = r.Number<std::uint64_t>();
    c.endpoint = r.Text();
    c.sent = r.At();
    const bool may = r.Flag();
    const Time may_at = r.At();
    if (may) c.may_have_run = may_at;
    c.may_have_run_at = r.Text();
  });
  if (!r.fine() || !r.empty()) return {};
  return s;
}

std::string EncodeResult(const CallResult& result) {
  Writer w;
  w.Number(result.number).Number(static_cast<std::uint8_t>(result.outcome)).Number(result.over);
  w.At(result.told_wait);
  Put(w, result.load);
  return w.out();
}

std::optional<CallResult> DecodeResult(std::string_view bytes) {
  Reader r(bytes);
  CallResult result;
  result.number = r.Number<std::uint64_t>();
  result.outcome = ReadOutcome(r);
  result.over = r.Flag();
  result.told_wait = r.At();
  result.load = ReadLoadReport(r);
  if (!r.fine() || !r.empty()) return {};
  return result;
}

void AttemptMemory::Add(PastAttempt attempt) {
  while (!recent_.empty() && (recent_.size() >= kMost || recent_.front().ended + kKept < attempt.ended)) {
    recent_.pop_front();
  }
  recent_.push_back(std::move(attempt));
}

}  // namespace sagetally
