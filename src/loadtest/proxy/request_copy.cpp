#include "loadtest/proxy/request_copy.h"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <netinet/in.h>

#include <chrono>
#include <utility>

namespace sagetally::loadtest {
namespace {

// The copy's connection ends this long after it was opened, or after the response.
constexpr Duration kMaxCopyDuration = std::chrono::milliseconds(1000);

}  // namespace

RequestCopy::RequestCopy(EventLoop& loop, ServerAddress server_address, std::string request,
                         std::function<void(RequestCopy&)> on_finished)
    : loop_(loop),
      server_address_(std::move(server_address)),
      request_(std::move(request)),
      on_finished_(std::move(on_finished)),
      send_timer_(loop, [this] { Send(); }),
      end_timer_(loop, [this] { Finish(); }) {}

void RequestCopy::SendAfter(Duration delay) { send_timer_.Schedule(delay); }

void RequestCopy::Send() {
  const std::optional<Address> server = server_address_();
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server ? server->port : 0);
  if (!server || ::inet_pton(AF_INET, server->host.c_str(), &address.sin_addr) != 1) return Finish();
  server_.reset(bufferevent_socket_new(loop_.base(), -1, BEV_OPT_CLOSE_ON_FREE));
  bufferevent_setcb(server_.get(), OnReadable, nullptr, OnEvent, this);
  if (bufferevent_socket_connect(server_.get(), reinterpret_cast<const sockaddr*>(&address),
                                 sizeof address) != 0) {
    return Finish();
  }
  bufferevent_enable(server_.get(), EV_READ | EV_WRITE);
  bufferevent_write(server_.get(), request_.data(), request_.size());
  end_timer_.Schedule(kMaxCopyDuration);
}

void RequestCopy::Finish() {
  if (std::exchange(is_finished_, true)) return;
  on_finished_(*this);
}

void RequestCopy::OnReadable(bufferevent*, void* self) {
  static_cast<RequestCopy*>(self)->end_timer_.Schedule(Duration(0));
}

void RequestCopy::OnEvent(bufferevent*, short events, void* self) {
  if ((events & BEV_EVENT_CONNECTED) != 0) return;
  static_cast<RequestCopy*>(self)->end_timer_.Schedule(Duration(0));
}

}  // namespace sagetally::loadtest
