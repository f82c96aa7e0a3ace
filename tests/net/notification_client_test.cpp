// Notifications are posted until they were acknowledged, whatever else comes on the connection, and one that
// is never acknowledged does not delay the others.
#include "net/notification_client.h"

#include <gtest/gtest.h>

#include <set>

#include "../app/raw_server.h"

namespace sagetally {
namespace {

constexpr const char* kAcknowledgement = "HTTP/1.1 204 No Content\r\n\r\n";
constexpr const char* kFailure = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";

// Acknowledges posts, and repeats every third acknowledgement after a delay. While a copy is under way, it
// answers the next post with an error.
class RepeatingReceiver : public RawServer {
 public:
  RepeatingReceiver(EventLoop& loop, Duration copy_delay) : RawServer(loop), copy_delay_(copy_delay) {}
  std::set<std::string> acknowledged;  // ids of the notices in acknowledged posts
  int copies = 0;

 private:
  void OnText(bufferevent* connection, const std::string& text) override {
    std::string& request = requests_[connection];
    request += text;
    if (!request.ends_with("}\n")) return;
    const std::string post = std::exchange(request, "");
    if (std::exchange(fails_next_, false)) {
      answers_.push_back(std::make_unique<Timer>(loop(), [=] { Write(connection, kFailure); }));
      return answers_.back()->Schedule(2 * copy_delay_);
    }
    for (std::size_t at = post.find("\"id\":\""); at != std::string::npos;
         at = post.find("\"id\":\"", at + 1)) {
      acknowledged.insert(post.substr(at + 6, post.find('"', at + 6) - at - 6));
    }
    Write(connection, kAcknowledgement);
    if (++posts_ % 3 != 0) return;
    fails_next_ = true;
    ++copies;
    answers_.push_back(std::make_unique<Timer>(loop(), [=] { Write(connection, kAcknowledgement); }));
    answers_.back()->Schedule(copy_delay_);
  }
  void OnClosed(bufferevent* connection) override { requests_.erase(connection); }

  const Duration copy_delay_;
  int posts_ = 0;
  bool fails_next_ = false;
  std::map<bufferevent*, std::string> requests_;
  std::vector<std::unique_ptr<Timer>> answers_;
};

constexpr Duration kNoticeDeadline = 300ms;  // of the rule on lost messages
constexpr const char* kBadRequest = "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n";

// Acknowledges posts, but never one that contains the notice of message `refused`, however often it comes.
class SelectiveReceiver : public RawServer {
 public:
  SelectiveReceiver(EventLoop& loop, std::string refusal) : RawServer(loop), refusal_(std::move(refusal)) {}
  std::string refused;                 // the id of the notice that is never acknowledged
  std::set<std::string> acknowledged;  // ids
  int refusals = 0;

 private:
  void OnText(bufferevent* connection, const std::string& text) override {
    std::string& request = requests_[connection];
    request += text;
    if (!request.ends_with("}\n")) return;
    const std::string post = std::exchange(request, "");
    if (post.find("\"" + refused + "\"") != std::string::npos) {
      ++refusals;
      return Write(connection, refusal_);
    }
    for (std::size_t at = post.find("\"id\":\""); at != std::string::npos;
         at = post.find("\"id\":\"", at + 1)) {
      acknowledged.insert(post.substr(at + 6, post.find('"', at + 6) - at - 6));
    }
    Write(connection, kAcknowledgement);
  }
  void OnClosed(bufferevent* connection) override { requests_.erase(connection); }

  const std::string refusal_;
  std::map<bufferevent*, std::string> requests_;
};

Message Undelivered(std::uint64_t number) {
  Message message;
  message.number = number;
  message.request.id = "m" + std::to_string(number);
  message.final_status = FinalStatus::kFailed;
  return message;
}

TEST(NotificationClient, RepeatedAcknowledgementDoesNotEndTheNextBatch) {
  constexpr std::uint64_t kMessages = 200;
  for (const Duration copy_delay : {Duration(1000), Duration(4000), Duration(9000)}) {
    EventLoop loop;
    RepeatingReceiver receiver(loop, copy_delay);
    Logger log;
    std::set<std::string> told;  // ids of the messages that the client takes for acknowledged
    NotificationClient client(
        loop, {"127.0.0.1", receiver.port}, NotificationClient::PlatformEncoding(),
        [&](std::uint64_t number) { told.insert("m" + std::to_string(number)); }, log);
    for (std::uint64_t number = 1; number <= kMessages; ++number) {
      client.Notify(Undelivered(number));
      RunFor(loop, 1ms);
    }
    RunUntil(loop, [&] { return client.is_idle(); });
    EXPECT_GE(receiver.copies, 3);
    EXPECT_EQ(told.size(), kMessages);
    EXPECT_EQ(receiver.acknowledged, told) << copy_delay.count() << " us";
  }
}

// Guards against review/1: one notice that the platform can't read kept all later ones from being heard.
TEST(NotificationClient, NoticeThatIsNeverAcceptedDelaysNoOther) {
  constexpr std::uint64_t kMessages = 450;
  EventLoop loop;
  SelectiveReceiver receiver(loop, kBadRequest);
  receiver.refused = "m1";
  Logger log;
  NotificationClient client(
      loop, {"127.0.0.1", receiver.port}, NotificationClient::PlatformEncoding(), [](std::uint64_t) {}, log);
  for (std::uint64_t number = 1; number <= kMessages; ++number) client.Notify(Undelivered(number));
  RunFor(loop, kNoticeDeadline);
  EXPECT_EQ(receiver.acknowledged.size(), kMessages - 1);
  EXPECT_FALSE(client.is_idle());
  receiver.refused = "none";
  RunUntil(loop, [&] { return client.is_idle(); });
  EXPECT_TRUE(receiver.acknowledged.contains("m1"));
}

// Guards against review/1 where the receiver's response does not say that the notice itself is at fault.
TEST(NotificationClient, NoticeThatAlwaysFailsDelaysNoLaterOne) {
  for (const std::string& refusal : {std::string(kFailure), std::string("no response\r\n\r\n")}) {
    EventLoop loop;
    SelectiveReceiver receiver(loop, refusal);
    receiver.refused = "m1";
    Logger log;
    NotificationClient client(
        loop, {"127.0.0.1", receiver.port}, NotificationClient::PlatformEncoding(), [](std::uint64_t) {},
        log);
    for (std::uint64_t number = 1; number <= 200; ++number) client.Notify(Undelivered(number));
    RunUntil(loop, [&] { return receiver.acknowledged.size() == 199; });
    for (std::uint64_t number = 201; number <= 300; ++number) {
      client.Notify(Undelivered(number));
      RunFor(loop, 5ms);
    }
    RunFor(loop, kNoticeDeadline);
    EXPECT_EQ(receiver.acknowledged.size(), 299U);
  }
}

// Guards against a busy loop: a notice that is never accepted is posted ever less often.
TEST(NotificationClient, NoticeThatIsNeverAcceptedIsPostedEverLessOften) {
  EventLoop loop;
  SelectiveReceiver receiver(loop, kBadRequest);
  receiver.refused = "m1";
  Logger log;
  NotificationClient client(
      loop, {"127.0.0.1", receiver.port}, NotificationClient::PlatformEncoding(), [](std::uint64_t) {}, log);
  int rejections = 0;
  client.on_rejected = [&] { ++rejections; };
  client.Notify(Undelivered(1));
  RunFor(loop, 1s);
  EXPECT_GE(receiver.refusals, 4);
  EXPECT_LE(receiver.refusals, 6);  // after 0, 50, 150, 350 and 750 ms
  EXPECT_EQ(receiver.refusals, rejections);
}

}  // namespace
}  // namespace sagetally
