#include "net/endpoint_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

#include "net/endpoint_call_codec.h"
#include "net/socket_error.h"

namespace sagetally {
namespace {

// The longest time for which a response to an abandoned call is awaited; kClosePropagationTime is the
// shortest.
constexpr Duration kMaxLateResponseTime = std::chrono::milliseconds(100);
// Idle connections are closed this long before the endpoint's machine may close them.
constexpr Duration kIdleCloseMargin = std::chrono::milliseconds(1000);
constexpr unsigned kServiceUnavailable = 503;

// How many times opening a connection may fail because this machine lacks a descriptor, a port, memory or a
// route before the call fails. The delay before the next attempt doubles each time.
constexpr int kMaxConnectAttempts = 6;

ResponseKind KindOf(Outcome outcome) {
  if (outcome == Outcome::kOk) return ResponseKind::kSuccess;
  return outcome == Outcome::kError ? ResponseKind::kFailure : ResponseKind::kRejection;
}

}  // namespace

EndpointConnection::EndpointConnection(EventLoop& loop, std::uint64_t number, Timeouts timeouts,
                                       PooledEndpoint& endpoint, Owner& owner)
    : owner_(owner),
      number_(number),
      endpoint_(endpoint),
      timeouts_(timeouts),
      opened_address_(endpoint.address_text),
      buffers_(bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE)),
      resumer_(loop, buffers_.get()),
      connect_timer_(loop, [this] { FinishWithoutResponse(Outcome::kConnectFailed); }),
      connect_retry_timer_(loop, [this] { Connect(); }),
      call_timer_(loop, [this] { AbandonCall(Outcome::kTimeout); }),
      late_response_timer_(loop, [this] { FinishWithoutResponse(*abandoned_as_); }),
      idle_timer_(loop, [this] { owner_.OnUnusable(*this); }),
      write_timer_(loop, [this] { OnWriteDeadline(); }),
      verification_timer_(loop, [this] { OnVerificationTimeout(); }),
      confirmation_timer_(loop, [this] { OnConfirmationDue(); }),
      reader_(loop, [this] { OnInvalidResponse(); }) {
  bufferevent_setcb(buffers_.get(), OnReadable, OnOutputDrained, OnEvent, this);
  bufferevent_setwatermark(buffers_.get(), EV_READ, 0, ResponseReader::kMaxUnparsedBytes);
  bufferevent_enable(buffers_.get(), EV_READ | EV_WRITE);
  opened_at_ = std::chrono::steady_clock::now();
  connect_timer_.Schedule(timeouts_.connect);
  Connect();
}

// Retries if this machine is short of a resource for a moment, which says nothing about the endpoint.
void EndpointConnection::Connect() {
  const sockaddr_in& address = endpoint_.address;
  if (bufferevent_socket_connect(buffers_.get(), reinterpret_cast<const sockaddr*>(&address),
                                 sizeof address) == 0) {
    return;
  }
  if (IsTransientConnectError(errno) && ++connect_attempts_ < kMaxConnectAttempts) {
    connect_retry_timer_.Schedule(kSocketRetryDelay * (1 << connect_attempts_));
  } else {
    connect_timer_.Schedule(Duration(0));
  }
}

bool EndpointConnection::IsUsable() const {
  return tracker_.state() != ResponseTracker::State::kDesynchronized &&
         opened_address_ == endpoint_.address_text && !endpoint_.is_removed && NothingReceived();
}

bool EndpointConnection::IsWritten() const {
  return is_connected_ && unsent_call_.empty() && evbuffer_get_length(output()) == 0;
}

// Returns whether no unread byte, no end of stream and no reset has arrived.
bool EndpointConnection::NothingReceived() const {
  char byte = 0;
  return evbuffer_get_length(input()) == 0 && ::recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         IsTransientSocketError(errno);
}

bool EndpointConnection::HasUnreadBytes() const {
  char byte = 0;
  return evbuffer_get_length(input()) > 0 || ::recv(socket(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

void EndpointConnection::ReportUnexpectedBytes() {
  if (!has_call_ && HasUnreadBytes()) ReportUnexpectedResponse();
}

void EndpointConnection::ReportUnexpectedResponse() {
  if (tracker_.state() == ResponseTracker::State::kDesynchronized) return;
  tracker_.OnUnexpectedResponse();
  UnexpectedResponse response;
  response.endpoint_address = opened_address_;
  response.connection_number = number_;
  response.message_number = message_number_;
  response.since_call = tracker_.SinceCall(std::chrono::steady_clock::now());
  response.is_during_call = has_call_;
  owner_.OnUnexpectedResponse(*this, response);
}

void EndpointConnection::StartCall(const CallRequest& call) {
  message_number_ = call.message_number;
  has_call_ = true;
  is_write_reported_ = false;
  responded_early_ = false;
  responded_late_ = false;
  reader_.ExpectResponse();
  idle_timer_.Stop();
  unsent_call_ = EncodeCall(call, opened_address_);
  call_timer_.Schedule(call.timeout);
  call_deadline_ = std::chrono::steady_clock::now() + call.timeout;
  write_deadline_ = std::chrono::steady_clock::time_point::max();
  if (call.write_timeout) {
    write_deadline_ = std::chrono::steady_clock::now() + *call.write_timeout;
    write_timer_.Schedule(*call.write_timeout);
  }
  if (is_connected_) WriteCall();
}

void EndpointConnection::BecomeIdle() {
  idle_since_ = std::chrono::steady_clock::now();
  idle_timer_.Schedule(std::max<Duration>(timeouts_.idle - kIdleCloseMargin, timeouts_.idle / 2));
}

bool EndpointConnection::HasSettled(Duration settling_time) const {
  const auto now = std::chrono::steady_clock::now();
  return now - idle_since_ >= settling_time && unconfirmed_.IsSettled(now);
}

void EndpointConnection::Drain() {
  is_draining_ = true;
  idle_timer_.Stop();
}

void EndpointConnection::AbandonCall(Outcome outcome) {
  if (abandoned_as_) return;
  if (candidate_) return FinishWithCandidate(false);
  if (!IsWritten()) return FinishWithoutResponse(Outcome::kConnectFailed);
  if (reader_.has_ok_status()) return FinishWithoutResponse(outcome);
  abandoned_as_ = outcome;
  call_timer_.Stop();
  ::shutdown(socket(), SHUT_WR);
  late_response_timer_.Schedule(std::clamp(round_trip_time_, kClosePropagationTime, kMaxLateResponseTime));
}

void EndpointConnection::FinishWithoutResponse(Outcome outcome) {
  CallResult result;
  // A status line with 200 means that the call was delivered, even if the rest of the response is missing.
  result.outcome = reader_.has_ok_status() ? Outcome::kOk : outcome;
  FinishCall(result, {.is_reusable = false, .needs_report_delay = !abandoned_as_});
}

void EndpointConnection::Close() {
  has_call_ = false;
  bufferevent_disable(buffers_.get(), EV_READ | EV_WRITE);  // libevent may be in one of its callbacks
  resumer_.Stop();
  buffers_.reset();
  reader_.Stop();
  for (Timer* timer : {&connect_timer_, &connect_retry_timer_, &call_timer_, &late_response_timer_,
                       &idle_timer_, &write_timer_, &verification_timer_, &confirmation_timer_}) {
    timer->Stop();
  }
}

void EndpointConnection::EndUnconfirmedCalls(bool is_doubtful) {
  const auto now = std::chrono::steady_clock::now();
  for (const CallResult& result : unconfirmed_.TakeAll(now, is_doubtful)) {
    owner_.OnUnconfirmedCallFinished(result);
  }
}

// Writes at once instead of in the loop's next iteration, by which time the decision to send the call and the
// check that this connection is usable may be out of date.
void EndpointConnection::WriteCall() {
  if (std::chrono::steady_clock::now() >= write_deadline_) return FinishWithoutResponse(Outcome::kNotSent);
  const std::string text = std::exchange(unsent_call_, {});
  const ssize_t sent = ::send(socket(), text.data(), text.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (sent < 0 && !IsTransientSocketError(errno)) {
    unsent_call_ = text;
    return FinishWithoutResponse(Outcome::kConnectFailed);
  }
  const auto sent_bytes = static_cast<std::size_t>(std::max<ssize_t>(sent, 0));
  if (sent_bytes < text.size()) {
    bufferevent_write(buffers_.get(), text.data() + sent_bytes, text.size() - sent_bytes);
  }
  ReportWritten();
}

void EndpointConnection::ReportWritten() {
  if (!has_call_ || is_write_reported_ || !IsWritten()) return;
  is_write_reported_ = true;
  tracker_.OnCallWritten(std::chrono::steady_clock::now());
  owner_.OnCallWritten();
}

void EndpointConnection::OnWriteDeadline() {
  if (!IsWritten()) FinishWithoutResponse(Outcome::kNotSent);
}

void EndpointConnection::FinishCall(CallResult result, CallCompletion completion) {
  ReportWritten();  // the response may be read before libevent reports that the call was written
  has_call_ = false;
  reader_.Stop();
  candidate_.reset();
  EndCallTimers();
  if (responded_late_ && result.outcome == Outcome::kOk) result.outcome = Outcome::kTimeout;
  if (responded_early_ && result.outcome != Outcome::kRejected) result.outcome = Outcome::kConnectFailed;
  // The endpoint may have given the call up as well and not count its response as a delivery, so the outcome
  // of a response to an abandoned call is ignored. Its retry-after time is passed on.
  if (abandoned_as_) result.outcome = *abandoned_as_;
  result.message_number = message_number_;
  result.connection_number = number_;
  owner_.OnCallFinished(*this, result, completion);
}

void EndpointConnection::EndCallTimers() {
  for (Timer* timer :
       {&connect_timer_, &call_timer_, &late_response_timer_, &write_timer_, &verification_timer_}) {
    timer->Stop();
  }
}

// A response means that the call has run, so the outcome is kError. The connection can't be used any more.
void EndpointConnection::OnInvalidResponse() {
  if (!has_call_) {
    return OnUnexpectedRead(reader_.has_ok_status() ? ResponseKind::kSuccess : ResponseKind::kFailure);
  }
  if (candidate_) ReportUnexpectedResponse();
  FinishWithoutResponse(Outcome::kError);
}

void EndpointConnection::Read() {
  if (!has_call_) return ReadUnexpected();
  if (!is_connected_) return;  // OnConnected() reads them
  if (!IsWritten()) {
    responded_early_ = true;
    resumer_.KeepPaused(EV_WRITE);
    bufferevent_disable(buffers_.get(), EV_WRITE);
  }
  // The loop may be held up, so that the response is read before the call's timer fires.
  responded_late_ |= !reader_.has_ok_status() && std::chrono::steady_clock::now() >= call_deadline_;
  switch (reader_.Read(input())) {
    case ResponseReader::State::kIncomplete:
      return;
    case ResponseReader::State::kComplete:
      return FinishWithResponse();
    case ResponseReader::State::kInvalid:
      return OnInvalidResponse();
  }
}

void EndpointConnection::FinishWithResponse() {
  const EndpointResponse& response = reader_.response();
  const CallResult result = DecodeCallResult(response);
  is_accepted_by_endpoint_ = is_accepted_by_endpoint_ || response.result_int() != kServiceUnavailable;
  const bool is_reusable =
      reader_.keep_alive() && is_accepted_by_endpoint_ && !responded_early_ && !abandoned_as_;
  if (candidate_) return FinishWithSecondResponse(result);
  ReportWritten();  // the response may be read before libevent reports that the call was written
  if (!abandoned_as_ && is_write_reported_) {
    const ResponseTracker::Response response = DescribeResponse();
    const bool is_doubtful = tracker_.WasUsedShortlyBefore();
    const bool is_repeat = tracker_.IsRepeat(response);
    unconfirmed_.OnResponse(response.kind);
    tracker_.OnResponse(response);
    if (tracker_.state() == ResponseTracker::State::kVerifying) {
      return StartVerification(result, response, is_reusable);
    }
    endpoint_.response_times.Add(response.kind, tracker_.SinceCall(response.received_at));
    const bool is_success = response.kind == ResponseKind::kSuccess && !responded_late_ && !responded_early_;
    if (is_success && is_doubtful) return FinishUnconfirmed(result, is_repeat, is_reusable);
  }
  FinishCall(result, {.is_reusable = is_reusable, .needs_report_delay = false});
}

ResponseTracker::Response EndpointConnection::DescribeResponse() const {
  ResponseTracker::Response response;
  response.fingerprint = Fingerprint(reader_.response());
  response.kind = KindOf(DecodeCallResult(reader_.response()).outcome);
  response.received_at = std::chrono::steady_clock::now();
  return response;
}

// The call stays in flight until its own response has come, or until that would have come.
void EndpointConnection::StartVerification(const CallResult& result,
                                           const ResponseTracker::Response& response, bool is_reusable) {
  candidate_ = Candidate{result, response.fingerprint, is_reusable, response.received_at};
  candidate_->result.message_number = message_number_;
  candidate_->result.connection_number = number_;
  verification_timer_.Schedule(tracker_.VerificationTime(endpoint_.response_times, response.received_at));
  owner_.OnVerificationStarted(candidate_->result);
  ExpectAnotherResponse();
}

// The call's own response may still come, which would show that this one was a repeat.
void EndpointConnection::FinishUnconfirmed(const CallResult& delivered, bool is_repeat, bool is_reusable) {
  CallResult result = delivered;
  result.message_number = message_number_;
  result.connection_number = number_;
  const auto now = std::chrono::steady_clock::now();
  const auto usual_until = tracker_.UsualResponseEnd(endpoint_.response_times, now);
  // A repeat may be followed by the call's own response until the call's deadline. While the connection waits
  // for it, it takes up a place at the endpoint, so it waits no longer than usual without a sign of repeats.
  const bool may_be_repeat = is_repeat || endpoint_.trust.IsDistrusted(now);
  unconfirmed_.Add(result, usual_until, may_be_repeat ? call_deadline_ : usual_until);
  has_call_ = false;
  EndCallTimers();
  reader_.Stop();
  reader_.ExpectResponse();
  ScheduleConfirmation();
  owner_.OnCallUnconfirmed(*this, result, is_reusable);
  if (buffers_ && evbuffer_get_length(input()) > 0) ReadUnexpected();
}

void EndpointConnection::ScheduleConfirmation() {
  if (unconfirmed_.empty()) return confirmation_timer_.Stop();
  const auto delay = unconfirmed_.next_confirmation() - std::chrono::steady_clock::now();
  confirmation_timer_.Schedule(std::max(Duration(0), std::chrono::ceil<Duration>(delay)));
}

void EndpointConnection::OnConfirmationDue() {
  if (!has_call_ && HasUnreadBytes()) ReadUnexpected();
  if (!buffers_) return;
  for (const CallResult& result : unconfirmed_.TakeConfirmed(std::chrono::steady_clock::now())) {
    owner_.OnUnconfirmedCallFinished(result);
  }
  ScheduleConfirmation();
  if (is_draining_ && unconfirmed_.empty()) owner_.OnUnusable(*this);
}

// Reads a response that no call asked for, because it may be the own response of an unconfirmed call.
void EndpointConnection::ReadUnexpected() {
  ReportUnexpectedResponse();
  if (unconfirmed_.empty()) return owner_.OnUnusable(*this);
  if (!is_draining_) owner_.OnDraining(*this);
  while (buffers_ && !unconfirmed_.empty() && evbuffer_get_length(input()) > 0) {
    switch (reader_.Read(input())) {
      case ResponseReader::State::kIncomplete:
        return;
      case ResponseReader::State::kComplete:
        OnUnexpectedRead(DescribeResponse().kind);
        break;
      case ResponseReader::State::kInvalid:
        return OnInvalidResponse();
    }
  }
}

void EndpointConnection::OnUnexpectedRead(ResponseKind kind) {
  reader_.Stop();
  reader_.ExpectResponse();
  RevokeUnconfirmed(kind);
  if (unconfirmed_.empty()) owner_.OnUnusable(*this);
}

void EndpointConnection::RevokeUnconfirmed(ResponseKind kind) {
  for (const CallResult& result : unconfirmed_.OnUnexpectedResponse(kind)) {
    owner_.OnUnconfirmedCallFinished(result);
  }
  ScheduleConfirmation();
}

void EndpointConnection::OnVerificationTimeout() {
  if (reader_.has_begun()) return;  // the response timeout applies
  if (tracker_.state() == ResponseTracker::State::kDesynchronized) return FinishWithCandidate(false);
  tracker_.OnVerified();
  FinishWithCandidate(candidate_->is_reusable);
}

void EndpointConnection::FinishWithCandidate(bool is_reusable) {
  CallResult result = candidate_->result;
  const auto age = std::chrono::steady_clock::now() - candidate_->received_at;
  result.retry_after = std::max(Duration(0), result.retry_after - std::chrono::duration_cast<Duration>(age));
  FinishCall(result, {.is_reusable = is_reusable, .needs_report_delay = !is_reusable});
}

// One of the two responses is a repeat. Equal ones may both be repeats, so a further response is awaited. If
// either one may be a repeat, the call may have run. Otherwise the second one is the call's own.
void EndpointConnection::FinishWithSecondResponse(const CallResult& second) {
  const ResponseTracker::Response response = DescribeResponse();
  ReportUnexpectedResponse();
  RevokeUnconfirmed(response.kind);
  if (response.fingerprint == candidate_->fingerprint) {
    ExpectAnotherResponse();
    return;
  }
  CallResult result = second;
  const bool is_ambiguous = second.outcome != candidate_->result.outcome &&
                            (second.outcome == Outcome::kOk || tracker_.IsRepeat(response));
  if (is_ambiguous) result.outcome = Outcome::kReset;
  FinishCall(result, {.is_reusable = false, .needs_report_delay = true});
}

// Reads on while the call keeps its candidate.
void EndpointConnection::ExpectAnotherResponse() {
  reader_.Stop();
  reader_.ExpectResponse();
  if (evbuffer_get_length(input()) > 0) Read();
}

void EndpointConnection::OnReadable(bufferevent*, void* self) {
  static_cast<EndpointConnection*>(self)->Read();
}

void EndpointConnection::OnOutputDrained(bufferevent*, void* self) {
  static_cast<EndpointConnection*>(self)->ReportWritten();
}

void EndpointConnection::OnEvent(bufferevent*, short events, void* self) {
  const int error_number = EVUTIL_SOCKET_ERROR();
  auto* connection = static_cast<EndpointConnection*>(self);
  if ((events & BEV_EVENT_CONNECTED) != 0) return connection->OnConnected();
  if (connection->resumer_.ResumeIfTransient(events, error_number)) return;
  connection->OnClosedByPeer(events);
}

void EndpointConnection::OnConnected() {
  is_connected_ = true;
  connect_timer_.Stop();
  round_trip_time_ = std::chrono::ceil<Duration>(std::chrono::steady_clock::now() - opened_at_);
  const int enabled = 1;
  ::setsockopt(socket(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (!has_call_) return;
  responded_early_ = !NothingReceived();
  if (!responded_early_) {
    WriteCall();
  } else if (evbuffer_get_length(input()) > 0) {
    Read();
  }
}

void EndpointConnection::OnClosedByPeer(short events) {
  if (!has_call_ && (events & BEV_EVENT_EOF) != 0 && !unconfirmed_.empty() && reader_.ReadEndOfStream()) {
    RevokeUnconfirmed(DescribeResponse().kind);
  }
  if (!has_call_) return owner_.OnUnusable(*this);
  if ((events & BEV_EVENT_EOF) != 0 && reader_.ReadEndOfStream()) return FinishWithResponse();
  const bool is_distrusted = endpoint_.trust.IsDistrusted(std::chrono::steady_clock::now());
  if (candidate_ && !reader_.has_begun() && !is_distrusted) return FinishWithCandidate(false);
  FinishWithoutResponse(IsWritten() ? Outcome::kReset : Outcome::kConnectFailed);
}

}  // namespace sagetally
