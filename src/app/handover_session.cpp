#include "app/handover_session.h"

#include <sys/file.h>

#include <cerrno>
#include <stdexcept>
#include <thread>
#include <utility>

#include "base/byte_codec.h"
#include "journal/file_system/posix_file_system.h"

namespace sagetally {
namespace {

using std::chrono::milliseconds;

constexpr char kName[] = "handover";
// The old process answers nobody while it waits for the new one, its operators' door neither.
constexpr Duration kOffered = milliseconds(700);    // from the offer until the new one is ready
constexpr Duration kBegins = milliseconds(1500);    // from the word to begin until it has
constexpr Duration kSettles = milliseconds(500);    // until what waits for the disk is answered
constexpr Duration kLooksFor = milliseconds(4000);  // the new one, for an old one
constexpr Duration kAnswers = milliseconds(1500);   // the old one, to a hello
constexpr auto kLookAgain = milliseconds(50);
// A call given up by the process that held it must be seen to have ended before its slot is used again.
constexpr Duration kCloseSettles = milliseconds(10);

bool Held(const std::string& folder) {  // by another process
  PosixFileSystem files;
  int error = 0;
  const auto lock = files.Lock(folder + "/journal/lock", error);
  return error == EWOULDBLOCK;
}

}  // namespace

std::unique_ptr<Predecessor> Predecessor::Find(const Config& config) {
  const auto until = std::chrono::steady_clock::now() + kLooksFor;
  while (true) {
    auto found = std::make_unique<Predecessor>();
    found->channel_ = HandoverChannel::Connect(config.state_folder, kName);
    if (found->channel_.is_open()) {
      ByteWriter hello;
      hello.AppendNumber(kHandoverVersion).AppendString(config.name);
      if (found->channel_.Send('h', hello.bytes()) && found->Collect()) return found;
    } else if (!Held(config.state_folder)) {
      return nullptr;
    }
    if (std::chrono::steady_clock::now() >= until) return nullptr;  // the journal says who holds it
    std::this_thread::sleep_for(kLookAgain);
  }
}

bool Predecessor::Collect() {
  while (std::optional<Packet> packet = channel_.Receive(kAnswers)) {
    HttpServer::TransferredClient client;
    switch (packet->kind) {
      case 'n':
        throw std::runtime_error("the process that serves does not hand over: " + packet->bytes);
      case 's':
        if (std::optional<HandoverState> read = DecodeHandoverState(packet->bytes)) {
          state = std::move(*read);
          break;
        }
        throw std::runtime_error("the process that serves hands over in a form that can't be read");
      case 'k':
        lock = std::move(packet->fd);
        break;
      case 'l':
        listener = std::move(packet->fd);
        break;
      case 'e':
        events_listener = std::move(packet->fd);
        break;
      case 'u':
        peers = std::move(packet->fd);
        break;
      case 'c':
      case 'd': {
        ByteReader r(packet->bytes);
        client.has_sent_requests = r.ReadBool();
        client.age = r.ReadTime();
        client.bytes = r.ReadString();
        client.fd = std::move(packet->fd);
        (packet->kind == 'c' ? clients : event_clients).push_back(std::move(client));
        break;
      }
      case 'z':
        return lock.get() >= 0;
      default:
        break;  // of a later version
    }
  }
  return false;
}

void Predecessor::Ready() {
  channel_.Send('y');
  const std::optional<Packet> word = channel_.Receive(kOffered);
  if (!word || word->kind != 'g') throw HandoverAborted("the process that serves gave the handover up");
}

void Predecessor::Follow(EventLoop& loop, std::set<std::uint64_t> calls,
                         std::function<void(const CallResult&)> back) {
  calls_ = std::move(calls);
  back_ = std::move(back);
  settle_ = std::make_unique<Timer>(loop, [this] { Ended(); });
  channel_.OnReadable(
      loop,
      [this](const Packet& packet) {
        if (packet.kind != 'r') return;
        const std::optional<CallResult> result = DecodeCallResult(packet.bytes);
        if (result && calls_.erase(result->number) > 0) back_(*result);
      },
      [this] { settle_->Schedule(kCloseSettles); });
}

void Predecessor::Ended() {
  for (const std::uint64_t number : std::exchange(calls_, {})) {
    CallResult result;
    result.number = number;
    result.outcome = Outcome::kReset;
    back_(result);
  }
}

bool Predecessor::Say(char kind, std::uint64_t number) {
  if (!calls_.contains(number)) return false;
  ByteWriter w;
  w.AppendNumber(number);
  channel_.Send(kind, w.bytes());
  return true;
}

Successor::Successor(EventLoop& loop, Logger& log, const Config& config, Callbacks heard)
    : log_(log),
      name_(config.name),
      heard_(std::move(heard)),
      loop_(loop),
      again_(loop, [this] { Try(); }),
      mute_(loop, [this] { channel_.Close(); }),
      listener_(std::make_unique<HandoverListener>(
          loop, config.state_folder, kName, [this](HandoverChannel channel) { Came(std::move(channel)); })) {}

void Successor::Came(HandoverChannel channel) {
  if (channel_.is_open()) {  // one at a time; this one looks again
    channel.Close();
    return;
  }
  channel_ = std::move(channel);
  mute_.Schedule(kAnswers);
  channel_.OnReadable(
      loop_, [this](const Packet& packet) { Hello(packet); }, [] {});
}

void Successor::Hello(const Packet& packet) {
  ByteReader r(packet.bytes);
  const auto version = r.ReadNumber<std::uint32_t>();
  const std::string name = r.ReadString();
  std::string why = heard_.refusal();
  if (packet.kind != 'h' || version != kHandoverVersion || !r.ok()) why = "another version of the handover";
  if (why.empty() && name != name_) why = "this is " + name_ + ", not " + name;
  mute_.Stop();
  if (!why.empty()) {
    log_.Warn("handover.refused", {{"why", why}});
    channel_.Send('n', why);
    return channel_.Close();
  }
  asked_ = std::chrono::steady_clock::now();
  again_.Schedule(Duration(0));  // from the loop: this runs within the channel's own event
}

void Successor::Try() {
  if (!channel_.is_open()) return;
  if (!heard_.settled()) {
    if (std::chrono::steady_clock::now() - asked_ < kSettles) return again_.Schedule(milliseconds(2));
    log_.Warn("handover.refused", {{"why", "records wait for the disk"}});
    channel_.Send('n', "records wait for the disk");
    return channel_.Close();
  }
  Pass();
}

void Successor::Pass() {
  const auto begun = std::chrono::steady_clock::now();
  const HandoverOffer offer = heard_.offer();
  channel_.Send('s', EncodeHandoverState(offer.state));
  channel_.Send('k', {}, offer.lock);
  if (offer.listener >= 0) channel_.Send('l', {}, offer.listener);
  if (offer.events_listener >= 0) channel_.Send('e', {}, offer.events_listener);
  if (offer.peers >= 0) channel_.Send('u', {}, offer.peers);
  const auto pass = [this](char kind, const std::vector<HttpServer::ClientToTransfer>& clients) {
    for (const HttpServer::ClientToTransfer& client : clients) {
      ByteWriter w;
      w.AppendNumber(client.has_sent_requests).AppendTime(client.age).AppendString(client.bytes);
      channel_.Send(kind, w.bytes(), client.fd);
    }
  };
  pass('c', offer.clients);
  pass('d', offer.event_clients);
  channel_.Send('z');
  if (!Decide()) return;
  listener_.reset();
  log_.Info("handover.done",
            {{"clients", offer.clients.size() + offer.event_clients.size()},
             {"calls_out", offer.state.in_flight_calls.size()},
             {"paused_ms",
              std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - begun).count()}});
  channel_.OnReadable(
      loop_,
      [this](const Packet& packet) {
        ByteReader r(packet.bytes);
        if (packet.kind == 'x') heard_.cancel(r.ReadNumber<std::uint64_t>());
        if (packet.kind == 'w') heard_.recall(r.ReadNumber<std::uint64_t>());
      },
      [] {});
  heard_.let_go();
}

// Whether the new process has it all. Until the word to begin this one may go on as if nothing had happened.
bool Successor::Decide() {
  const std::optional<Packet> ready = channel_.Receive(kOffered);
  if (!ready || ready->kind != 'y' || !channel_.Send('g')) {
    log_.Warn("handover.given_up", {{"why", ready ? "the new process said something else" : "no answer"}});
    channel_.Close();
    return false;
  }
  if (channel_.Receive(kBegins) || channel_.is_open()) return true;  // or it is slow: it has the word
  if (heard_.taken_back()) {
    log_.Warn("handover.given_up", {{"why", "the new process died"}});
    return false;
  }
  listener_.reset();
  heard_.lost();
  return false;
}

}  // namespace sagetally
