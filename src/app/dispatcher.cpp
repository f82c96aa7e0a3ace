#include "app/dispatcher.h"

#include <csignal>
#include <cstdio>

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// After SIGTERM new connections come for 0.4 s at most, and SIGKILL after 3.7 s at the soonest.
constexpr Duration kListenOn = milliseconds(600);
constexpr Duration kLongestStop = milliseconds(3300);

}  // namespace

Dispatcher::Dispatcher(const Config& config)
    : config_(config),
      step_(loop_, [this] { Step(); }),
      wake_(loop_, [this] { chain_.route.Add(WakeDue{}); }),
      close_(loop_,
             [this] {
               server_->StopListening();
               server_->CloseBetweenRequests();
               EndIfDone();
             }),
      end_(loop_, [this] { loop_.Break(); }),
      store_(config_.state_folder, config_.disk_bytes, ledger_),
      pool_(
          loop_,
          {config_.site.connect_timeout, config_.site.module.connection_idle, config_.site.module.slots + 2},
          [this](const CallResult& result) { chain_.relay.Back(result); }),
      notices_(
          loop_, config_.discovery, [this](std::uint64_t number) { chain_.book.Heard(number); },
          [this](const std::string& line) { Log(line); }),
      chain_(config_.site, config_.seed, ledger_, store_, pool_, notices_, *this, clock_) {
  Log("store: " + store_.note());
  peers_ = std::make_unique<Peers>(loop_, config_, [this](const PeerNote& n) { chain_.route.Add(n); });
  chain_.route.Listed(config_.known);
  chain_.Resume();
  front_ = std::make_unique<PlatformFront>(config_.site, chain_.intake);
  watch_ = std::make_unique<Watch>(
      loop_, config_.discovery, config_.site, config_.known.revision,
      [this](const ListNews& news) { chain_.route.Listed(news); },
      [this](const std::string& line) { Log(line); });
  server_ = std::make_unique<Server>(
      loop_, config_.listen, Intake::kMostBody,
      [this](const std::shared_ptr<Exchange>& exchange) { front_->Handle(exchange); });
  term_ = std::make_unique<Signal>(loop_, SIGTERM, [this] { Stop(); });
  interrupt_ = std::make_unique<Signal>(loop_, SIGINT, [this] { Stop(); });
  Log("ready: " + config_.name + " on " + config_.listen.host + ":" + std::to_string(server_->port()));
}

Dispatcher::~Dispatcher() = default;

void Dispatcher::Log(const std::string& line) {
  std::fprintf(stdout, "%s\n", line.c_str());
  std::fflush(stdout);
}

void Dispatcher::Step() {
  chain_.Step();
  if (stopping_) EndIfDone();
}

void Dispatcher::Stop() {
  if (stopping_) return;
  stopping_ = true;
  Log("stopping: " + std::to_string(ledger_.held()) + " messages held");
  chain_.admit.Stop();
  chain_.route.Add(Stopping{kLongestStop - milliseconds(100)});
  server_->CloseBetweenRequests();
  close_.After(kListenOn);
  end_.After(kLongestStop);
}

void Dispatcher::EndIfDone() {
  if (!close_.pending() && ledger_.held() == 0 && notices_.idle()) end_.After(milliseconds(20));
}

}  // namespace sagetally
