#include "app/client_servers.h"

#include <algorithm>
#include <utility>

namespace sagetally {

ClientServers::ClientServers(EventLoop& loop, Logger& log, const Config& config, const NodeFile& node_file,
                             RequestValidator& validator, const Readiness& readiness, ClientMemory& memory)
    : loop_(loop),
      log_(log),
      config_(config),
      node_file_(node_file),
      request_log_(log),
      memory_(memory),
      platform_frontend_(config.site, validator, readiness),
      cloudevents_frontend_(config.site, validator, readiness) {}

void ClientServers::Start(ReceivedHandover* received) {
  const bool has_platform_server = node_file_.role != Role::kPlanner;
  const DescriptorLimits limits =
      DivideDescriptors(config_, node_file_.cloudevents.has_value(), has_platform_server);
  if (has_platform_server) {
    platform_server_ = std::make_unique<HttpServer>(
        loop_, config_.listen,
        HttpServer::Limits{RequestValidator::kMaxBodyBytes, limits.platform_connections},
        [this](const std::shared_ptr<Exchange>& exchange) {
          request_log_.OnRequest(*exchange);
          platform_frontend_.Handle(exchange);
        },
        received != nullptr ? std::move(received->platform_listener) : FileDescriptor(), &memory_);
    request_log_.Observe(*platform_server_);
  }
  if (node_file_.cloudevents) {
    cloudevents_server_ = std::make_unique<HttpServer>(
        loop_, node_file_.cloudevents->listen,
        HttpServer::Limits{limits.cloudevents_body_bytes, limits.cloudevents_connections,
                           CloudEventsFrontend::kMaxHeadBytes},
        [this](const std::shared_ptr<Exchange>& exchange) {
          request_log_.OnRequest(*exchange);
          cloudevents_frontend_.Handle(exchange);
        },
        received != nullptr ? std::move(received->cloudevents_listener) : FileDescriptor(), &memory_);
    cloudevents_server_->SetRequestIdentification(RequestIdentification::kByContent);
    request_log_.Observe(*cloudevents_server_);
    log_.Info("cloudevents.ready",
              {{"host", node_file_.cloudevents->listen.host}, {"port", cloudevents_server_->port()}});
  }
}

void ClientServers::AdoptClients(ReceivedHandover& received) {
  for (HttpServer::TransferredClient& client : std::exchange(received.platform_clients, {})) {
    if (platform_server_) platform_server_->Adopt(std::move(client));
  }
  for (HttpServer::TransferredClient& client : std::exchange(received.cloudevents_clients, {})) {
    if (cloudevents_server_) cloudevents_server_->Adopt(std::move(client));
  }
}

std::vector<HttpServer*> ClientServers::Servers() const {
  std::vector<HttpServer*> servers;
  for (HttpServer* server : {platform_server_.get(), cloudevents_server_.get()}) {
    if (server != nullptr) servers.push_back(server);
  }
  return servers;
}

std::size_t ClientServers::connections() const {
  std::size_t count = 0;
  for (const HttpServer* server : Servers()) count += server->connection_count();
  return count;
}

std::size_t ClientServers::CountOpenRequests() const {
  std::size_t count = 0;
  for (const HttpServer* server : Servers()) count += server->CountOpenRequests();
  return count;
}

std::size_t ClientServers::CountUnreadResponses() const {
  std::size_t count = 0;
  for (const HttpServer* server : Servers()) count += server->CountUnreadResponses();
  return count;
}

void ClientServers::PauseReading() {
  for (HttpServer* server : Servers()) server->PauseReading();
}

void ClientServers::ResumeReading() {
  for (HttpServer* server : Servers()) server->ResumeReading();
}

void ClientServers::SetClosing(bool closing) {
  for (HttpServer* server : Servers()) server->SetClosing(closing);
}

void ClientServers::CloseIdleConnections() {
  for (HttpServer* server : Servers()) server->CloseBetweenRequests();
}

void ClientServers::CloseUnusedConnections() {
  for (HttpServer* server : Servers()) server->CloseBetweenRequests(true);
}

void ClientServers::StopListening() {
  for (HttpServer* server : Servers()) {
    server->StopListening();
    server->CloseBetweenRequests();
  }
}

void ClientServers::SetOnClosed(const std::function<void()>& on_closed) {
  for (HttpServer* server : Servers()) server->on_closed = on_closed;
}

void ClientServers::AddToOffer(HandoverOffer& offer) const {
  if (platform_server_) {
    offer.platform_listener = platform_server_->listener_descriptor();
    offer.platform_clients = platform_server_->ClientsToTransfer();
  }
  if (cloudevents_server_) {
    offer.cloudevents_listener = cloudevents_server_->listener_descriptor();
    offer.cloudevents_clients = cloudevents_server_->ClientsToTransfer();
  }
}

void ClientServers::ReleaseTransferred() {
  for (HttpServer* server : Servers()) server->ReleaseTransferred();
}

}  // namespace sagetally
