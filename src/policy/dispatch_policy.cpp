// Every decision of sagetally. The interface (settings, events, actions) is
// include/sagetally/dispatch_policy.h. Read top to bottom: constants, state, events, estimates, release,
// relegation, pace, health, guards. The mechanism is NIYAMA's (the design page): P = arrival + aim + alpha x
// expected call time, lowest P leaves first; what would miss its aim is relegated, lower worth first; what
// cannot arrive any more is refused.
#include "sagetally/dispatch_policy.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <tuple>
#include <utility>

namespace sagetally {
namespace {

using std::chrono::milliseconds, std::chrono::seconds;

// Estimates. An average forgets at 1/kMemory a sample: recent enough to follow a slowdown within ten calls.
constexpr double kMemory = 12.0;
constexpr double kPoolWeight = 4.0;  // the sender-wide average counts as so many samples of a destination
// Alpha is 1 plus this times the share of held messages that are relegated (the overload seen locally).
constexpr double kAlphaGain = 3.0;
// Time-outs: so many expected calls, and never under the class's aim; unsafe messages wait longer.
constexpr double kTimeOutCalls = 3.0;
constexpr double kTimeOutAims = 1.2;  // where all is well; one aim at a suspect, for the sake of the slot
constexpr double kUnsafePatience = 2.0;
constexpr double kTimeOutAimsBound = 0.3;  // while slots bind: calls never answered hold them from the others
constexpr Duration kBoundFor = seconds(2);
constexpr double kCut = 0.5;          // pace, of the rate before
constexpr double kLandAtLeast = 0.8;  // of an even split of the told rate
constexpr double kUntoldRate = 2.0;   // calls a second that a limit is taken for where none is told
// A success adds a share of the rate by the time since the last; doubling balances at half refused.
constexpr double kCreep = 0.03, kCreepPerSecond = 0.1, kMostCreep = 0.25;
constexpr double kBurstSeconds = 0.3;  // tokens a bucket holds, in seconds of its rate
// Health: `doubt` moves to 1 by these on a failure and to 0 on a success.
constexpr double kDoubtHard = 0.5;    // no answer or no connection
constexpr double kDoubtError = 0.25;  // an error answer, a reset: single ones are everyday
constexpr double kTrust = 0.3;        // three or four successes make a suspect well again
constexpr double kSuspect = 0.3;      // above: no unsafe messages, short rein
// Above: an outage. Two hard failures in a row, but not two with a success between: those are everyday.
constexpr double kOut = 0.7;
constexpr Duration kTrialEvery = milliseconds(1000);   // the end of an outage must not go unseen for long
constexpr Duration kLeastOverdue = milliseconds(300);  // short pauses are no silence
constexpr double kOverdueCalls = 2.0;                  // a call out for so many expected times is overdue
constexpr int kOvertaken = 2, kOvertakenCalls = 2;     // answered calls sent later; expected times
constexpr double kSuspectSlotShare = 0.2, kAllSuspectsShare = 0.4;  // of the slots, for one and for all
// A younger idle connection is sound; a failed call halves the age trusted, which doubles again in:
constexpr Duration kYoungIdle = milliseconds(200);
constexpr double kTrustDoubles = 30.0;  // seconds
// Idleness is blamed once idle connections fail four times as often as those in use, over a hundred calls.
constexpr double kBlame = 4, kBreakMemory = 0.99, kUseKnown = 40;  // as if so many in use had failed once
// How long idle connections are kept is cut to a quarter, by kind, by one that fails where all seemed well,
// and grows by each that finds a place: about one in thirty fails while tables are full.
constexpr double kKeepCut = 0.25, kKeepGrows = 1.05, kKeepers = 4;
constexpr double kNoPlace = 0.65;  // of the time of a refusal that told a wait, or of an answer
constexpr double kQueueing = 0.1;  // price of waiting behind one more call at an endpoint
constexpr int kQueueCalls = 1;     // while slots bind: by so many expected times one more makes a call longer
constexpr double kShedMargin = 0.04;                 // of most_held is kept free
constexpr double kEarly = 0.7, kEarlyPrice = 0.3;    // of its time; of the worth of what is returned before
constexpr Duration kLeastNotice = milliseconds(15);  // of a deadline, for the final answer to arrive
constexpr double kBudgetUsed = 0.85;                 // of the fail-back budget, the rest is for chance
// Of the calls that a sender without the failure makes, for one with it: twice as many break the rule
// together, and the shares of an outage's senders add up to 2.4.
constexpr double kUnseen = 0.8;
constexpr double kRateSeconds = 10;  // over which a usual rate is taken
constexpr int kForgetWarm = 3;       // an endpoint gone for so many warm_within is forgotten
constexpr Duration kTrackBackOff = milliseconds(500);

struct Latency {  // of calls that answered, in microseconds
  double mean = 0, variance = 0, n = 0;
  void Add(double x) {
    n += 1;
    // One stray answer counts as four deviations at most, so that a long tail cannot swing the margin.
    if (n > 8) x = std::min(x, mean + 4 * std::sqrt(variance) + 0.5 * mean);
    const double w = 1.0 / std::min(n, kMemory), off = x - mean;
    mean += w * off;
    variance = (1 - w) * (variance + w * off * off);
  }
};

struct Rate {  // a second, of late
  double last = 0;
  Time at{0};
  double Of(Time now) const {
    return last * std::exp(static_cast<double>((at - now).count()) / 1e6 / kRateSeconds);
  }
  void Add(Time now) { last = Of(now) + 1 / kRateSeconds, at = now; }
};

struct Lane {  // what shares one limit: a destination, or a route where routes are apart
  Time wait_until{0};
  double told_rate = 0;  // calls a second for all senders; 0: not told
  double rate = 0;       // this sender's pace in calls a second; 0: unpaced
  double tokens = 0;
  Time tokens_at{0}, last_cut{-1}, crept_at{0};
  Rate served;  // calls answered
  std::deque<Time> sent;
  int refusals = 0, unconnected = 0, cuts = 0;  // in a row: refusals, failed connections, cuts by a limit
  Time refused_since{0};
  std::optional<Time> cold_since;  // held to the fail-back budget since
  std::optional<Time> recovered;   // the first call answered since
  double credit = 0, usual = 0;    // calls that the budget allows now; usual rate
  Time credit_at{0};
  bool outage = false;  // an endpoint's breaker opened since
};

struct Endpoint {
  std::string id;
  int destination = 0, zone = 0, kind = 0;
  bool usable = false;
  Lane* lane = nullptr;
  int out = 0;
  std::multiset<Time> out_since;
  std::vector<Time> idle_since;          // connections open and idle, the longest idle first
  std::optional<Duration> trust_before;  // a call failed on an idle connection; none ended since
  double doubt = 0;                      // as of doubt_at; see Doubt
  Time doubt_at{0};
  bool may_run = false;  // what failed last may have run
  bool outage = false;   // since the breaker opened, until warm
  Time retry_at{0}, last_ok{-1};
  bool trial = false;
  int failures = 0;          // in a row, of calls, without connection or answer
  bool spared = false;       // answered while another endpoint of the lane was struck
  std::optional<Time> gone;  // since when no list names it
};

struct Message;
using Queue = std::map<std::pair<Time, std::uint64_t>, Message*>;  // by arrival, then number

struct Message {
  std::string id;
  std::uint64_t number = 0;
  int destination = 0, cls = 0, tenant = 0;
  Time taken{0}, arrival{0}, aim{0}, deadline{0};
  std::string key;
  int attempts = 0;
  bool out = false, ended = false, relegated = false, spared = false;
  std::uint64_t call = 0;
  Time sent{0};
  std::optional<Time> may_have_run;                   // send time of the earliest attempt that may have run
  const Endpoint *may_at = nullptr, *last = nullptr;  // where that ran; of the last attempt
  int may_zone = -1;                                  // of may_at
};

struct Destination {
  std::vector<Endpoint*> endpoints;
  std::vector<Queue> ready, relegated;  // by class
  int waiting = 0;                      // messages in all queues
  Latency latency;
};

struct KeyLine {  // messages of one key, in the order taken
  std::deque<Message*> order;
  Time quiet_until{0};
};

struct Call {
  Endpoint* endpoint = nullptr;
  Time sent{0};
  Duration idle{0};  // age of the idle connection it went out on; 0: a new one
  std::vector<Message*> members = {};
  int overtaken = 0;  // by calls sent later to the same endpoint
  bool trial = false, counted = false, cancelled = false;
  bool unplaced = false;  // refused without a wait on a new connection: perhaps the table was full
};

void Require(bool fine, const char* what) {
  if (!fine) throw std::invalid_argument(std::string("sagetally settings: ") + what);
}

}  // namespace

class DispatchPolicy::Impl {
 public:
  Impl(Settings settings, std::uint64_t seed) : s_(std::move(settings)), random_(seed) {
    Require(!s_.classes.empty(), "classes is empty");
    Require(!s_.kinds.empty(), "kinds is empty");
    Require(s_.dispatcher_count > 0 && s_.max_concurrent_calls > 0 && s_.max_pending_messages > 0 &&
                s_.max_attempts > 0 && s_.max_streams_per_connection > 0,
            "senders, slots, most_held, max_attempts and multiplex must be positive");
    Require(s_.cold_capacity_fraction > 0 && s_.overload_multiple > 0,
            "cold_share and fall_multiple must be positive");
    for (const ClassSettings& c : s_.classes) {
      Require(c.latency_objective > Duration(0) && c.deadline > Duration(0),
              "aim and deadline must be positive");
      Require(c.priority_weight >= 0, "worth must not be negative");
    }
    for (const DestinationKindSettings& k : s_.kinds)
      Require(k.max_batch_size > 0, "batch_max must be positive");
    keep_idle_.resize(s_.kinds.size(), 1.0);
    usage_.resize(s_.tenants.size());
  }

  void Process(Time now, std::span<const Event> events, std::vector<Action>& actions) {
    now_ = std::max(now_, now);
    actions_ = &actions;
    wake_ = Time::max();
    for (const Event& event : events) std::visit([this](const auto& e) { On(e); }, event);
    FollowList();
    CancelOvertaken();
    GiveUpLate();
    Relegate();
    CloseUnkept();
    Release();
    ShedOverflow();  // last: what can leave at once is not shed for what waits
    ForgetGone();
    std::erase_if(active_, [](const auto& at) { return at.second->waiting == 0; });
    RequestWake();
  }

  int AvoidedEndpointCount() const {
    return static_cast<int>(std::ranges::count_if(endpoints_, [](const auto& at) {
      return !at.second.gone && (!at.second.usable || at.second.outage);
    }));
  }

 private:
  // ---- Events -------------------------------------------------------------------------------------------

  void On(const EndpointListUpdated& e) {
    if (!e.is_cached) tracking_asked_ = false;
    if (e.kind == EndpointListUpdated::Kind::kFailed) {
      tracked_ = false;
      track_at_ = now_ + Jitter(kTrackBackOff);
      return;
    }
    if (!e.is_cached) tracked_ = true;
    if (e.kind == EndpointListUpdated::Kind::kFullSnapshot) {
      for (auto& [id, endpoint] : endpoints_) {
        endpoint.usable = false;
        if (!endpoint.gone) endpoint.gone = now_;
      }
    }
    for (const EndpointRecord& entry : e.endpoints) {
      if (entry.kind < 0 || entry.kind >= static_cast<int>(s_.kinds.size())) {
        throw std::invalid_argument("sagetally: kind of endpoint '" + entry.endpoint + "' out of range");
      }
      const auto [at, is_new] = endpoints_.try_emplace(entry.endpoint);
      Endpoint& endpoint = at->second;
      if (is_new) {
        std::tie(endpoint.id, endpoint.destination, endpoint.zone, endpoint.kind) =
            std::tie(entry.endpoint, entry.destination, entry.zone, entry.kind);
        const bool apart = s_.kinds[entry.kind].per_endpoint_limits;
        endpoint.lane = &lanes_[{entry.destination, apart ? entry.endpoint : std::string()}];
        At(entry.destination).endpoints.push_back(&endpoint);
      }
      const bool removed = entry.state == EndpointRecord::State::kRemoved;
      if (!removed || !endpoint.gone) endpoint.gone = removed ? std::optional(now_) : std::nullopt;
      // Drains: an endpoint told as draining or gone gets nothing more from this batch on.
      endpoint.usable = entry.state == EndpointRecord::State::kUp;
      if (endpoint.usable && entry.rate > 0 && s_.advertised_rates != AdvertisedRates::kNone)
        endpoint.lane->told_rate = entry.rate;
    }
  }

  void On(const MessageAccepted& e) {
    if (e.message_class < 0 || e.message_class >= static_cast<int>(s_.classes.size())) {
      throw std::invalid_argument("sagetally: class of message '" + e.id + "' out of range");
    }
    const auto [at, is_new] = messages_.try_emplace(e.id);
    if (!is_new) return;
    Message& m = at->second;
    std::tie(m.id, m.destination, m.cls, m.tenant) = std::tie(e.id, e.destination, e.message_class, e.tenant);
    m.number = next_number_++;
    if (static_cast<std::size_t>(e.tenant) < usage_.size()) usage_[e.tenant].Add(now_);
    m.taken = now_, m.deadline = now_ + e.time_left;
    // A message handed over keeps its age, so queues are in order of deadlines. One with less left than its
    // aim is an impatient client's and due at its deadline: taken for old it would step back and starve.
    const ClassSettings& c = s_.classes[m.cls];
    m.arrival = m.deadline - c.deadline;
    m.aim = e.time_left < c.latency_objective ? m.deadline : m.arrival + c.latency_objective;
    if (c.ordered_by_key && !e.key.empty()) {
      m.key = e.key;
      keys_[m.key].order.push_back(&m);
    }
    ++held_;
    // The history of a message from before a restart binds as if this sender had made the attempts itself.
    m.attempts = e.attempts;
    m.may_have_run = e.first_uncertain_attempt;
    const auto ran_at = endpoints_.find(e.first_uncertain_endpoint);
    if (m.may_have_run && ran_at != endpoints_.end()) NoteWhere(m, ran_at->second);
    if (const auto out = endpoints_.find(e.in_flight_endpoint); out != endpoints_.end()) {
      --m.attempts;                 // counted anew as it is sent
      MayTake(out->second, false);  // brings pace and budget up to this moment
      NoteWindow(m);
      return Dispatch(m, out->second);
    }
    if ((m.may_have_run && c.idempotency == Idempotency::kNotIdempotent) || m.attempts >= s_.max_attempts)
      return GiveUp(m);
    NoteWindow(m);
    Enqueue(m);
  }

  void On(const AttemptCompleted& e) {
    const auto at = messages_.find(e.id);
    if (at == messages_.end() || !at->second.out || e.attempt != at->second.attempts - 1) return;
    Message& m = at->second;
    const ClassSettings& c = s_.classes[m.cls];
    m.out = false;
    const auto call = calls_.find(m.call);
    if (!call->second.counted) {  // one fate, one lesson
      call->second.counted = true;
      Learn(*call->second.endpoint, call->second.sent, e.outcome, e.retry_after, e.latency, e.load_report,
            m.deadline <= now_ + kLeastNotice, call->second.idle);
    }
    Endpoint& endpoint = *call->second.endpoint;
    // Every outcome is heard for its wait: the members of a call may be told waits of different length.
    endpoint.lane->wait_until = std::max(endpoint.lane->wait_until, now_ + e.retry_after);
    std::erase(call->second.members, &m);
    for (auto& [number, other] : calls_) {  // what is still connecting would arrive amid the wait
      const bool before = other.endpoint == &endpoint && other.sent < call->second.sent;
      other.overtaken += e.outcome == Outcome::kOk && before ? 1 : 0;
      if (e.retry_after <= Duration(0) || other.endpoint->lane != endpoint.lane) continue;
      for (Message* o : other.members) actions_->push_back(CancelIfUnsent{o->id, o->attempts - 1});
    }
    call->second.unplaced |= call->second.idle == Duration(0) && e.retry_after == Duration(0);
    if (call->second.members.empty()) FreeCall(call, e.outcome);
    const bool may_run = e.outcome == Outcome::kError || e.outcome == Outcome::kTimeout ||
                         e.outcome == Outcome::kReset || e.outcome == Outcome::kCancelled;
    if (may_run && !m.may_have_run) {
      m.may_have_run = m.sent;
      NoteWhere(m, endpoint);
      NoteWindow(m);
    }
    if (may_run && e.outcome != Outcome::kError && !m.key.empty()) {  // it may still run: the key rests
      keys_[m.key].quiet_until = std::max(keys_[m.key].quiet_until, now_ + s_.key_quiet_time);
    }
    if (e.message_ended && !m.ended) Forget(m);
    if (m.ended) return EraseIfOver(m);
    // Effects: an unsafe message that may have run gets no further attempt and no refusal.
    if (m.may_have_run && c.idempotency == Idempotency::kNotIdempotent) return GiveUp(m);
    if (WindowOver(m) || m.attempts >= s_.max_attempts || now_ + kLeastNotice >= m.deadline) return GiveUp(m);
    Enqueue(m);
  }

  void On(const MessageWithdrawn& e) {
    const auto at = messages_.find(e.id);
    if (at == messages_.end() || at->second.ended) return;
    Dequeue(at->second);
    Forget(at->second);
    EraseIfOver(at->second);
  }

  void On(
      const TimerFired&) {  // guards against a node that stands still: what is due in the gap is done before
    turn_late_ = std::max(wake_asked_ < now_ ? now_ - wake_asked_ : Duration(0), turn_late_ * 9 / 10);
    wake_asked_ = Time::max();
  }
  void On(const ShutdownStarted& e) { stop_at_ = now_ + e.time_left; }
  void On(const GossipReceived&) {}        // nothing here rests on notes, which may be lost
  void On(const HealthCheckCompleted&) {}  // nor on probes: calls that may be sent tell as much

  // ---- Messages held ------------------------------------------------------------------------------------

  Destination& At(int number) {
    Destination& d = destinations_[number];
    d.ready.resize(s_.classes.size());
    d.relegated.resize(s_.classes.size());
    return d;
  }

  Queue& QueueOf(const Message& m) {
    Destination& d = At(m.destination);
    return m.relegated ? d.relegated[m.cls] : d.ready[m.cls];
  }
  // A step visits only destinations for which something waits: walking hundreds used up the node's CPU.
  void Enqueue(Message& m) {
    QueueOf(m)[{m.arrival, m.number}] = &m;
    if (At(m.destination).waiting++ == 0) active_[m.destination] = &At(m.destination);
    relegated_ += m.relegated ? 1 : 0;
  }
  void Dequeue(Message& m) {
    if (QueueOf(m).erase({m.arrival, m.number}) == 0) return;
    At(m.destination).waiting -= 1;  // an empty one leaves `active_` at the end of the step
    relegated_ -= m.relegated ? 1 : 0;
  }

  void Forget(Message& m) { m.ended = true, --held_; }  // it has its final answer

  void NoteWhere(Message& m, const Endpoint& p) { m.may_at = &p, m.may_zone = p.zone; }
  // Whether the destination has forgotten the key of a message that may have run by then.
  bool WindowOver(const Message& m, Duration in = kLeastNotice) const {
    const ClassSettings& c = s_.classes[m.cls];
    const Time ran = m.may_have_run.value_or(m.out ? m.sent : now_ + in);
    return c.idempotency == Idempotency::kIdempotentWithKey && now_ + in > ran + c.deduplication_window;
  }
  void NoteWindow(const Message& m) {
    const ClassSettings& c = s_.classes[m.cls];
    if (!m.may_have_run || c.idempotency != Idempotency::kIdempotentWithKey) return;
    window_ends_.emplace(*m.may_have_run + c.deduplication_window - kLeastNotice, m.id);
  }

  void EraseIfOver(Message& m) {
    if (!m.ended || m.out) return;
    if (!m.key.empty()) {
      KeyLine& line = keys_[m.key];
      line.order.erase(std::find(line.order.begin(), line.order.end(), &m));
      if (line.order.empty()) resting_.emplace(line.quiet_until, m.key);
    }
    messages_.erase(m.id);
  }

  // A refusal says that trying again is harmless: only if nothing may have run, or the class allows it.
  bool Refusable(const Message& m) const {
    const ClassSettings& c = s_.classes[m.cls];
    return !m.may_have_run || c.idempotency == Idempotency::kIdempotent ||
           (c.idempotency == Idempotency::kIdempotentWithKey && c.key_scope == KeyScope::kAll);
  }

  void GiveUp(Message& m) {  // at once: an answer held back helps nobody
    Dequeue(m);
    Duration wait(0);
    for (Endpoint* p : At(m.destination).endpoints) {
      if (p->usable) wait = std::max({wait, p->lane->wait_until - now_, p->retry_at - now_});
    }
    wait = s_.retry_after_allowed ? std::min(wait, s_.max_client_retry_after) : Duration(0);
    actions_->push_back(Refusable(m) ? Action(RejectMessage{m.id, wait}) : Action(FailMessage{m.id}));
    Forget(m);
    EraseIfOver(m);
  }

  // Guards the memory against endpoints that are replaced all day long.
  void ForgetGone() {
    for (; !resting_.empty() && resting_.begin()->first <= now_; resting_.erase(resting_.begin())) {
      const auto at = keys_.find(resting_.begin()->second);
      if (at != keys_.end() && at->second.order.empty() && at->second.quiet_until <= now_) keys_.erase(at);
    }
    if (now_ < look_for_gone_) return;
    look_for_gone_ = now_ + seconds(1);
    for (auto at = endpoints_.begin(); at != endpoints_.end();) {
      Endpoint& p = at->second;
      // Its trouble is remembered until a destination that had it would be warm for long.
      if (!p.gone || p.out > 0 || *p.gone + kForgetWarm * s_.warm_up_time > now_) {
        ++at;
        continue;
      }
      for (auto& [id, m] : messages_) {
        if (m.may_at == &p) m.may_at = nullptr;
        if (m.last == &p) m.last = nullptr;
      }
      std::erase(At(p.destination).endpoints, &p);
      idle_.erase(p.id);
      if (s_.kinds[p.kind].per_endpoint_limits) lanes_.erase({p.destination, p.id});
      at = endpoints_.erase(at);
    }
  }

  // ---- Estimates ----------------------------------------------------------------------------------------

  // Expected call time: mean plus two deviations, nought before any call returns. What a handful tells leans
  // on the sender-wide figures, and the deviation counts for one mean at most, or relegation would misfire.
  Duration Expected(const Destination& d, bool with_deviation = true) const {
    if (d.latency.n == 0) return Duration(0);
    const double k = d.latency.n / (d.latency.n + kPoolWeight);
    const double mean = k * d.latency.mean + (1 - k) * pool_.mean;
    const double deviation = k * std::sqrt(d.latency.variance) + (1 - k) * std::sqrt(pool_.variance);
    return Duration(std::llround(mean + (with_deviation ? 2 * std::min(deviation, mean) : 0.0)));
  }

  double Priority(const Message& m, Duration expected) const {
    return static_cast<double>(m.aim.count()) +
           (1 + kAlphaGain * relegated_share_) * static_cast<double>(expected.count());
  }

  Duration TimeOut(const Message& m, bool suspect) {
    const ClassSettings& c = s_.classes[m.cls];
    const Destination& d = At(m.destination);
    const double aims = SlotsBind() ? kTimeOutAimsBound : suspect ? 1.0 : kTimeOutAims;
    const double out = std::max(kTimeOutCalls * Seconds(Expected(d)), aims * Seconds(c.latency_objective));
    return FromSeconds(c.idempotency == Idempotency::kNotIdempotent ? kUnsafePatience * out : out);
  }

  bool SlotsBind() const { return now_ < bound_at_ + kBoundFor; }  // of late

  // ---- Release ------------------------------------------------------------------------------------------

  Message* Head(Queue& queue) {
    for (const auto& [place, m] : queue) {
      if (!m->key.empty()) {
        const KeyLine& line = keys_[m->key];
        if (line.order.front() != m) continue;
        if (line.quiet_until > now_) {
          WantWake(line.quiet_until);
          continue;
        }
      }
      return m;
    }
    return nullptr;
  }

  Endpoint* Choose(Destination& d, const Message& m) {
    Endpoint* best = nullptr;
    double best_price = 0;
    const ClassSettings& c = s_.classes[m.cls];
    for (Endpoint* p : d.endpoints) {
      if (!MayTake(*p, c.idempotency == Idempotency::kNotIdempotent)) continue;
      if (m.may_have_run && c.idempotency == Idempotency::kIdempotentWithKey) {
        // A keyed message that may have run goes only where, and while, its key is remembered.
        if (WindowOver(m)) continue;
        if (c.key_scope == KeyScope::kZone && p->zone != m.may_zone) continue;
        if (c.key_scope == KeyScope::kEndpoint && p != m.may_at) continue;
      }
      double price = kQueueing * p->out + Doubt(*p);
      if (!HasConnection(*p)) price += s_.handshake_price;
      if (p->zone != s_.zone) price += s_.cross_zone_price;
      const bool has_fee = s_.kinds[p->kind].per_endpoint_limits && p->zone < std::ssize(s_.zone_prices);
      if (has_fee) price += s_.zone_prices[p->zone];
      if (m.attempts > 0 && m.last == p) price += kQueueing;
      if (best == nullptr || price < best_price) std::tie(best, best_price) = std::pair(p, price);
    }
    return best;
  }

  void Release() {
    slots_bound_ = false;
    suspect_out_ = 0;
    for (const auto& [number, call] : calls_) suspect_out_ += Suspect(*call.endpoint) ? 1 : 0;
    for (const bool relegated : {false, true}) {
      while (true) {
        Message* pick = nullptr;
        Endpoint* to = nullptr;
        double lowest = 0;
        for (auto& [number, at] : active_) {
          Destination& d = *at;
          const Duration expected = Expected(d);
          // A call cut off by the host's end may have run and is lost: what would not return waits instead.
          if (stop_at_ != Time::max() && now_ + std::max(expected, kLeastOverdue) > stop_at_) continue;
          for (Queue& queue : relegated ? d.relegated : d.ready) {
            Message* m = queue.empty() ? nullptr : Head(queue);
            if (m == nullptr) continue;
            const bool first = pick == nullptr;
            Endpoint* endpoint = first || Priority(*m, expected) < lowest ? Choose(d, *m) : nullptr;
            if (endpoint == nullptr) continue;
            const double p = Priority(*m, expected * (1 + (SlotsBind() ? kQueueCalls * endpoint->out : 0)));
            if (first || p < lowest) std::tie(pick, to, lowest) = std::tuple(m, endpoint, p);
          }
        }
        if (pick == nullptr) break;
        if (static_cast<int>(calls_.size()) >= s_.max_concurrent_calls) {  // more would be wasted attempts
          slots_bound_ = true;
          bound_at_ = now_;
          return;
        }
        Dispatch(*pick, *to);
      }
    }
  }

  void Dispatch(Message& first, Endpoint& to) {
    Destination& d = At(first.destination);
    const std::uint64_t number = next_call_++;
    Call& call = calls_[number];
    call.endpoint = &to;
    call.sent = now_;
    call.trial = to.outage && Doubt(to) > kSuspect;
    if (call.trial) to.trial = true;
    call.idle = TakeConnection(to);
    to.out += 1;
    to.out_since.insert(now_);
    CountSend(to);
    const bool risky = Suspect(to);
    suspect_out_ += risky ? 1 : 0;
    const Duration time_out = TimeOut(first, risky);
    Join(first, number, call, time_out);
    // One call carries what else is ready for the destination, lowest P first.
    while (static_cast<int>(call.members.size()) < s_.kinds[to.kind].max_batch_size) {
      Message* next = nullptr;
      for (auto* queues : {&d.ready, &d.relegated}) {
        for (Queue& queue : *queues) {
          Message* m = queue.empty() ? nullptr : Head(queue);
          if (m == nullptr || (Risky(to) && s_.classes[m->cls].idempotency == Idempotency::kNotIdempotent))
            continue;
          if (m->may_have_run && s_.classes[m->cls].idempotency == Idempotency::kIdempotentWithKey) continue;
          if (next == nullptr || m->aim < next->aim) next = m;
        }
        if (next != nullptr) break;
      }
      if (next == nullptr) break;
      Join(*next, number, call, time_out);
    }
  }

  void Join(Message& m, std::uint64_t number, Call& call, Duration time_out) {
    Dequeue(m);
    m.out = true;
    m.attempts += 1;
    m.sent = now_;
    m.call = number;
    call.members.push_back(&m);
    m.last = call.endpoint;
    actions_->push_back(StartAttempt{m.id, call.endpoint->id, std::min(time_out, m.deadline - now_)});
  }

  void FreeCall(std::map<std::uint64_t, Call>::iterator at, Outcome outcome) {
    Endpoint& p = *at->second.endpoint;
    p.out -= 1;
    p.out_since.erase(p.out_since.find(at->second.sent));
    if (at->second.trial) p.trial = false;
    // Only an answer leaves a connection that can serve again.
    if (outcome == Outcome::kOk || outcome == Outcome::kError ||
        (outcome == Outcome::kRejected && !at->second.unplaced)) {
      p.idle_since.push_back(now_);
      idle_[p.id] = &p;
    }
    calls_.erase(at);
  }

  // While slots bind, what later calls to the same endpoint have overtaken is on a connection that fell
  // silent: it goes out again early. An unsafe message ends by that, so it takes twice the evidence.
  void CancelOvertaken() {
    if (!s_.cancellation_allowed || !SlotsBind()) return;
    for (auto& [number, call] : calls_) {
      const int known = call.cancelled ? 0 : call.overtaken / kOvertaken;
      for (Message* m : call.members) {
        const int times = s_.classes[m->cls].idempotency == Idempotency::kNotIdempotent ? 2 : 1;
        const Duration limit = times * kOvertakenCalls * Expected(At(m->destination));
        const Time due = call.sent + std::max<Duration>(limit, kLeastOverdue / 2);
        if (known >= times) WantWake(due);
        if (known < times || due > now_ || WindowOver(*m, limit)) continue;
        call.cancelled = true;
        actions_->push_back(CancelAttempt{m->id, m->attempts - 1});
      }
    }
  }

  bool HasConnection(Endpoint& p) {
    std::erase_if(p.idle_since, [this](Time t) { return t + s_.connection_idle_timeout <= now_; });
    return !p.idle_since.empty() ||
           (s_.max_streams_per_connection > 1 && p.out % s_.max_streams_per_connection != 0);
  }
  Duration TakeConnection(Endpoint& p) {
    if (!HasConnection(p) || p.idle_since.empty()) return Duration(0);
    const Duration age = now_ - p.idle_since.back();
    p.idle_since.pop_back();
    return age;
  }
  // Closes idle connections before they are dropped unseen, by whatever (those idle for longer than is
  // trusted), or fill the table of an endpoint. Harm: a new connection for each spaced call.
  void CloseUnkept() {
    std::erase_if(idle_, [this](const auto& at) {
      Endpoint& p = *at.second;
      const Duration keep = std::min(IdleTrust(), KeepFor(p));
      if (p.idle_since.empty() || keep >= s_.connection_idle_timeout) return p.idle_since.empty();
      WantWake(p.idle_since.front() + keep);
      if (p.idle_since.front() + keep > now_) return false;
      p.idle_since.clear();
      actions_->push_back(CloseIdleConnections{p.id});
      return true;
    });
  }

  // At first as long as leaves an endpoint no more idle connections of all senders than calls in service, or
  // than a few senders would keep for ever. Of senders that call at random each has one for a time.
  Duration KeepFor(const Endpoint& p) {
    const Destination& d = At(p.destination);
    const auto serves = [&](const Endpoint* e) { return e->usable && e->lane == p.lane; };
    const double calls = Told(*p.lane) / std::max<double>(1, std::ranges::count_if(d.endpoints, serves));
    const double kept =
        std::min(1.0, std::max(kKeepers, calls * Seconds(Expected(d, false))) / s_.dispatcher_count);
    const double few =
        std::min(Seconds(s_.connection_idle_timeout), -s_.dispatcher_count / calls * std::log(1 - kept));
    return std::min(s_.connection_idle_timeout, FromSeconds(keep_idle_[p.kind] * few));
  }

  Duration IdleTrust() const {
    if (!idle_trust_) return Duration::max();
    const double doublings = Seconds(now_ - idle_trust_->second) / kTrustDoubles;
    return doublings > 10 ? Duration::max() : FromSeconds(Seconds(idle_trust_->first) * std::exp2(doublings));
  }

  // ---- Relegation ---------------------------------------------------------------------------------------

  // A message that would miss its aim steps back, but lower worth at the same bottleneck (the destination's
  // pace, or the slots) steps back first; higher worth only when none lower remains.
  void Relegate() {
    for (auto& [number, at] : active_) {
      Destination& d = *at;
      const Duration expected = Expected(d);
      for (std::size_t c = 0; c < d.ready.size(); ++c) {
        while (!d.ready[c].empty()) {
          Message& m = *d.ready[c].begin()->second;
          if (now_ + expected <= m.aim) break;
          Message* victim = LowerWorth(d, Worth(m));
          if (victim == nullptr) {
            StepBack(m);
            continue;
          }
          if (m.spared) break;
          m.spared = true;
          StepBack(*victim);
        }
        if (!d.ready[c].empty()) WantWake(d.ready[c].begin()->second->aim - expected + milliseconds(1));
      }
    }
    relegated_share_ = held_ == 0 ? 0.0 : static_cast<double>(relegated_) / held_;
  }

  // Past its tenant's share a message is worth less, seen from own traffic against an even split of the
  // allowance; where senders differ much, all tenants of a busy one look alike, so the order stays.
  double Worth(const Message& m) const {
    double worth = s_.classes[m.cls].priority_weight;
    if (static_cast<std::size_t>(m.tenant) < usage_.size() && s_.tenants[m.tenant].quota_per_second > 0) {
      const double usage = usage_[m.tenant].Of(now_) * s_.dispatcher_count;
      const double within = std::min(1.0, s_.tenants[m.tenant].quota_per_second / std::max(usage, 1e-9));
      worth *= within + (1 - within) * s_.over_quota_weight;
    }
    return worth;
  }

  Message* LowerWorth(Destination& own, double worth) {
    Message* victim = nullptr;
    const auto look = [&](Destination& d) {
      for (Queue& queue : d.ready) {
        if (queue.empty()) continue;
        Message* m = queue.rbegin()->second;
        const double its = Worth(*m);
        if (its < worth) std::tie(victim, worth) = std::pair(m, its);
      }
    };
    look(own);
    for (auto& [number, d] : active_) {
      if (slots_bound_) look(*d);
    }
    return victim;
  }

  void StepBack(Message& m) {
    Dequeue(m);
    m.relegated = true;
    Enqueue(m);
  }

  // What cannot arrive gets its answer at once. By the mean: a wrong refusal costs more than a wrong place.
  void GiveUpLate() {
    // Past its window a keyed message that may have run goes nowhere; one that is out ends by its outcome.
    while (!window_ends_.empty() && window_ends_.begin()->first < now_) {
      const auto at = messages_.find(window_ends_.begin()->second);
      window_ends_.erase(window_ends_.begin());
      if (at == messages_.end() || at->second.out || at->second.ended) continue;
      GiveUp(at->second);
    }
    if (!window_ends_.empty()) WantWake(window_ends_.begin()->first + milliseconds(1));
    for (auto& [number, at] : active_) {
      Destination& d = *at;
      const Duration need = std::max<Duration>(Expected(d, false), kLeastNotice) + turn_late_;
      for (auto* queues : {&d.ready, &d.relegated}) {
        for (Queue& queue : *queues) {
          while (!queue.empty() && queue.begin()->second->deadline - now_ < need)
            GiveUp(*queue.begin()->second);
          if (!queue.empty()) WantWake(queue.begin()->second->deadline - need + milliseconds(1));
        }
      }
    }
  }

  // What comes beyond the holding limit is turned away unseen, so the least worth goes before that.
  void ShedOverflow() {
    const int most =
        s_.max_pending_messages - std::max(1, static_cast<int>(kShedMargin * s_.max_pending_messages));
    while (held_ > most) {
      Message* least = nullptr;
      double least_worth = 0;
      for (auto& [number, at] : active_) {
        Destination& d = *at;
        // What waits ahead at the pace, in seconds: a message far back is worth little more than nothing.
        const double pace = d.endpoints.empty() ? 0.0 : d.endpoints.front()->lane->rate;
        const double ahead = pace > 0 ? d.waiting / pace : 0.0;
        for (auto* queues : {&d.relegated, &d.ready}) {
          for (std::size_t c = 0; c < queues->size(); ++c) {
            if ((*queues)[c].empty()) continue;
            Message* m = (*queues)[c].rbegin()->second;
            const double aims = ahead / Seconds(s_.classes[c].latency_objective);
            // What came just now has no answer yet: refusing it breaks no promise.
            const bool promised = m->taken < now_ && !m->may_have_run &&
                                  Seconds(now_ - m->taken) < kEarly * Seconds(m->deadline - m->taken);
            const double left = (m->relegated ? s_.classes[c].late_weight_fraction : 1.0) / (1 + aims);
            const double worth = Worth(*m) * (left + (promised ? kEarlyPrice : 0.0));
            if (least == nullptr || worth < least_worth) std::tie(least, least_worth) = std::pair(m, worth);
          }
        }
      }
      if (least == nullptr) return;
      GiveUp(*least);
    }
  }

  // ---- Pace ---------------------------------------------------------------------------------------------

  bool PaceAllows(Lane& lane) {
    if (lane.wait_until > now_) {  // told to wait: nothing goes, for any message
      WantWake(lane.wait_until);
      return false;
    }
    if (lane.rate <= 0) return true;
    const double burst = std::max(1.0, lane.rate * std::max(kBurstSeconds, Seconds(turn_late_)));
    lane.tokens = std::min(burst, lane.tokens + lane.rate * Seconds(now_ - lane.tokens_at));
    lane.tokens_at = std::max(now_, lane.tokens_at);
    if (lane.tokens >= 1) return true;
    WantWake(now_ + FromSeconds((1 - lane.tokens) / lane.rate) + milliseconds(1));
    return false;
  }

  void CountSend(Endpoint& p) {
    Lane& lane = *p.lane;
    lane.tokens -= 1;
    lane.sent.push_back(now_);
    while (lane.sent.front() + s_.overload_duration < now_) lane.sent.pop_front();
    if (!p.spared) lane.credit -= 1;
  }

  // Once for a burst: only for calls sent after the last cut. One to all senders come back: first their root.
  void CutPace(Lane& lane, Time call_sent) {
    if (call_sent <= lane.last_cut) return;
    lane.last_cut = now_;
    const double recent =
        static_cast<double>(lane.sent.size()) / std::max(0.1, Seconds(s_.overload_duration));
    const double was =
        std::min(recent, lane.rate > 0 ? lane.rate : 2 * Told(lane) / std::sqrt(s_.dispatcher_count));
    lane.rate = std::max(kCut * was, kLandAtLeast * Even(lane));
    // The next call at random in twice the mean gap: senders refused together must not come back together.
    lane.tokens = 1 - std::uniform_real_distribution<double>(0, 2)(random_);
    lane.tokens_at = lane.crept_at = now_;
  }

  // Where no rate is told: as if all senders were answered as often as this one.
  double Told(const Lane& lane) const {
    const double own = std::max(lane.served.Of(now_), lane.cold_since ? lane.usual : 0.0);
    return lane.told_rate > 0 ? lane.told_rate : std::max(kUntoldRate, own * s_.dispatcher_count);
  }

  // An even split of the told rate, the least pace. While a limit goes on refusing it takes less than is
  // told, or is used up by refused calls: half with each further cut, down to what a cold destination takes.
  double Even(const Lane& lane) const {
    return Told(lane) / s_.dispatcher_count *
           std::max(s_.cold_capacity_fraction, std::pow(kCut, std::max(0, lane.cuts - 1)));
  }

  void CreepPace(Lane& lane) {
    if (lane.rate <= 0) return;
    const double share = std::clamp(kCreepPerSecond * Seconds(now_ - lane.crept_at), kCreep, kMostCreep);
    lane.crept_at = std::max(now_, lane.crept_at);
    lane.rate = std::max(lane.rate, std::min(2 * lane.rate, kLandAtLeast * Even(lane)));
    lane.rate += std::max(kCreep * lane.told_rate / s_.dispatcher_count, share * lane.rate);
    if (lane.told_rate > 0) lane.rate = std::min(lane.rate, lane.told_rate);
  }

  // ---- Health -------------------------------------------------------------------------------------------

  bool Overdue(const Endpoint& p) {
    if (p.out_since.empty() || p.last_ok > *p.out_since.begin()) return false;
    const double expected = Seconds(Expected(At(p.destination)));
    const Duration limit = std::max<Duration>(FromSeconds(kOverdueCalls * expected), kLeastOverdue);
    return expected > 0 && now_ - *p.out_since.begin() > limit;
  }

  // Suspicion ages, or who calls seldom holds unsafe messages for ever. Risk: a longer outage takes one.
  double Doubt(const Endpoint& p) const {
    return p.doubt * std::exp(-Seconds(now_ - p.doubt_at) / std::max(1e-3, Seconds(s_.warm_up_time)));
  }
  void MoveDoubt(Endpoint& p, double to, double share) {
    p.doubt = Doubt(p) + share * (to - Doubt(p));
    p.doubt_at = now_;
  }

  bool Suspect(const Endpoint& p) { return Doubt(p) > kSuspect || Overdue(p); }
  // What never ran (no connection, refused) can be tried with anything.
  bool Risky(const Endpoint& p) { return Overdue(p) || (p.may_run && Doubt(p) > kSuspect); }

  bool MayTake(Endpoint& p, bool unsafe) {
    if (!p.usable || !PaceAllows(*p.lane) || !BudgetAllows(p)) return false;
    if (!Suspect(p)) return true;
    // Neither a hung destination nor many together may eat the slots, and nothing unsafe goes to a suspect.
    if (unsafe && Risky(p)) return false;
    if (p.out >= std::max(1, static_cast<int>(kSuspectSlotShare * s_.max_concurrent_calls))) return false;
    if (suspect_out_ >= std::max(1, static_cast<int>(kAllSuspectsShare * s_.max_concurrent_calls)))
      return false;
    if (!p.outage) return true;
    if (p.trial) return false;
    if (p.retry_at > now_) WantWake(p.retry_at);
    return p.retry_at <= now_;
  }

  // What one call or probe teaches. `at_deadline`: it was cut short by the message's own deadline.
  void Learn(Endpoint& p, Time sent, Outcome outcome, Duration told_wait, Duration took,
             const LoadReport& load, bool at_deadline, Duration idle) {
    Lane& lane = *p.lane;
    if (load.rate_limit > 0) lane.told_rate = load.rate_limit;
    const bool broke = outcome == Outcome::kReset || outcome == Outcome::kCancelled ||
                       (outcome == Outcome::kTimeout && !at_deadline);
    // Connections that fall silent at any age are no reason to give up idle ones.
    const bool rested = idle >= kYoungIdle;
    if (broke || outcome == Outcome::kOk) {
      broke_[rested] = kBreakMemory * broke_[rested] + (broke ? 1 : 0);
      tried_[rested] = kBreakMemory * tried_[rested] + 1;
    }
    const bool blamed = broke_[1] > 0.9 + kBlame * tried_[1] * (broke_[0] + 1) / (tried_[0] + kUseKnown);
    if (broke && !rested && !blamed) idle_trust_.reset();
    if (broke && rested && blamed && Doubt(p) <= kSuspect) {
      // Perhaps dropped unseen; unless the next answers at a usual pace it was an outage: trust comes back.
      if (!p.trust_before) p.trust_before = std::min<Duration>(IdleTrust(), seconds(3600));
      idle_trust_ = {std::min(IdleTrust(), idle / 2), now_};
      MoveDoubt(p, 1, kDoubtError);  // weak evidence of an outage
      p.may_run = true;
      return;
    }
    if (p.trust_before &&
        (outcome != Outcome::kOk ||
         static_cast<double>(took.count()) > 2 * std::min(At(p.destination).latency.mean, pool_.mean))) {
      idle_trust_ = {std::max(*p.trust_before, IdleTrust()), now_};
    }
    p.trust_before.reset();
    if (outcome == Outcome::kCancelled || outcome == Outcome::kNotSent) return;
    if (outcome == Outcome::kConnectFailed && Doubt(p) <= kSuspect) keep_idle_[p.kind] *= kKeepCut;
    const bool crowded = KeepFor(p) < s_.connection_idle_timeout;
    if (outcome == Outcome::kOk && idle == Duration(0) && crowded) keep_idle_[p.kind] *= kKeepGrows;
    if (outcome == Outcome::kOk) {
      if (took > Duration(0)) {  // failures and refusals never feed the expected time
        At(p.destination).latency.Add(static_cast<double>(took.count()));
        pool_.Add(static_cast<double>(took.count()));
        p.failures = 0;
        if (lane.cold_since) {
          // Sent within a moment of the failure and answered: the trouble is another endpoint's alone.
          if (Doubt(p) <= kSuspect && sent < *lane.cold_since + s_.overload_duration) p.spared = true;
          if (!(p.spared && lane.outage) && !lane.recovered && Doubt(p) <= kOut)
            lane.recovered = now_;  // probes prove too little
        }
      }
      p.last_ok = now_;
      lane.refusals = lane.unconnected = lane.cuts = 0;
      MoveDoubt(p, 0, kTrust);
      lane.served.Add(now_);
      return CreepPace(lane);
    }
    if (outcome == Outcome::kRejected) {
      lane.wait_until = std::max(lane.wait_until, now_ + told_wait);
      // A full table tells nothing of the destination's pace: as with a failed connection one more call does.
      // It tells no wait, and refuses before the handshake: sooner than a limit. Few senders can't fill one.
      if (idle == Duration(0) && told_wait > Duration(0)) told_.Add(static_cast<double>(took.count()));
      const bool early = static_cast<double>(took.count()) < kNoPlace * (told_.n > 0 ? told_ : pool_).mean;
      const bool unplaced = early && idle + told_wait == Duration(0) && crowded && !p.outage;
      if (unplaced) keep_idle_[p.kind] *= kKeepCut;
      const bool confirm = unplaced && ++lane.unconnected == 1;
      lane.cuts += !unplaced && sent > lane.last_cut ? 1 : 0;
      if (!confirm) CutPace(lane, sent);
      if (lane.refusals++ == 0) lane.refused_since = now_;
      GoCold(p, confirm);
      // Shut, not merely above its limit: a wait or a row of refusals as long as an outage matters.
      if (told_wait > s_.overload_duration ||
          (lane.refusals >= 3 && now_ - lane.refused_since > s_.overload_duration)) {
        MoveDoubt(p, std::max(Doubt(p), kOut + 0.1), 1);
        p.may_run = false;
        NoteOutage(p, "refuses all");
      }
      return;
    }
    // Connections also break at random: what has really gone refuses the next, or is silent: counted in full.
    const bool weak = outcome == Outcome::kError || outcome == Outcome::kReset;
    p.failures += weak ? 0 : 1;
    p.may_run = outcome != Outcome::kConnectFailed;
    // A connection that fails may have met a full table: one more call, to any endpoint, soon tells.
    const bool confirm = !p.may_run && !p.outage && ++lane.unconnected == 1;
    MoveDoubt(p, 1, weak || at_deadline || confirm ? kDoubtError : kDoubtHard);
    if (confirm || p.doubt >= kDoubtHard) {
      p.spared = false;
      GoCold(p, confirm);
    }
    // In an outage one more hard failure is enough: a success, or a probe's, amid failures is no recovery.
    if (!confirm && lane.unconnected > 1) lane.outage = true, lane.recovered.reset();  // of all that share it
    if (confirm || (p.failures < 2 && p.doubt < (p.outage ? kDoubtHard : kOut))) return;
    CutPace(lane, sent);  // most calls fail
    NoteOutage(p, "fails");
  }

  void NoteOutage(Endpoint& p, const char* how) {
    if (!p.outage) Say("outage: " + p.id + " " + how);
    GoCold(p);
    p.outage = p.lane->outage = true;
    p.spared = false;
    p.lane->recovered.reset();
    p.retry_at = now_ + Jitter(kTrialEvery);
  }

  // ---- Guards -------------------------------------------------------------------------------------------

  // Fail-back: a returning destination is cold and falls over if pushed. From the first refusal or failure on
  // calls to all that shares its limit go by credit, until it has answered (for long, after an outage).
  void GoCold(Endpoint& p, bool confirm = false) {
    Lane& lane = *p.lane;
    if (!lane.cold_since) {
      lane.cold_since = lane.credit_at = now_;
      lane.usual = lane.served.Of(now_);
      lane.recovered.reset();
      // One call at once to a sibling shows whose trouble it is. Else some of many senders try early.
      const bool sibling =
          lane.refusals == 0 && std::ranges::any_of(At(p.destination).endpoints, [&](auto* e) {
            return e != &p && e->usable && e->lane == &lane && Doubt(*e) <= kSuspect;
          });
      lane.credit = sibling ? 1 : std::uniform_real_distribution<double>(0, 1)(random_);
      if (sibling) return;
    }
    const Duration soon = std::max<Duration>(Expected(At(p.destination), false), kLeastOverdue / 2);
    if (confirm) lane.credit = 1, lane.credit_at = now_ + Jitter(soon, 1.0);
  }

  bool BudgetAllows(Endpoint& p) {
    Lane& lane = *p.lane;
    if (!lane.cold_since) return true;
    if (lane.recovered && (lane.outage ? now_ > *lane.recovered + s_.warm_up_time : Doubt(p) < kDoubtHard)) {
      for (Endpoint* e : At(p.destination).endpoints) {
        if (e->lane != &lane) continue;
        if (e->outage) Say("recovered: " + e->id);
        e->outage = e->spared = false;
      }
      lane.outage = false;
      lane.cold_since.reset();
      return true;
    }
    if (p.spared) return true;
    const double warmth = lane.recovered ? Seconds(now_ - *lane.recovered) / Seconds(s_.warm_up_time) : 0.0;
    const double present =
        std::min(1.0, s_.cold_capacity_fraction + (1 - s_.cold_capacity_fraction) * warmth);
    // Its share of all: usual answered calls, and one message of all that came since the failure.
    double share = lane.usual + 1 / std::max(0.1, Seconds(now_ - *lane.cold_since + s_.overload_duration));
    share = std::max(share, Even(lane));
    if (lane.told_rate > 0) share = std::min(share, lane.told_rate);
    // While no second message waits here few senders may have seen it, and the others' calls outweigh theirs.
    const double unseen = kUnseen * std::exp(1.0 - std::max(1, At(p.destination).waiting));
    const double rate = kBudgetUsed * std::max(present * s_.overload_multiple, unseen) * share;
    lane.credit = std::min(1.0, lane.credit + rate * Seconds(now_ - lane.credit_at));
    lane.credit_at = now_;
    if (lane.credit < 1) WantWake(now_ + FromSeconds((1 - lane.credit) / rate) + milliseconds(1));
    return lane.credit >= 1;
  }

  void FollowList() {
    if (!s_.endpoint_list_on_request || tracked_ || tracking_asked_) return;
    if (track_at_ > now_) return WantWake(track_at_);
    tracking_asked_ = true;
    actions_->push_back(SubscribeEndpointList{true});
  }

  void WantWake(Time at) {
    if (at > now_) wake_ = std::min(wake_, at);
  }

  void RequestWake() {
    if (!calls_.empty()) WantWake(now_ + kLeastOverdue);  // overdue calls show by time alone
    if (wake_ == Time::max() || wake_ >= wake_asked_) return;
    wake_asked_ = wake_;
    actions_->push_back(ScheduleTimer{wake_ - now_});
  }

  Duration Jitter(Duration d, double by = 0.2) {  // senders that failed together must not come back together
    return FromSeconds(Seconds(d) * std::uniform_real_distribution<double>(1 - by, 1 + by)(random_));
  }
  static double Seconds(Duration d) { return static_cast<double>(d.count()) / 1e6; }
  static Duration FromSeconds(double s) { return Duration(std::llround(s * 1e6)); }
  void Say(std::string line) { actions_->push_back(WriteLogLine{std::move(line)}); }

  Settings s_;
  std::mt19937_64 random_;
  static constexpr Time kNever{std::numeric_limits<std::int64_t>::min()};
  Time now_ = kNever, bound_at_ = kNever, look_for_gone_ = kNever, track_at_ = kNever;
  std::vector<Action>* actions_ = nullptr;
  std::map<std::string, Message> messages_;
  std::map<int, Destination> destinations_;
  std::map<int, Destination*> active_;  // those for which messages wait
  std::map<std::string, Endpoint> endpoints_;
  std::map<std::pair<int, std::string>, Lane> lanes_;
  std::map<std::string, KeyLine> keys_;
  std::multimap<Time, std::string> resting_;  // keys of which nothing is held, until they may be forgotten
  std::map<std::uint64_t, Call> calls_;
  Latency pool_, told_;  // of all destinations: answers; refusals that told a wait, on new connections
  std::uint64_t next_number_ = 0, next_call_ = 0;
  std::optional<std::pair<Duration, Time>> idle_trust_;  // idle age trusted so far, and when that was learnt
  double broke_[2] = {}, tried_[2] = {};   // calls of late on connections in use, and on rested ones
  std::vector<Rate> usage_;                // by tenant, messages taken
  Duration turn_late_{0};                  // by which wakes came late, at worst and of late
  std::vector<double> keep_idle_;          // by kind, of the time that KeepFor begins with
  std::map<std::string, Endpoint*> idle_;  // endpoints that may have idle connections
  int held_ = 0, relegated_ = 0, suspect_out_ = 0;
  double relegated_share_ = 0;
  bool slots_bound_ = false;
  bool tracked_ = false, tracking_asked_ = false;
  Time wake_ = Time::max(), wake_asked_ = Time::max(), stop_at_ = Time::max();
  std::multimap<Time, std::string> window_ends_;  // of keyed messages that may have run
};

DispatchPolicy::DispatchPolicy(Settings settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(std::move(settings), seed)) {}
DispatchPolicy::~DispatchPolicy() = default;
DispatchPolicy::DispatchPolicy(DispatchPolicy&&) noexcept = default;
DispatchPolicy& DispatchPolicy::operator=(DispatchPolicy&&) noexcept = default;

void DispatchPolicy::Process(Time now, std::span<const Event> events, std::vector<Action>& actions) {
  impl_->Process(now, events, actions);
}
int DispatchPolicy::AvoidedEndpointCount() const { return impl_->AvoidedEndpointCount(); }

}  // namespace sagetally
