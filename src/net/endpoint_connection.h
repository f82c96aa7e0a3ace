// One connection of the endpoint pool to an endpoint. It carries one call at a time and never sends a call
// twice. Owned by EndpointPool, used on the event loop's thread.
#ifndef SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_
#define SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_

#include <netinet/in.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/message.h"
#include "net/endpoint_trust.h"
#include "net/event_loop.h"
#include "net/response_reader.h"
#include "net/response_times.h"
#include "net/response_tracker.h"
#include "net/transfer_resumer.h"
#include "net/unconfirmed_deliveries.h"

namespace sagetally {

class EndpointConnection;

// The time allowed for the close of a connection to reach the endpoint. The result of a call that ended
// without a whole response is held back for this long. Otherwise the caller would reuse the call's capacity
// or retry the message too early, and the endpoint would count the next call as one over its limit, or as a
// duplicate. It is also the shortest time for which the response to an abandoned call is awaited.
constexpr Duration kClosePropagationTime = std::chrono::milliseconds(10);

// An endpoint with its connections. Owned by the pool. Its address in memory does not change while a
// connection to it is open.
struct PooledEndpoint {
  std::string address_text;  // such as "10.0.0.4:8443"
  sockaddr_in address{};
  std::vector<EndpointConnection*> idle_connections;  // the one that has been idle longest comes first
  int open_connection_count = 0;
  bool is_removed = false;  // the current endpoint list does not contain it
  EndpointTrust trust;
  ResponseTimes response_times;
};

// A response, or a part of one, that no call can have asked for.
struct UnexpectedResponse {
  std::string endpoint_address;
  std::uint64_t connection_number = 0;
  std::uint64_t message_number = 0;  // whose call the connection carries or carried last
  Duration since_call{0};            // from the last byte of that call
  bool is_during_call = false;       // a second response came to the call, rather than one after it
};

// One connection and the call that it carries.
class EndpointConnection {
 public:
  struct Timeouts {
    Duration connect{0};  // from the constructor until the connection is established
    Duration idle{0};     // after this time the endpoint's machine closes an idle connection
  };

  // Tells the owner what to do with the connection of a finished call, and when to report the result.
  struct CallCompletion {
    bool is_reusable = false;  // the connection may carry another call
    // The endpoint may not know yet that the call is over, so its result is to be reported only after
    // kClosePropagationTime.
    bool needs_report_delay = false;
  };

  // The interface by which a connection reports to the pool that owns it.
  class Owner {
   public:
    virtual ~Owner() = default;
    // Called when the last byte of a call was written to the socket, at most once for each call.
    virtual void OnCallWritten() = 0;
    // Called once for each call, with its result.
    virtual void OnCallFinished(EndpointConnection& connection, const CallResult& result,
                                CallCompletion completion) = 0;
    // Called when the response with this result may be a repeat of an earlier one, so that another one is
    // awaited. `result` is not final.
    virtual void OnVerificationStarted(const CallResult& result) = 0;
    // Called when a call has ended with a success that is confirmed or revoked later. The connection may
    // carry another call if `is_reusable`.
    virtual void OnCallUnconfirmed(EndpointConnection& connection, const CallResult& result,
                                   bool is_reusable) = 0;
    // Called with the final result of such a call: a success, or kReset if it may not have succeeded.
    virtual void OnUnconfirmedCallFinished(const CallResult& result) = 0;
    // Called when the connection must not carry another call, but stays open until its calls are confirmed.
    virtual void OnDraining(EndpointConnection& connection) = 0;
    // Called when a response has come that no call asked for. OnCallFinished() or OnUnusable() follows.
    virtual void OnUnexpectedResponse(EndpointConnection& connection, const UnexpectedResponse& response) = 0;
    // Called when the connection can't carry another call. The owner must Close() it now and delete it after
    // this callback has returned.
    virtual void OnUnusable(EndpointConnection& connection) = 0;
  };

  // Starts to connect to the endpoint. `loop` must outlive the connection. `endpoint` and `owner` must stay
  // valid until Close().
  // `number` tells the connections of the process apart in the log.
  EndpointConnection(EventLoop& loop, std::uint64_t number, Timeouts timeouts, PooledEndpoint& endpoint,
                     Owner& owner);
  EndpointConnection(const EndpointConnection&) = delete;
  EndpointConnection& operator=(const EndpointConnection&) = delete;

  PooledEndpoint& endpoint() { return endpoint_; }
  std::uint64_t number() const { return number_; }
  const std::string& opened_address() const { return opened_address_; }
  ResponseTracker::State state() const { return tracker_.state(); }
  // The number of calls that were written.
  std::uint64_t call_count() const { return tracker_.call_count(); }
  // The number of the message whose call the connection carries or, when idle, carried last.
  std::uint64_t message_number() const { return message_number_; }
  // When BecomeIdle() was called last.
  std::chrono::steady_clock::time_point idle_since() const { return idle_since_; }
  // Reports bytes that have arrived although no call is in flight, if there are any.
  void ReportUnexpectedBytes();
  // Returns whether the connection may carry another call: it was opened to the endpoint's current address,
  // the endpoint was not removed, and neither bytes nor a close nor a reset have arrived unexpectedly.
  bool IsUsable() const;
  // Returns whether a call on this connection has yet to be confirmed.
  bool has_unconfirmed_calls() const { return !unconfirmed_.empty(); }
  // Returns whether the connection has been idle for `settling_time`, and the own responses of its calls
  // would usually have come.
  bool HasSettled(Duration settling_time) const;
  // From now on the connection carries no calls and is closed once its calls are confirmed.
  void Drain();
  // Returns whether the last byte of the call was written to the socket.
  bool IsWritten() const;

  // Writes a call, at once or when the connection is established.
  void StartCall(const CallRequest& call);
  // Marks the connection as idle and starts its idle timer. No call may be in flight.
  void BecomeIdle();
  // Gives the call up with the result `outcome`, or kConnectFailed if it was not written completely, or kOk
  // if a status line with 200 was received. If the call was written, shuts down the sending side and reads
  // for a short time, because the endpoint may already have sent a response whose retry-after time must be
  // observed.
  void AbandonCall(Outcome outcome);
  // Ends the call at once with the result `outcome`, or with kOk if a status line with 200 was received.
  void FinishWithoutResponse(Outcome outcome);
  // Ends the calls that are unconfirmed, because the connection is about to be closed. With `is_doubtful`,
  // those whose own response would usually come later may have run; the others are delivered.
  void EndUnconfirmedCalls(bool is_doubtful);
  // Closes the socket and stops all timers. Safe to call within the connection's own callbacks, unlike the
  // destructor.
  void Close();

 private:
  static void OnReadable(bufferevent*, void* self);
  static void OnOutputDrained(bufferevent*, void* self);
  static void OnEvent(bufferevent*, short events, void* self);
  void Connect();
  void OnConnected();
  void OnClosedByPeer(short events);
  void OnWriteDeadline();
  void Read();
  void WriteCall();
  void ReportWritten();
  void FinishWithResponse();
  void StartVerification(const CallResult& result, const ResponseTracker::Response& response,
                         bool is_reusable);
  void FinishUnconfirmed(const CallResult& result, bool is_repeat, bool is_reusable);
  void OnConfirmationDue();
  void ScheduleConfirmation();
  void ReadUnexpected();
  void OnUnexpectedRead(ResponseKind kind);
  void RevokeUnconfirmed(ResponseKind kind);
  void EndCallTimers();
  void OnVerificationTimeout();
  void FinishWithCandidate(bool is_reusable);
  void FinishWithSecondResponse(const CallResult& second);
  void ExpectAnotherResponse();
  void ReportUnexpectedResponse();
  ResponseTracker::Response DescribeResponse() const;
  void OnInvalidResponse();
  void FinishCall(CallResult result, CallCompletion completion);
  bool NothingReceived() const;
  bool HasUnreadBytes() const;
  evbuffer* input() const { return bufferevent_get_input(buffers_.get()); }
  evbuffer* output() const { return bufferevent_get_output(buffers_.get()); }
  int socket() const { return bufferevent_getfd(buffers_.get()); }

  // A response that may be a repeat of an earlier one, while another one is awaited.
  struct Candidate {
    CallResult result;
    std::size_t fingerprint = 0;
    bool is_reusable = false;
    std::chrono::steady_clock::time_point received_at{};
  };

  Owner& owner_;
  const std::uint64_t number_;
  PooledEndpoint& endpoint_;
  const Timeouts timeouts_;
  const std::string opened_address_;  // the address to which the connection was opened
  BufferEventPtr buffers_;            // null once closed
  TransferResumer resumer_;
  Timer connect_timer_;
  Timer connect_retry_timer_;
  Timer call_timer_;
  Timer late_response_timer_;  // ends the wait for a response after the call was abandoned
  Timer idle_timer_;
  Timer write_timer_;         // fires at write_deadline_
  Timer verification_timer_;  // ends the wait for another response
  Timer confirmation_timer_;  // fires when the next call in unconfirmed_ is confirmed
  ResponseReader reader_;
  ResponseTracker tracker_;
  std::optional<Candidate> candidate_;
  UnconfirmedDeliveries unconfirmed_;
  bool is_draining_ = false;
  std::uint64_t message_number_ = 0;
  int connect_attempts_ = 0;
  bool has_call_ = false;
  bool is_connected_ = false;
  bool is_write_reported_ = false;
  // A response other than 503 was received. An endpoint may answer every request on a connection with 503, so
  // a connection on which only 503 came is not used again.
  bool is_accepted_by_endpoint_ = false;
  // The endpoint sent bytes before the call's last byte was written. The rest of the call is then never sent,
  // so the call has not run, and the response can only have rejected it.
  bool responded_early_ = false;
  // The status line came after the call's time. The endpoint may have given the call up by then and not count
  // its response as a delivery.
  bool responded_late_ = false;
  std::optional<Outcome> abandoned_as_;  // the outcome passed to AbandonCall()
  Duration round_trip_time_{0};          // estimated by the time in which the connection was established
  std::string unsent_call_;              // the encoded call, until the connection is established
  std::chrono::steady_clock::time_point opened_at_;
  std::chrono::steady_clock::time_point call_deadline_;   // when the call's timeout ends
  std::chrono::steady_clock::time_point write_deadline_;  // the call's last byte is not written after this
  std::chrono::steady_clock::time_point idle_since_;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_ENDPOINT_CONNECTION_H_
