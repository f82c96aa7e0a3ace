#include "app/dispatcher.h"

#include <algorithm>
#include <stdexcept>

#include "handover/state_replay.h"
#include "service_registry/planner_selection.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

// After SIGTERM new connections come for 0.4 s at most, and SIGKILL after 3.7 s at the soonest.
constexpr Duration kListenOn = milliseconds(600);
// Who has connected by then asks at once, or has gone after a client's patience.
constexpr Duration kFirstWords = milliseconds(400);
constexpr Duration kLongestStop = milliseconds(3300);

// Once another process has taken over: until its calls that are out have come back, and then for the last
// answers to be read.
constexpr Duration kLongestLeave = std::chrono::seconds(30);
constexpr Duration kLastWords = milliseconds(300);

// A registration, and the store of kept messages, can't change hands while they are in use.
bool HandsOver(const NodeFile& deploy) { return !deploy.dead_letters && !deploy.eureka; }

// Two connections to the store with its log and index, the control socket and its clients.
constexpr std::size_t kKeptDescriptors = 20;

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, Logger& log, const Config& config, const NodeFile& deploy)
    : loop_(loop),
      log_(log),
      config_(config),
      door_socket_(config_.admin ? AdminServer::Listen(*config_.admin) : FileDescriptor()),
      predecessor_(HandsOver(deploy) ? Predecessor::Find(config_) : nullptr),
      clock_(predecessor_ ? SystemClock(predecessor_->state.now) : SystemClock()),
      step_(loop_, [this] { Step(); }),
      wake_(loop_, [this] { chain_.router.QueueEvent(TimerFired{}); }),
      close_(loop_,
             [this] {
               for (HttpServer* server : Servers()) {
                 server->StopListening();
                 server->CloseBetweenRequests();
               }
               close_mute_.Schedule(kFirstWords);
               EndIfDone();
             }),
      close_mute_(loop_,
                  [this] {
                    for (HttpServer* server : Servers()) server->CloseBetweenRequests(true);
                    EndIfDone();
                  }),
      end_(loop_, [this] { loop_.Break(); }),
      close_idle_(loop_,
                  [this] {
                    for (HttpServer* server : Servers()) server->CloseBetweenRequests();
                  }),
      figures_(config_.site.classes),
      journal_(loop_, log_, config_, deploy.journal, ledger_, clock_,
               {[this] {
                  chain_.OnJournalProgress();
                  Step();
                },
                [this] {  // another process answers for all that is held here
                  failure_ = "another process has taken over the journal";
                  loop_.Break();
                },
                [this] {
                  if (predecessor_) predecessor_->Ready();
                }},
               predecessor_ ? std::move(predecessor_->lock) : FileDescriptor()),
      pool_(loop_,
            {config_.site.connect_timeout, config_.site.policy.connection_idle_timeout,
             config_.site.policy.max_concurrent_calls + 2,
             ShareDescriptors(config_, deploy.cloudevents.has_value()).calls -
                 (deploy.dead_letters ? kKeptDescriptors : 0)},
            [this](const CallResult& result) { Back(result); }),
      notices_(
          loop_, config_.discovery, NotificationClient::PlatformEncoding(),
          [this](std::uint64_t number) { chain_.completion_handler.OnNotificationAcknowledged(number); },
          log_),
      kept_(deploy.dead_letters ? std::make_unique<DeadLetterService>(loop_, log_, config_,
                                                                      *deploy.dead_letters, ledger_, clock_)
                                : nullptr),
      chain_(config_.site, config_.seed, ledger_, journal_.journal(), *this, *this, *this, clock_,
             kept_ ? kept_->keep() : nullptr, &figures_) {
  pool_.on_written = [this] { figures_.RecordCallWritten(); };
  readiness_.can_record = [this] { return journal_.journal().is_writable(); };
  chain_.admission.is_accepting = [this] { return readiness_.IsAccepting(clock_.Now()); };
  if (deploy.cloudevents && deploy.cloudevents->sink) {
    results_ = std::make_unique<NotificationClient>(
        loop_, *deploy.cloudevents->sink,
        NotificationClient::BatchEncoding(
            deploy.cloudevents->sink_path,
            [this](const Message& message) { return MakeResultEvent(message, config_.name); }),
        [this](std::uint64_t number) { chain_.completion_handler.OnNotificationAcknowledged(number); }, log_);
  }
  if (predecessor_) predecessor_->Begun();
  peers_ = std::make_unique<GossipTransport>(
      loop_, config_, [this](const GossipReceived& n) { chain_.router.QueueEvent(n); },
      predecessor_ ? std::move(predecessor_->peers) : FileDescriptor());
  if (predecessor_) {
    TakeOver();
  } else {
    chain_.router.OnEndpointListUpdate(config_.cached_endpoint_list);
  }
  if (kept_) kept_->Start(chain_, journal_.journal().is_new());
  chain_.ResumeAfterRestart();
  front_ = std::make_unique<PlatformFrontend>(config_.site, chain_.validator, readiness_);
  if (!deploy.eureka) {
    watch_ = std::make_unique<EndpointListWatcher>(
        loop_, config_.discovery, config_.site,
        predecessor_ ? predecessor_->state.revision : config_.cached_endpoint_list.revision, config_.seed,
        [this](const EndpointListUpdate& news) { chain_.router.OnEndpointListUpdate(news); }, log_);
  }
  const DescriptorShares shares =
      ShareDescriptors(config_, deploy.cloudevents.has_value(), deploy.role != Role::kPlanner);
  if (deploy.role != Role::kPlanner) {
    server_ = std::make_unique<HttpServer>(
        loop_, config_.listen, HttpServer::HttpServerLimits{RequestValidator::kMaxBodyBytes, shares.plain},
        [this](const std::shared_ptr<Exchange>& exchange) { front_->Handle(exchange); },
        predecessor_ ? std::move(predecessor_->listener) : FileDescriptor());
  }
  if (deploy.cloudevents) {
    events_front_ = std::make_unique<CloudEventsFrontend>(config_.site, chain_.validator, readiness_);
    events_ = std::make_unique<HttpServer>(
        loop_, deploy.cloudevents->listen,
        HttpServer::HttpServerLimits{shares.event_body, shares.events, CloudEventsFrontend::kMaxHeadBytes},
        [this](const std::shared_ptr<Exchange>& exchange) { events_front_->Handle(exchange); },
        predecessor_ ? std::move(predecessor_->events_listener) : FileDescriptor());
    log_.Info("cloudevents.ready", {{"host", deploy.cloudevents->listen.host}, {"port", events_->port()}});
  }
  if (deploy.eureka) FollowRegistry(*deploy.eureka, deploy.role);
  if (predecessor_) {
    for (HttpServer::TransferredClient& client : std::exchange(predecessor_->clients, {})) {
      if (server_) server_->Adopt(std::move(client));
    }
    for (HttpServer::TransferredClient& client : std::exchange(predecessor_->event_clients, {})) {
      if (events_) events_->Adopt(std::move(client));
    }
  }
  if (config_.admin) OpenDoor();
  if (HandsOver(deploy)) OfferHandover();
  readiness_.OnStarted();
  log_.Info("ready", {{"name", config_.name}, {"port", port()}});
}

Dispatcher::~Dispatcher() = default;

// Partner endpoints come from the registry; a planner is found there itself.
void Dispatcher::FollowRegistry(const EurekaSettings& settings, Role role) {
  Instance own;
  if (role == Role::kPlanner) {
    own.app = settings.planners;
    own.host = settings.host;
    own.port = events_->port();
    own.id = config_.name + ":" + settings.host + ":" + std::to_string(own.port);
  }
  eureka_ = std::make_unique<EurekaClient>(
      loop_, settings, own,
      [this, app = settings.partners](const Applications& all) {
        std::vector<std::string> problems;
        const auto at = all.find(app);
        const std::map<std::string, Instance> none;
        chain_.router.OnEndpointListUpdate(
            MakePartnerList(at == all.end() ? none : at->second, config_.site, problems));
        for (const std::string& problem : problems) log_.Warn("eureka.left_out", {{"why", problem}});
      },
      log_);
}

void Dispatcher::OpenDoor() {
  const auto word = [this] {
    std::size_t clients = 0;
    for (const HttpServer* server : Servers()) clients += server->connections();
    return readiness_.StatusWord(Held(), clients);
  };
  const auto answer = [word](bool done) { return (done ? "done " : "error ") + word() + "\n"; };
  AdminHandlers answers;
  answers.status = [this, answer] { return answer(readiness_.IsReady()); };
  answers.pause = [this, answer] { return answer(Pause()); };
  answers.resume = [this, answer] { return answer(Resume()); };
  answers.metrics = [this] {
    return figures_.FormatStatsd(
               {Held(), chain_.router.known_endpoint_count(), chain_.router.avoided_endpoint_count()}) +
           "end\n";
  };
  door_ = std::make_unique<AdminServer>(loop_, std::move(door_socket_),
                                        ShareDescriptors(config_, false).admin, std::move(answers));
  log_.Info("door.open", {{"host", config_.admin->host}, {"port", door_->port()}});
}

std::vector<HttpServer*> Dispatcher::Servers() const {
  std::vector<HttpServer*> servers;
  for (HttpServer* server : {server_.get(), events_.get()}) {
    if (server != nullptr) servers.push_back(server);
  }
  return servers;
}

// What it answers for; another process does for what it has handed over.
std::size_t Dispatcher::Held() const {
  return handed_over() ? 0 : static_cast<std::size_t>(ledger_.pending_count());
}

bool Dispatcher::Pause() {
  const bool closing = readiness_.IsClosingConnections();
  if (!readiness_.Pause(clock_.Now())) return false;
  if (closing) return true;
  log_.Info("drain.begun", {{"held", ledger_.pending_count()}});
  for (HttpServer* server : Servers()) server->SetClosing(true);
  close_idle_.Schedule(Readiness::kIdleCloseDelay);
  return true;
}

bool Dispatcher::Resume() {
  const bool closing = readiness_.IsClosingConnections();
  if (!readiness_.Resume()) return false;
  if (!closing) return true;
  close_idle_.Stop();
  for (HttpServer* server : Servers()) server->SetClosing(false);
  log_.Info("drain.ended", {{"held", ledger_.pending_count()}});
  return true;
}

void Dispatcher::WriteLogLine(const std::string& line) {
  // The module writes "what: detail".
  const std::size_t colon = line.find(": ");
  if (colon == std::string::npos) return log_.Info("module.note", {{"detail", line}});
  log_.Info("module." + line.substr(0, colon), {{"detail", line.substr(colon + 2)}});
}

void Dispatcher::Notify(const Message& message) {
  if (message.request.protocol == IngressProtocol::kPlatform) return notices_.Notify(message);
  if (results_) return results_->Notify(message);
  chain_.completion_handler.OnNoRecipient(message.number);
}

void Dispatcher::CancelCall(std::uint64_t number) {
  if (!predecessor_ || !predecessor_->Cancel(number)) pool_.CancelCall(number);
}

void Dispatcher::CancelCallIfUnsent(std::uint64_t number) {
  if (!predecessor_ || !predecessor_->Recall(number)) pool_.CancelCallIfUnsent(number);
}

void Dispatcher::Back(const CallResult& result) {
  if (!handed_over()) return chain_.outcome_handler.OnCallResult(result);
  successor_->Report(result);
  EndIfDone();
}

// What the process before knows, and its calls that are still out.
void Dispatcher::TakeOver() {
  const HandoverState& state = predecessor_->state;
  std::set<std::uint64_t> out;
  for (const InFlightCall& call : state.in_flight_calls) {
    Message* m = ledger_.Find(call.number);
    if (m == nullptr) continue;
    out.insert(call.number);
    m->is_in_flight = true;
    m->in_flight_endpoint = call.endpoint;
    m->in_flight_since = call.sent_at;
    m->first_uncertain_attempt = call.first_uncertain_attempt;
    m->first_uncertain_endpoint = call.first_uncertain_endpoint;
  }
  ReplayHandoverState(
      state, config_.site.classes, config_.site.kinds.size(), ledger_,
      [this](Time at, const std::vector<Event>& events) { chain_.router.ReplayEvents(at, events); });
  chain_.router.FinishReplay();
  for (const CompletedAttempt& attempt : state.recent_attempts) chain_.attempt_history.Add(attempt);
  EndpointListUpdate list;
  list.is_full_snapshot = true;
  list.revision = state.revision;
  list.endpoints = state.endpoints;
  chain_.router.OnEndpointListUpdate(list);
  predecessor_->Follow(loop_, std::move(out), [this](const CallResult& result) { Back(result); });
  log_.Info("handover.taken", {{"held", ledger_.pending_count()},
                               {"calls_out", state.in_flight_calls.size()},
                               {"clients", predecessor_->clients.size()},
                               {"attempts", state.recent_attempts.size()}});
}

void Dispatcher::OfferHandover() {
  Successor::Callbacks heard;
  heard.settled = [this] {
    chain_.RunPolicy();
    bool settled = chain_.IsSettled();
    for (const HttpServer* server : Servers()) settled = settled && server->IsSettled();
    // A call that nobody waits for any more ends here: the next process knows nothing of its message, and
    // would use its slot.
    for (const auto& [number, m] : ledger_.messages()) {
      if (!m.is_in_flight || m.final_status == FinalStatus::kPending) continue;
      CancelCall(number);
      settled = false;
    }
    return settled;
  };
  heard.refusal = [this]() -> std::string {
    return journal_.journal().is_writable() && !journal_.journal().has_unwritten_records()
               ? ""
               : "its journal can't be written";
  };
  heard.offer = [this] { return MakeOffer(); };
  heard.taken_back = [this] { return journal_.journal().Reclaim(); };
  heard.let_go = [this] { LetGo(); };
  heard.lost = [this] {
    failure_ = "the process that was taking over has died with the journal";
    loop_.Break();
  };
  heard.cancel = [this](std::uint64_t number) { pool_.CancelCall(number); };
  heard.recall = [this](std::uint64_t number) { pool_.CancelCallIfUnsent(number); };
  successor_ = std::make_unique<Successor>(loop_, log_, config_, std::move(heard));
}

HandoverOffer Dispatcher::MakeOffer() {
  HandoverOffer offer;
  HandoverState& s = offer.state;
  s.now = clock_.CurrentTimestamp();
  s.classes = config_.site.classes;
  s.revision = watch_ ? watch_->revision() : config_.cached_endpoint_list.revision;
  s.endpoints = chain_.router.EndpointList();
  s.recent_attempts = chain_.attempt_history.Recent();
  for (const auto& [number, m] : ledger_.messages()) {
    if (m.is_in_flight)
      s.in_flight_calls.push_back({number, m.in_flight_endpoint, m.in_flight_since, m.first_uncertain_attempt,
                                   m.first_uncertain_endpoint});
  }
  offer.lock = journal_.journal().lock_descriptor();
  offer.peers = peers_->descriptor();
  if (server_) {
    offer.listener = server_->listener();
    offer.clients = server_->ClientsToTransfer();
  }
  if (events_) {
    offer.events_listener = events_->listener();
    offer.event_clients = events_->ClientsToTransfer();
  }
  return offer;
}

// Another process has it all: only calls that are out here are still to be reported.
void Dispatcher::LetGo() {
  readiness_.HandOver();
  journal_.journal().Retire();
  for (Timer* timer : {&step_, &wake_, &close_idle_}) timer->Stop();
  for (HttpServer* server : Servers()) server->ReleaseAll();
  notices_.Shutdown();
  if (results_) results_->Shutdown();
  watch_.reset();
  peers_.reset();
  pool_.Shutdown();
  end_.Schedule(kLongestLeave);
  EndIfDone();
}

void Dispatcher::Step() {
  if (handed_over()) return;
  chain_.RunPolicy();
  if (stopping_) EndIfDone();
}

void Dispatcher::Shutdown() {
  if (stopping_) return;
  stopping_ = true;
  log_.Info("stopping", {{"held", Held()}});
  if (handed_over()) {
    end_.Schedule(kLongestStop);
    return EndIfDone();
  }
  readiness_.Stop(clock_.Now());
  close_idle_.Stop();
  successor_.reset();  // a process that starts now waits for this one's end
  if (kept_) kept_->Stop();
  chain_.router.QueueEvent(ShutdownStarted{kLongestStop - milliseconds(100)});
  for (HttpServer* server : Servers()) {
    server->on_closed = [this] { EndIfDone(); };
    server->CloseBetweenRequests();
  }
  if (eureka_) eureka_->Cancel([] {});
  close_.Schedule(kListenOn);
  end_.Schedule(kLongestStop);
}

void Dispatcher::Reload(const Config& config) {
  if (stopping_ || handed_over()) return;
  if (config.peer_listen != config_.peer_listen) {
    throw std::runtime_error("peer_listen can't change while the process runs");
  }
  // All that may fail comes before anything is taken over.
  std::optional<DeadLetterService::NewRules> rules;
  if (kept_) rules = kept_->ReadNewRules();
  const bool moved =
      config.discovery.host != config_.discovery.host || config.discovery.port != config_.discovery.port;
  if (rules) kept_->Use(std::move(*rules));
  config_.peers = config.peers;
  config_.broadcast_peer = config.broadcast_peer;
  config_.discovery = config.discovery;
  if (moved && watch_) watch_->ChangeAddress(config_.discovery);
  if (moved) notices_.ChangeAddress(config_.discovery);
  log_.Info("reload.done",
            {{"discovery", config_.discovery.host + ":" + std::to_string(config_.discovery.port)}});
}

void Dispatcher::EndIfDone() {
  if (handed_over()) {
    const bool owes = !pool_.idle() || (predecessor_ && predecessor_->owes());
    if (!owes) end_.Schedule(kLastWords);
    return;
  }
  const bool told = notices_.idle() && (!results_ || results_->idle());
  // A request that has come is answered, and an answer read, as far as the time goes.
  const bool clients =
      std::ranges::any_of(Servers(), [](const HttpServer* s) { return s->connections() > 0; });
  const bool listening = close_.pending() || close_mute_.pending();
  if (!listening && !clients && ledger_.pending_count() == 0 && told) end_.Schedule(milliseconds(20));
}

}  // namespace sagetally
