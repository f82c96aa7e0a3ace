// One dispatcher: connects the message pipeline to its adapters (event loop, journal, HTTP servers and
// clients, gossip, admin server) and runs it from its start to its shutdown, or from one handover to the
// next. Created by main() for the roles "both" and "planner". Used on the event loop's thread only.
#ifndef SAGETALLY_SRC_APP_DISPATCHER_H_
#define SAGETALLY_SRC_APP_DISPATCHER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "admin/metrics.h"
#include "admin/readiness.h"
#include "app/admin_service.h"
#include "app/client_servers.h"
#include "app/dead_letter_service.h"
#include "app/endpoint_list_source.h"
#include "app/handover_predecessor.h"
#include "app/handover_successor.h"
#include "app/journal_service.h"
#include "app/memory_control.h"
#include "app/request_log.h"
#include "app/shutdown_sequence.h"
#include "config/config.h"
#include "config/node_file.h"
#include "logging/logger.h"
#include "net/endpoint_pool.h"
#include "net/event_loop.h"
#include "net/gossip_transport.h"
#include "net/notification_client.h"
#include "pipeline/message_pipeline.h"
#include "time/clock.h"

namespace sagetally {

// Owns all parts of one dispatcher, and implements the interfaces by which the pipeline reaches the outside.
class Dispatcher : public Scheduler, private Notifier, private EndpointClient {
 public:
  // Receives the handover offer of the process that serves from the same state folder, if there is one, and
  // reads the journal. `loop` and `log` must outlive this object. Throws HandoverAborted if that process has
  // aborted the handover, and otherwise a std::runtime_error that says what can't be used.
  Dispatcher(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file);
  ~Dispatcher() override;

  // Takes over from the process that serves, if there is one, resumes the messages that the journal holds,
  // and starts to serve. Must be called once, right after the constructor. Throws std::runtime_error if it
  // can't listen.
  void Start();
  // Starts the graceful shutdown, on SIGTERM or SIGINT. Breaks the event loop once no work is pending, or
  // when the time limit of the shutdown expires.
  void Shutdown();
  // Applies a new configuration, on SIGHUP. Only the settings that may change while the process runs are
  // used. Throws std::runtime_error, and applies nothing, if peer_listen has changed or the redrive rules
  // can't be used. Does nothing during the shutdown and after a handover.
  void Reload(const Config& config);

  // Why this object broke the event loop without having been asked to shut down; empty if it did not.
  const std::string& failure() const { return failure_; }
  // The port of the admin server; 0 if there is none.
  std::uint16_t admin_port() const { return admin_.port(); }
  // The number of client connections to the platform's server.
  std::size_t client_connections() const { return client_servers_.platform_connections(); }
  // The ports of the platform's server and of the CloudEvents server; 0 if there is no such server.
  std::uint16_t port() const { return client_servers_.port(); }
  std::uint16_t cloudevents_port() const { return client_servers_.cloudevents_port(); }
  // Null if the operator's file does not enable dead letters.
  DeadLetterService* dead_letters() { return dead_letters_.get(); }

  // Implements Scheduler; called by the pipeline.
  void SchedulePolicyRun() override { policy_run_timer_.Schedule(Duration(0)); }
  void ScheduleTimer(Duration delay) override { policy_timer_.Schedule(delay); }
  void SendGossip(const std::string& body) override {
    if (gossip_) gossip_->Broadcast(body);
  }
  void WriteLogLine(const std::string& line) override;

 private:
  // Implements Notifier; called by the pipeline.
  void Notify(const Message& message) override;
  // Implements EndpointClient; called by the pipeline. Cancellations of calls that are in flight in the
  // predecessor are sent to it, everything else goes to the endpoint pool.
  void StartCall(const CallRequest& request) override;
  void CancelCall(std::uint64_t number) override;
  void CancelCallIfUnsent(std::uint64_t number) override;
  void CloseIdleConnections(const std::string& endpoint) override {
    endpoint_pool_.CloseIdleConnections(endpoint);
  }
  void UpdateEndpoint(const EndpointUpdate& update) override { endpoint_pool_.UpdateEndpoint(update); }
  void RemoveEndpoint(const std::string& endpoint) override { endpoint_pool_.RemoveEndpoint(endpoint); }

  // Construction.
  JournalService::Callbacks MakeJournalCallbacks();
  std::unique_ptr<NotificationClient> MakeResultEventClient();
  void OnNotificationAcknowledged(std::uint64_t number);

  // Operation.
  void RunPolicy();
  void OnCallResult(const CallResult& result);
  void OnProvisionalResult(const CallResult& result);
  // Breaks the event loop for `reason`, because another process is responsible for all messages now.
  void Fail(const std::string& reason);
  // The number of pending messages for which this process is responsible.
  std::size_t PendingMessages() const;
  GaugeValues Gauges() const;
  bool HasPendingWork() const;

  // Handover; defined in dispatcher_handover.cpp.
  ReceivedHandover* received() { return predecessor_ ? &predecessor_->received() : nullptr; }
  FileDescriptor TakeJournalLock();
  void TakeOver();
  void OfferHandover();
  HandoverObstacles FindHandoverObstacles();
  std::optional<std::string> HandoverRejectionReason();
  HandoverOffer MakeHandoverOffer();
  void OnHandedOver();
  bool handed_over() const { return readiness_.phase() == Readiness::Phase::kHandedOver; }

  EventLoop& loop_;
  Logger& log_;
  RequestLog request_log_;
  Config config_;
  const NodeFile node_file_;
  // Opened before the handover is accepted from the predecessor, because opening it may fail.
  FileDescriptor admin_listener_;
  std::unique_ptr<Predecessor> predecessor_;  // null if there was none
  SystemClock clock_;
  Timer policy_run_timer_;
  Timer policy_timer_;
  Readiness readiness_;
  Metrics metrics_;
  MemoryControl memory_;
  MessageTable messages_;
  JournalService journal_;
  EndpointPool endpoint_pool_;
  NotificationClient platform_notifications_;
  std::unique_ptr<NotificationClient> result_events_;  // null if no sink for result events is configured
  std::unique_ptr<DeadLetterService> dead_letters_;    // null if dead letters are not enabled
  MessagePipeline pipeline_;
  std::unique_ptr<GossipTransport> gossip_;
  std::unique_ptr<EndpointListSource> endpoint_list_source_;
  ClientServers client_servers_;
  AdminService admin_;
  ShutdownSequence shutdown_;
  std::unique_ptr<Successor> successor_;  // null while another process can't take over from this one
  std::string failure_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DISPATCHER_H_
