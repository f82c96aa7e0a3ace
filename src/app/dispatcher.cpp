#include "app/dispatcher.h"

#include <stdexcept>
#include <utility>

#include "app/node_capabilities.h"
#include "base/process_memory.h"
#include "frontend/cloudevents/cloudevents_frontend.h"

namespace sagetally {
namespace {

// How many connections to one endpoint may be open beyond the number of concurrent calls that the policy
// allows.
constexpr int kSpareConnectionsPerEndpoint = 2;
// The number of descriptors that dead letters need: two connections to the store, which also open its log and
// index, the control socket and its clients.
constexpr std::size_t kDeadLetterDescriptors = 20;
// The policy starts no attempt that it expects to end less than this long before the event loop is broken.
// Messages that are still pending then are left to the next process.
constexpr Duration kShutdownMargin = std::chrono::milliseconds(100);

EndpointPool::Limits MakePoolLimits(const Config& config, const NodeFile& node_file) {
  const DescriptorLimits limits = DivideDescriptors(config, node_file.cloudevents.has_value());
  return {config.site.connect_timeout, config.site.policy.connection_idle_timeout,
          config.site.policy.max_concurrent_calls + kSpareConnectionsPerEndpoint,
          limits.endpoint_connections - (node_file.dead_letters ? kDeadLetterDescriptors : 0)};
}

std::string AddressText(const Address& address) { return address.host + ":" + std::to_string(address.port); }

}  // namespace

Dispatcher::Dispatcher(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file)
    : loop_(loop),
      log_(log),
      request_log_(log),
      config_(config),
      node_file_(node_file),
      admin_listener_(config_.admin ? AdminServer::Listen(*config_.admin) : FileDescriptor()),
      predecessor_(CanHandOver(node_file_) ? Predecessor::Find(config_) : nullptr),
      clock_(predecessor_ ? SystemClock(predecessor_->received().state.now) : SystemClock()),
      policy_run_timer_(loop_, [this] { RunPolicy(); }),
      policy_timer_(loop_, [this] { pipeline_.router.QueueEvent(TimerFired{}); }),
      metrics_(config_.site.classes),
      memory_(loop_, log_, config_.memory_limit_bytes),
      messages_(memory_.limits().message_bytes, memory_.limits().remembered_ids),
      journal_(loop_, log_, config_, node_file_.journal, messages_, clock_, MakeJournalCallbacks(),
               TakeJournalLock()),
      endpoint_pool_(loop_, MakePoolLimits(config_, node_file_),
                     [this](const CallResult& result) { OnCallResult(result); }),
      platform_notifications_(
          loop_, config_.discovery, NotificationClient::PlatformEncoding(),
          [this](std::uint64_t number) { OnNotificationAcknowledged(number); }, log_),
      result_events_(MakeResultEventClient()),
      dead_letters_(node_file_.dead_letters
                        ? std::make_unique<DeadLetterService>(loop_, log_, config_, *node_file_.dead_letters,
                                                              messages_, clock_)
                        : nullptr),
      pipeline_(config_.site, config_.seed, messages_, journal_.journal(), *this, *this, *this, clock_,
                dead_letters_ ? dead_letters_->sink() : nullptr, &metrics_),
      client_servers_(loop_, log_, config_, node_file_, pipeline_.request_validator, readiness_,
                      memory_.clients()),
      admin_(loop_, log_, readiness_, client_servers_, metrics_, clock_, [this] { return Gauges(); }),
      shutdown_(loop_, client_servers_, [this] { return HasPendingWork(); }) {
  endpoint_pool_.on_call_written = [this] { metrics_.RecordCallWritten(); };
  endpoint_pool_.on_provisional_result = [this](const CallResult& result) { OnProvisionalResult(result); };
  request_log_.Observe(endpoint_pool_, messages_, [this] { metrics_.RecordUnexpectedResponse(); });
  platform_notifications_.on_rejected = [this] { metrics_.RecordRejectedNotifications(); };
  if (result_events_) result_events_->on_rejected = platform_notifications_.on_rejected;
  client_servers_.SetOnEvicted([this](const std::string& reason) { metrics_.RecordEviction(reason); });
  memory_.ReturnMemoryOf(messages_.memory());
  readiness_.can_record = [this] { return journal_.journal().is_writable(); };
  pipeline_.admission_controller.on_events_forgotten = [this](std::size_t count, ScarceResource resource) {
    log_.Info("events.forgotten",
              {{"count", count}, {"for", resource == ScarceResource::kDisk ? "disk" : "memory"}});
  };
  pipeline_.admission_controller.is_accepting = [this] { return readiness_.IsAccepting(clock_.Now()); };
}

Dispatcher::~Dispatcher() = default;

JournalService::Callbacks Dispatcher::MakeJournalCallbacks() {
  JournalService::Callbacks callbacks;
  callbacks.on_progress = [this] {
    pipeline_.OnJournalProgress();
    RunPolicy();
  };
  callbacks.on_fenced = [this] { Fail("another process has taken over the journal"); };
  callbacks.before_first_write = [this] {
    if (predecessor_) predecessor_->ConfirmReady();
  };
  return callbacks;
}

std::unique_ptr<NotificationClient> Dispatcher::MakeResultEventClient() {
  if (!node_file_.cloudevents || !node_file_.cloudevents->sink) return nullptr;
  return std::make_unique<NotificationClient>(
      loop_, *node_file_.cloudevents->sink,
      NotificationClient::BatchEncoding(
          node_file_.cloudevents->sink_path,
          [this](const Message& message) { return MakeResultEvent(message, config_.name); }),
      [this](std::uint64_t number) { OnNotificationAcknowledged(number); }, log_);
}

void Dispatcher::Start() {
  if (predecessor_) predecessor_->NotifyBegun();
  gossip_ = std::make_unique<GossipTransport>(
      loop_, config_, [this](const GossipReceived& message) { pipeline_.router.QueueEvent(message); },
      predecessor_ ? std::move(received()->gossip_socket) : FileDescriptor());
  if (predecessor_) {
    TakeOver();
  } else {
    for (const std::string& error : config_.cached_endpoint_list.entry_errors) {
      log_.Warn("discovery.entry_skipped", {{"reason", error}});
    }
    pipeline_.router.OnEndpointListUpdate(config_.cached_endpoint_list);
  }
  if (dead_letters_) dead_letters_->Start(pipeline_, journal_.journal().is_new());
  pipeline_.ResumeAfterRestart();

  const auto on_list_update = [this](const EndpointListUpdate& update) {
    pipeline_.router.OnEndpointListUpdate(update);
  };
  if (!node_file_.eureka) {
    const std::int64_t known_revision =
        predecessor_ ? received()->state.endpoint_list_revision : config_.cached_endpoint_list.revision;
    endpoint_list_source_ = WatchDiscovery(loop_, log_, config_, known_revision, on_list_update);
  }
  client_servers_.Start(received());
  // Comes after the servers have started, because a planner registers the port at which it listens.
  if (node_file_.eureka) {
    const Instance own_instance =
        node_file_.role == Role::kPlanner
            ? MakePlannerInstance(config_.name, *node_file_.eureka, cloudevents_port())
            : Instance();
    endpoint_list_source_ =
        PollRegistry(loop_, log_, config_.site, *node_file_.eureka, own_instance, on_list_update);
  }
  if (predecessor_) client_servers_.AdoptClients(*received());
  if (config_.admin) {
    admin_.Start(config_.admin->host, std::move(admin_listener_),
                 DivideDescriptors(config_, false).admin_connections);
  }
  if (CanHandOver(node_file_)) OfferHandover();
  readiness_.OnStarted();
  log_.Info("ready", {{"name", config_.name}, {"port", port()}});
}

void Dispatcher::Shutdown() {
  if (shutdown_.is_requested()) return;
  log_.Info("shutdown.started", {{"pending", PendingMessages()}});
  if (handed_over()) return shutdown_.Begin();
  readiness_.Stop(clock_.Now());
  admin_.CancelDrain();
  successor_.reset();  // a process that starts from now on waits until this one has exited
  client_servers_.ResumeReading();
  if (dead_letters_) dead_letters_->Stop();
  pipeline_.router.QueueEvent(ShutdownStarted{ShutdownSequence::kMaxDuration - kShutdownMargin});
  shutdown_.Begin();
  endpoint_list_source_->Deregister();
}

void Dispatcher::Reload(const Config& config) {
  if (shutdown_.is_requested() || handed_over()) return;
  // Every step that may fail comes before the first change.
  if (config.peer_listen != config_.peer_listen) {
    throw std::runtime_error("peer_listen can't change while the process runs");
  }
  std::optional<DeadLetterService::LoadedRules> rules;
  if (dead_letters_) rules = dead_letters_->LoadRules();

  if (rules) dead_letters_->UseRules(std::move(*rules));
  config_.peers = config.peers;
  config_.broadcast_peer = config.broadcast_peer;
  const bool has_discovery_changed =
      config.discovery.host != config_.discovery.host || config.discovery.port != config_.discovery.port;
  config_.discovery = config.discovery;
  if (has_discovery_changed) {
    endpoint_list_source_->ChangeDiscoveryAddress(config_.discovery);
    platform_notifications_.ChangeAddress(config_.discovery);
  }
  log_.Info("reload.done", {{"discovery", AddressText(config_.discovery)}});
}

void Dispatcher::RunPolicy() {
  if (handed_over()) return;
  pipeline_.RunPolicy();
  if (shutdown_.is_requested()) shutdown_.ExitIfDone();
}

void Dispatcher::StartCall(const CallRequest& request) {
  if (const Message* message = messages_.Find(request.message_number)) {
    request_log_.OnAttemptStarted(*message, request);
  }
  endpoint_pool_.StartCall(request);
}

void Dispatcher::OnCallResult(const CallResult& result) {
  if (const Message* message = messages_.Find(result.message_number)) {
    if (message->is_delivery_unconfirmed && result.outcome != Outcome::kOk) metrics_.RecordRevokedDelivery();
    request_log_.OnAttemptCompleted(*message, result);
  }
  if (!handed_over()) return pipeline_.outcome_handler.OnCallResult(result);
  successor_->ReportCallResult(result);
  shutdown_.ExitIfDone();
}

void Dispatcher::OnProvisionalResult(const CallResult& result) {
  if (result.outcome != Outcome::kOk) metrics_.RecordVerifiedResponse();
  if (const Message* message = messages_.Find(result.message_number)) {
    request_log_.OnProvisionalResult(*message, result);
  }
  if (!handed_over()) pipeline_.outcome_handler.OnProvisionalResult(result);
}

void Dispatcher::OnNotificationAcknowledged(std::uint64_t number) {
  pipeline_.completion_handler.OnNotificationAcknowledged(number);
}

void Dispatcher::Fail(const std::string& reason) {
  failure_ = reason;
  loop_.Break();
}

std::size_t Dispatcher::PendingMessages() const {
  return handed_over() ? 0 : static_cast<std::size_t>(messages_.pending_count());
}

GaugeValues Dispatcher::Gauges() const {
  GaugeValues gauges{PendingMessages(), pipeline_.router.known_endpoint_count(),
                     pipeline_.router.avoided_endpoint_count(), ResidentBytes()};
  const MemoryAccount& clients = memory_.clients().account();
  gauges.memory.push_back({"clients", clients.used(), clients.limit()});
  gauges.memory.push_back({"messages", messages_.memory().used(), messages_.memory().limit()});
  return gauges;
}

bool Dispatcher::HasPendingWork() const {
  if (handed_over()) {
    const bool has_calls = !endpoint_pool_.is_idle() || (predecessor_ && predecessor_->has_calls_in_flight());
    return has_calls || client_servers_.connections() > 0;
  }
  const bool is_notifying =
      !platform_notifications_.is_idle() || (result_events_ && !result_events_->is_idle());
  return is_notifying || messages_.pending_count() != 0;
}

void Dispatcher::WriteLogLine(const std::string& line) {
  // The policy writes lines of the form "event: detail".
  const std::size_t colon = line.find(": ");
  if (colon == std::string::npos) return log_.Info("policy.note", {{"detail", line}});
  log_.Info("policy." + line.substr(0, colon), {{"detail", line.substr(colon + 2)}});
}

void Dispatcher::Notify(const Message& message) {
  request_log_.OnUndelivered(message);
  if (message.request.protocol == IngressProtocol::kPlatform) return platform_notifications_.Notify(message);
  if (result_events_) return result_events_->Notify(message);
  pipeline_.completion_handler.OnNoRecipient(message.number);
}

}  // namespace sagetally
