// One dispatcher: the adapters round the core, and its life from start to stop.
#ifndef SAGETALLY_SRC_APP_DISPATCHER_H_
#define SAGETALLY_SRC_APP_DISPATCHER_H_

#include <memory>
#include <string>
#include <vector>

#include "admin/metrics.h"
#include "admin/readiness.h"
#include "app/dead_letter_service.h"
#include "app/handover_session.h"
#include "app/journal_service.h"
#include "config/config.h"
#include "config/node_file.h"
#include "frontend/cloudevents/cloudevents_frontend.h"
#include "frontend/platform/platform_frontend.h"
#include "logging/logger.h"
#include "net/admin_server.h"
#include "net/endpoint_list_watcher.h"
#include "net/endpoint_pool.h"
#include "net/event_loop.h"
#include "net/gossip_transport.h"
#include "net/http_server.h"
#include "net/notification_client.h"
#include "pipeline/message_pipeline.h"
#include "service_registry/eureka_client.h"
#include "time/clock.h"

namespace sagetally {

class Dispatcher : public Scheduler, private Notifier, private EndpointClient {
 public:
  Dispatcher(EventLoop& loop, Logger& log, const Config& config, const NodeFile& deploy);
  ~Dispatcher() override;

  void Shutdown();  // as SIGTERM asks for it; breaks the loop once done
  // As SIGHUP asks for it: takes over what may change under way, all of it or, by throwing, nothing.
  void Reload(const Config& config);
  // Why it ended by itself; empty if it was told to.
  const std::string& failure() const { return failure_; }
  std::uint16_t admin_port() const { return door_ ? door_->port() : 0; }
  std::size_t clients() const { return server_ ? server_->connections() : 0; }
  std::uint16_t port() const { return server_ ? server_->port() : 0; }
  DeadLetterService* dead_letters() { return kept_.get(); }
  std::uint16_t events_port() const { return events_ ? events_->port() : 0; }

  void SchedulePolicyRun() override { step_.Schedule(Duration(0)); }
  void ScheduleTimer(Duration d) override { wake_.Schedule(d); }
  void SendGossip(const std::string& body) override {
    if (peers_) peers_->Broadcast(body);
  }
  void WriteLogLine(const std::string& line) override;

 private:
  void Notify(const Message& message) override;
  // Calls that are out with the predecessor are cancelled there, all else goes to the pool.
  void StartCall(const CallRequest& order) override { pool_.StartCall(order); }
  void CancelCall(std::uint64_t number) override;
  void CancelCallIfUnsent(std::uint64_t number) override;
  void CloseIdleConnections(const std::string& endpoint) override { pool_.CloseIdleConnections(endpoint); }
  void UpdateEndpoint(const EndpointUpdate& news) override { pool_.UpdateEndpoint(news); }
  void RemoveEndpoint(const std::string& endpoint) override { pool_.RemoveEndpoint(endpoint); }
  void Back(const CallResult& result);
  void TakeOver();
  void OfferHandover();
  HandoverOffer MakeOffer();
  void LetGo();
  void Step();
  void EndIfDone();
  void OpenDoor();
  bool Pause();
  bool Resume();
  std::vector<HttpServer*> Servers() const;
  std::size_t Held() const;
  bool handed_over() const { return readiness_.phase() == Readiness::Phase::kHandedOver; }
  void FollowRegistry(const EurekaSettings& settings, Role role);

  EventLoop& loop_;
  Logger& log_;
  Config config_;
  FileDescriptor door_socket_;                // opened before anything is taken over
  std::unique_ptr<Predecessor> predecessor_;  // null: there was none to take over from
  SystemClock clock_;
  Timer step_, wake_, close_, close_mute_, end_, close_idle_;
  Readiness readiness_;
  Metrics figures_;
  MessageTable ledger_;
  JournalService journal_;
  EndpointPool pool_;
  NotificationClient notices_;
  std::unique_ptr<NotificationClient> results_;  // to the sink of events
  std::unique_ptr<DeadLetterService> kept_;      // null: undeliverable messages are not kept
  MessagePipeline chain_;
  std::unique_ptr<GossipTransport> peers_;
  std::unique_ptr<PlatformFrontend> front_;
  std::unique_ptr<EndpointListWatcher> watch_;  // either this
  std::unique_ptr<EurekaClient> eureka_;        // or this
  std::unique_ptr<CloudEventsFrontend> events_front_;
  std::unique_ptr<HttpServer> server_, events_;
  std::unique_ptr<AdminServer> door_;
  std::unique_ptr<Successor> successor_;  // null: another process can't take over
  bool stopping_ = false;
  std::string failure_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_APP_DISPATCHER_H_
