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
bool HandsOver(const DeployFile& deploy) { return !deploy.kept && !deploy.eureka; }

// Two connections to the store with its log and index, the control socket and its clients.
constexpr std::size_t kKeptDescriptors = 20;

}  // namespace

Dispatcher::Dispatcher(Loop& loop, Logger& log, const Config& config, const DeployFile& deploy)
    : loop_(loop),
      log_(log),
      config_(config),
      door_socket_(config_.admin ? Door::Listen(*config_.admin) : Fd()),
      predecessor_(HandsOver(deploy) ? Predecessor::Find(config_) : nullptr),
      clock_(predecessor_ ? SystemClock(predecessor_->state.now) : SystemClock()),
      step_(loop_, [this] { Step(); }),
      wake_(loop_, [this] { chain_.route.Add(WakeDue{}); }),
      close_(loop_,
             [this] {
               for (Server* server : Servers()) {
                 server->StopListening();
                 server->CloseBetweenRequests();
               }
               close_mute_.After(kFirstWords);
               EndIfDone();
             }),
      close_mute_(loop_,
                  [this] {
                    for (Server* server : Servers()) server->CloseBetweenRequests(true);
                    EndIfDone();
                  }),
      end_(loop_, [this] { loop_.Break(); }),
      close_idle_(loop_,
                  [this] {
                    for (Server* server : Servers()) server->CloseBetweenRequests();
                  }),
      figures_(config_.site.classes),
      journal_(loop_, log_, config_, deploy.journal, ledger_, clock_,
               {[this] {
                  chain_.Progress();
                  Step();
                },
                [this] {  // another process answers for all that is held here
                  failure_ = "another process has taken over the journal";
                  loop_.Break();
                },
                [this] {
                  if (predecessor_) predecessor_->Ready();
                }},
               predecessor_ ? std::move(predecessor_->lock) : Fd()),
      pool_(loop_,
            {config_.site.connect_timeout, config_.site.module.connection_idle, config_.site.module.slots + 2,
             Share(config_, deploy.cloudevents.has_value()).calls - (deploy.kept ? kKeptDescriptors : 0)},
            [this](const CallResult& result) { Back(result); }),
      notices_(
          loop_, config_.discovery, Notices::Platform(),
          [this](std::uint64_t number) { chain_.book.Heard(number); }, log_),
      kept_(deploy.kept ? std::make_unique<KeptNode>(loop_, log_, config_, *deploy.kept, ledger_, clock_)
                        : nullptr),
      chain_(config_.site, config_.seed, ledger_, journal_.journal(), *this, *this, *this, clock_,
             kept_ ? kept_->keep() : nullptr, &figures_) {
  pool_.on_written = [this] { figures_.Written(); };
  readiness_.able = [this] { return journal_.journal().writable(); };
  chain_.admit.takes = [this] { return readiness_.Takes(clock_.Now()); };
  if (deploy.cloudevents && deploy.cloudevents->sink) {
    results_ = std::make_unique<Notices>(
        loop_, *deploy.cloudevents->sink,
        Notices::Batch(deploy.cloudevents->sink_path,
                       [this](const Message& message) { return ResultEvent(message, config_.name); }),
        [this](std::uint64_t number) { chain_.book.Heard(number); }, log_);
  }
  if (predecessor_) predecessor_->Begun();
  peers_ = std::make_unique<Peers>(
      loop_, config_, [this](const PeerNote& n) { chain_.route.Add(n); },
      predecessor_ ? std::move(predecessor_->peers) : Fd());
  if (predecessor_) {
    TakeOver();
  } else {
    chain_.route.Listed(config_.known);
  }
  if (kept_) kept_->Start(chain_, journal_.journal().fresh());
  chain_.Resume();
  front_ = std::make_unique<PlatformFront>(config_.site, chain_.intake, readiness_);
  if (!deploy.eureka) {
    watch_ = std::make_unique<Watch>(
        loop_, config_.discovery, config_.site,
        predecessor_ ? predecessor_->state.revision : config_.known.revision, config_.seed,
        [this](const ListNews& news) { chain_.route.Listed(news); }, log_);
  }
  const Shares shares = Share(config_, deploy.cloudevents.has_value(), deploy.role != Role::kPlanner);
  if (deploy.role != Role::kPlanner) {
    server_ = std::make_unique<Server>(
        loop_, config_.listen, Server::Limits{Intake::kMostBody, shares.plain},
        [this](const std::shared_ptr<Exchange>& exchange) { front_->Handle(exchange); },
        predecessor_ ? std::move(predecessor_->listener) : Fd());
  }
  if (deploy.cloudevents) {
    events_front_ = std::make_unique<CloudEventsFront>(config_.site, chain_.intake, readiness_);
    events_ = std::make_unique<Server>(
        loop_, deploy.cloudevents->listen,
        Server::Limits{shares.event_body, shares.events, CloudEventsFront::kMostHead},
        [this](const std::shared_ptr<Exchange>& exchange) { events_front_->Handle(exchange); },
        predecessor_ ? std::move(predecessor_->events_listener) : Fd());
    log_.Info("cloudevents.ready", {{"host", deploy.cloudevents->listen.host}, {"port", events_->port()}});
  }
  if (deploy.eureka) FollowRegistry(*deploy.eureka, deploy.role);
  if (predecessor_) {
    for (Server::Passed& client : std::exchange(predecessor_->clients, {})) {
      if (server_) server_->Adopt(std::move(client));
    }
    for (Server::Passed& client : std::exchange(predecessor_->event_clients, {})) {
      if (events_) events_->Adopt(std::move(client));
    }
  }
  if (config_.admin) OpenDoor();
  if (HandsOver(deploy)) OfferHandover();
  readiness_.Started();
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
        chain_.route.Listed(PartnerList(at == all.end() ? none : at->second, config_.site, problems));
        for (const std::string& problem : problems) log_.Warn("eureka.left_out", {{"why", problem}});
      },
      log_);
}

void Dispatcher::OpenDoor() {
  const auto word = [this] {
    std::size_t clients = 0;
    for (const Server* server : Servers()) clients += server->connections();
    return readiness_.Word(Held(), clients);
  };
  const auto answer = [word](bool done) { return (done ? "done " : "error ") + word() + "\n"; };
  OperatorAnswers answers;
  answers.status = [this, answer] { return answer(readiness_.Ready()); };
  answers.pause = [this, answer] { return answer(Pause()); };
  answers.resume = [this, answer] { return answer(Resume()); };
  answers.metrics = [this] {
    return figures_.Text({Held(), chain_.route.known_endpoints(), chain_.route.skipped_endpoints()}) +
           "end\n";
  };
  door_ =
      std::make_unique<Door>(loop_, std::move(door_socket_), Share(config_, false).door, std::move(answers));
  log_.Info("door.open", {{"host", config_.admin->host}, {"port", door_->port()}});
}

std::vector<Server*> Dispatcher::Servers() const {
  std::vector<Server*> servers;
  for (Server* server : {server_.get(), events_.get()}) {
    if (server != nullptr) servers.push_back(server);
  }
  return servers;
}

// What it answers for; another process does for what it has handed over.
std::size_t Dispatcher::Held() const { return handed_over() ? 0 : static_cast<std::size_t>(ledger_.held()); }

bool Dispatcher::Pause() {
  const bool closing = readiness_.Closing();
  if (!readiness_.Pause(clock_.Now())) return false;
  if (closing) return true;
  log_.Info("drain.begun", {{"held", ledger_.held()}});
  for (Server* server : Servers()) server->SetClosing(true);
  close_idle_.After(Readiness::kCloseIdle);
  return true;
}

bool Dispatcher::Resume() {
  const bool closing = readiness_.Closing();
  if (!readiness_.Resume()) return false;
  if (!closing) return true;
  close_idle_.Stop();
  for (Server* server : Servers()) server->SetClosing(false);
  log_.Info("drain.ended", {{"held", ledger_.held()}});
  return true;
}

void Dispatcher::Log(const std::string& line) {
  // The module writes "what: detail".
  const std::size_t colon = line.find(": ");
  if (colon == std::string::npos) return log_.Info("module.note", {{"detail", line}});
  log_.Info("module." + line.substr(0, colon), {{"detail", line.substr(colon + 2)}});
}

void Dispatcher::Tell(const Message& message) {
  if (message.request.form == Form::kPlain) return notices_.Tell(message);
  if (results_) return results_->Tell(message);
  chain_.book.NobodyToTell(message.number);
}

void Dispatcher::Cancel(std::uint64_t number) {
  if (!predecessor_ || !predecessor_->Cancel(number)) pool_.Cancel(number);
}

void Dispatcher::Recall(std::uint64_t number) {
  if (!predecessor_ || !predecessor_->Recall(number)) pool_.Recall(number);
}

void Dispatcher::Back(const CallResult& result) {
  if (!handed_over()) return chain_.relay.Back(result);
  successor_->Report(result);
  EndIfDone();
}

// What the process before knows, and its calls that are still out.
void Dispatcher::TakeOver() {
  const HandoverState& state = predecessor_->state;
  std::set<std::uint64_t> out;
  for (const CallOut& call : state.out) {
    Message* m = ledger_.Find(call.number);
    if (m == nullptr) continue;
    out.insert(call.number);
    m->out = true;
    m->out_at = call.endpoint;
    m->out_since = call.sent;
    m->may_have_run = call.may_have_run;
    m->may_have_run_at = call.may_have_run_at;
  }
  Rehearse(state, config_.site.classes, config_.site.kinds.size(), ledger_,
           [this](Time at, const std::vector<Event>& events) { chain_.route.Rehearse(at, events); });
  chain_.route.Rehearsed();
  for (const PastAttempt& attempt : state.recent) chain_.memory.Add(attempt);
  ListNews list;
  list.whole = true;
  list.revision = state.revision;
  list.endpoints = state.endpoints;
  chain_.route.Listed(list);
  predecessor_->Follow(loop_, std::move(out), [this](const CallResult& result) { Back(result); });
  log_.Info("handover.taken", {{"held", ledger_.held()},
                               {"calls_out", state.out.size()},
                               {"clients", predecessor_->clients.size()},
                               {"attempts", state.recent.size()}});
}

void Dispatcher::OfferHandover() {
  Successor::Heard heard;
  heard.settled = [this] {
    chain_.Step();
    bool settled = chain_.Settled();
    for (const Server* server : Servers()) settled = settled && server->Settled();
    // A call that nobody waits for any more ends here: the next process knows nothing of its message, and
    // would use its slot.
    for (const auto& [number, m] : ledger_.messages()) {
      if (!m.out || m.end == End::kNone) continue;
      Cancel(number);
      settled = false;
    }
    return settled;
  };
  heard.refusal = [this]() -> std::string {
    return journal_.journal().writable() && !journal_.journal().dirty() ? "" : "its journal can't be written";
  };
  heard.offer = [this] { return MakeOffer(); };
  heard.taken_back = [this] { return journal_.journal().TakeBack(); };
  heard.let_go = [this] { LetGo(); };
  heard.lost = [this] {
    failure_ = "the process that was taking over has died with the journal";
    loop_.Break();
  };
  heard.cancel = [this](std::uint64_t number) { pool_.Cancel(number); };
  heard.recall = [this](std::uint64_t number) { pool_.Recall(number); };
  successor_ = std::make_unique<Successor>(loop_, log_, config_, std::move(heard));
}

Offer Dispatcher::MakeOffer() {
  Offer offer;
  HandoverState& s = offer.state;
  s.now = clock_.Stamp();
  s.classes = config_.site.classes;
  s.revision = watch_ ? watch_->revision() : config_.known.revision;
  s.endpoints = chain_.route.List();
  s.recent = chain_.memory.Recent();
  for (const auto& [number, m] : ledger_.messages()) {
    if (m.out) s.out.push_back({number, m.out_at, m.out_since, m.may_have_run, m.may_have_run_at});
  }
  offer.lock = journal_.journal().lock_descriptor();
  offer.peers = peers_->descriptor();
  if (server_) {
    offer.listener = server_->listener();
    offer.clients = server_->ToPass();
  }
  if (events_) {
    offer.events_listener = events_->listener();
    offer.event_clients = events_->ToPass();
  }
  return offer;
}

// Another process has it all: only calls that are out here are still to be reported.
void Dispatcher::LetGo() {
  readiness_.HandOver();
  journal_.journal().Retire();
  for (Timer* timer : {&step_, &wake_, &close_idle_}) timer->Stop();
  for (Server* server : Servers()) server->LetGo();
  notices_.Leave();
  if (results_) results_->Leave();
  watch_.reset();
  peers_.reset();
  pool_.Leave();
  end_.After(kLongestLeave);
  EndIfDone();
}

void Dispatcher::Step() {
  if (handed_over()) return;
  chain_.Step();
  if (stopping_) EndIfDone();
}

void Dispatcher::Stop() {
  if (stopping_) return;
  stopping_ = true;
  log_.Info("stopping", {{"held", Held()}});
  if (handed_over()) {
    end_.After(kLongestStop);
    return EndIfDone();
  }
  readiness_.Stop(clock_.Now());
  close_idle_.Stop();
  successor_.reset();  // a process that starts now waits for this one's end
  if (kept_) kept_->Stop();
  chain_.route.Add(Stopping{kLongestStop - milliseconds(100)});
  for (Server* server : Servers()) {
    server->on_closed = [this] { EndIfDone(); };
    server->CloseBetweenRequests();
  }
  if (eureka_) eureka_->Cancel([] {});
  close_.After(kListenOn);
  end_.After(kLongestStop);
}

void Dispatcher::Reload(const Config& config) {
  if (stopping_ || handed_over()) return;
  if (config.peer_listen != config_.peer_listen) {
    throw std::runtime_error("peer_listen can't change while the process runs");
  }
  // All that may fail comes before anything is taken over.
  std::optional<KeptNode::NewRules> rules;
  if (kept_) rules = kept_->ReadNewRules();
  const bool moved =
      config.discovery.host != config_.discovery.host || config.discovery.port != config_.discovery.port;
  if (rules) kept_->Use(std::move(*rules));
  config_.peers = config.peers;
  config_.peers_all = config.peers_all;
  config_.discovery = config.discovery;
  if (moved && watch_) watch_->Move(config_.discovery);
  if (moved) notices_.Move(config_.discovery);
  log_.Info("reload.done",
            {{"discovery", config_.discovery.host + ":" + std::to_string(config_.discovery.port)}});
}

void Dispatcher::EndIfDone() {
  if (handed_over()) {
    const bool owes = !pool_.idle() || (predecessor_ && predecessor_->owes());
    if (!owes) end_.After(kLastWords);
    return;
  }
  const bool told = notices_.idle() && (!results_ || results_->idle());
  // A request that has come is answered, and an answer read, as far as the time goes.
  const bool clients = std::ranges::any_of(Servers(), [](const Server* s) { return s->connections() > 0; });
  const bool listening = close_.pending() || close_mute_.pending();
  if (!listening && !clients && ledger_.held() == 0 && told) end_.After(milliseconds(20));
}

}  // namespace sagetally
