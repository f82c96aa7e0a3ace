// A simulated partner that fails in every way the protocol allows, counts the calls that take effect, and
// remembers idempotency keys for a limited time, and clients that submit messages for it to a dispatcher. A
// message's body is its name, and the first letter of the name tells its class: 'p...' must not take effect
// twice, 'k...' is idempotent by its key, 'a...' is idempotent.
#ifndef SAGETALLY_TESTS_DEAD_LETTER_PARTNER_H_
#define SAGETALLY_TESTS_DEAD_LETTER_PARTNER_H_

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <set>

#include "../app/world.h"
#include "loadtest/clock.h"
#include "loadtest/load/client.h"
#include "loadtest/stub/partner.h"

namespace sagetally {

class Partner {
 public:
  using Fault = loadtest::Fault;

  // `key_retention` is how long the partner remembers idempotency keys.
  Partner(EventLoop& loop, std::uint64_t seed, Duration key_retention)
      : random_(seed),
        partner_(loop, Settings(key_retention), timeline_, checker_, loadtest::Stream(seed, "partner"),
                 loadtest::NowUs()),
        port(partner_.port()) {
    partner_.identify = [this](const loadtest::Call& call) {
      ++calls[call.body];
      return loadtest::Identity{call.body, std::nullopt, KindOf(call.body), ""};
    };
    partner_.choose_fault = [this](const loadtest::Call&) {
      loadtest::FaultSpan span;
      span.fault = fault_choices[boost::random::uniform_int_distribution<std::size_t>(
          0, fault_choices.size() - 1)(random_)];
      span.ms = span.fault == Fault::kTooManyRequests
                    ? 20
                    : 300;  // the dispatcher times out, but the call runs later nevertheless
      return span;
    };
    partner_.on_delivered = [this](const std::string& name) { ++delivered[name]; };
    partner_.on_effect = [this](const std::string& name) {
      if (++effects[name] < 2 || name[0] == 'a') return;
      ++forbidden_repeats;
      std::fprintf(stderr, "forbidden repeat of %s\n", name.c_str());
    };
  }

  // Most of the faults are answered immediately. With many calls that get no response the destination would
  // be treated as down and receive only one call per second.
  static std::vector<Fault> FaultsOfEveryKind() {
    std::vector<Fault> faults = {Fault::kTooManyRequests,
                                 Fault::kTooManyRequests,
                                 Fault::kServiceUnavailable,
                                 Fault::kServiceUnavailable,
                                 Fault::kError,
                                 Fault::kError,
                                 Fault::kError,
                                 Fault::kError,
                                 Fault::kError,
                                 Fault::kReset,
                                 Fault::kReset,
                                 Fault::kReset,
                                 Fault::kMalformedResponse,
                                 Fault::kLateExecution,
                                 Fault::kNoResponse,
                                 Fault::kError,
                                 Fault::kReset};
    faults.resize(30, Fault::kNone);
    return faults;
  }

  // The calls in flight now and their maximum so far, and the number of violations of a rule of the checker.
  std::size_t out() const { return checker_.in_flight(); }
  int max_calls_in_flight() const { return checker_.max_in_flight(); }
  int Broken(const std::string& rule) const {
    int count = 0;
    for (const loadtest::Violation& finding : checker_.violations()) count += finding.rule == rule ? 1 : 0;
    return count;
  }
  std::int64_t dropped_repeats() const { return partner_.dropped_repeats; }

  std::vector<Fault> fault_choices = {Fault::kNone};     // each call gets a random one of these
  std::map<std::string, int> effects, calls, delivered;  // counts by message name
  int forbidden_repeats = 0;

 private:
  static loadtest::PartnerSettings Settings(Duration key_retention) {
    loadtest::PartnerSettings settings;
    settings.key_retention_ms = static_cast<double>(key_retention / 1ms);
    return settings;
  }
  static loadtest::Idempotency KindOf(const std::string& name) {
    return name[0] == 'p'   ? loadtest::Idempotency::kNotIdempotent
           : name[0] == 'k' ? loadtest::Idempotency::kIdempotentWithKey
                            : loadtest::Idempotency::kIdempotent;
  }
  boost::random::mt19937_64 random_;
  const loadtest::FaultTimeline timeline_;
  loadtest::Checker checker_{loadtest::Rules{}};
  loadtest::Partner partner_;

 public:
  const std::uint16_t port;
};

// Clients that submit messages at a constant rate and store the responses. A message's name is the letter of
// its class (a, k or p) and a number.
class Clients {
 public:
  Clients(EventLoop& loop, std::function<std::uint16_t()> port, std::uint64_t seed)
      : loop_(loop), port_(std::move(port)), random_(seed), next_(loop, [this] { Post(); }) {}

  void Start(Duration interval) {
    interval_ = interval;
    next_.Schedule(Duration(0));
  }
  void Pause() { next_.Stop(); }
  // The names of the messages that were accepted (202), and of those whose response the client did not get.
  std::set<std::string> Taken() const {
    return NamesByStatus([](int code) { return code == 202; });
  }
  std::set<std::string> NamesWithUnknownResult() const {
    return NamesByStatus([](int code) { return code <= 0; });
  }
  int deadline_ms = 600;
  std::size_t destinations = 1;  // number of destinations, numbered from 7 on
  int posted = 0;

 private:
  template <typename Predicate>
  std::set<std::string> NamesByStatus(Predicate matches) const {
    std::set<std::string> names;
    for (const auto& [name, request] : requests_) {
      if (matches(request->status_code)) names.insert(name);
    }
    return names;
  }
  void Post() {
    constexpr const char* kClasses[] = {"aviso", "pedido", "pagamento"};
    const int kind = boost::random::uniform_int_distribution<int>(0, 2)(random_);
    const std::string name = "akp"[kind] + std::to_string(posted++);
    const Headers headers = {
        {"X-Request-Id", name},
        {"X-Class", kClasses[kind]},
        {"X-Deadline", std::to_string(deadline_ms) + "m"},
        {"X-Envelope", "dest=" + std::to_string(7 + posted % static_cast<int>(destinations))},
        {"Idempotency-Key", "key-" + name}};
    requests_[name] =
        std::make_unique<ClientRequest>(loop_, port_(), std::string("/") + kClasses[kind], headers, name);
    next_.Schedule(interval_);
  }
  EventLoop& loop_;
  std::function<std::uint16_t()> port_;
  boost::random::mt19937_64 random_;
  Duration interval_{0};
  Timer next_;
  std::map<std::string, std::unique_ptr<ClientRequest>> requests_;
};

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_DEAD_LETTER_PARTNER_H_
