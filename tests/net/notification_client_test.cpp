// Notifications are posted until they were acknowledged, whatever else comes on the connection, and one that
// is never acknowledged does not delay the others.
#include "net/notification_client.h"

#include <gtest/gtest.h>

#include <cstring>
#include <map>
#include <set>

#include "../app/raw_server.h"

namespace sagetally {
namespace {

constexpr const char* kAcknowledgement = "HTTP/1.1 204 No Content\r\n\r\n";
constexpr const char* kFailure = "HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n";

constexpr Duration kNoticeDeadline = 300ms;  // of the rule on lost messages

// Receives posts of notices or of result events.
class Receiver : public RawServer {
 public:
  using RawServer::RawServer;
  // The ids in acknowledged posts, and when they were acknowledged first.
  std::map<std::string, std::chrono::steady_clock::time_point> acknowledged;

 protected:
  void Acknowledge(bufferevent* connection, const std::string& post) {
    for (std::size_t at = post.find(kIdKey); at != std::string::npos; at = post.find(kIdKey, at + 1)) {
      const std::size_t begin = at + std::strlen(kIdKey);
      acknowledged.emplace(post.substr(begin, post.find('"', begin) - begin),
                           std::chrono::steady_clock::now());
    }
    Write(connection, kAcknowledgement);
  }

 private:
  static constexpr const char* kIdKey = "\"id\":\"";

  virtual void OnPost(bufferevent* connection, const std::string& post) = 0;

  void OnText(bufferevent* connection, const std::string& text) override {
    std::string& request = requests_[connection];
    request += text;
    const std::size_t head_end = request.find("\r\n\r\n");
    const std::size_t length_at = request.find("Content-Length: ");
    if (head_end == std::string::npos || length_at == std::string::npos) return;
    const std::size_t length = std::stoul(request.substr(length_at + std::strlen("Content-Length: ")));
    if (request.size() >= head_end + 4 + length) OnPost(connection, std::exchange(request, ""));
  }
  void OnClosed(bufferevent* connection) override { requests_.erase(connection); }

  std::map<bufferevent*, std::string> requests_;
};

// Acknowledges posts, and repeats every third acknowledgement after a delay. While a copy is under way, it
// answers the next post with an error.
class RepeatingReceiver : public Receiver {
 public:
  RepeatingReceiver(EventLoop& loop, Duration copy_delay) : Receiver(loop), copy_delay_(copy_delay) {}
  int copies = 0;

 private:
  void OnPost(bufferevent* connection, const std::string& post) override {
    if (std::exchange(fails_next_, false)) {
      answers_.push_back(std::make_unique<Timer>(loop(), [=] { Write(connection, kFailure); }));
      return answers_.back()->Schedule(2 * copy_delay_);
    }
    Acknowledge(connection, post);
    if (++posts_ % 3 != 0) return;
    fails_next_ = true;
    ++copies;
    answers_.push_back(std::make_unique<Timer>(loop(), [=] { Write(connection, kAcknowledgement); }));
    answers_.back()->Schedule(copy_delay_);
  }

  const Duration copy_delay_;
  int posts_ = 0;
  bool fails_next_ = false;
  std::vector<std::unique_ptr<Timer>> answers_;
};

// Acknowledges posts, but responds with `refusal` to one that contains the notice of message `refused`,
// however often it comes.
class SelectiveReceiver : public Receiver {
 public:
  SelectiveReceiver(EventLoop& loop, std::string refusal) : Receiver(loop), refusal_(std::move(refusal)) {}
  std::string refused = "m1";
  int refusals = 0;

 private:
  void OnPost(bufferevent* connection, const std::string& post) override {
    if (post.find("\"" + refused + "\"") == std::string::npos) return Acknowledge(connection, post);
    ++refusals;
    Write(connection, refusal_);
  }

  const std::string refusal_;
};

std::string Refusal(const std::string& status) {
  return "HTTP/1.1 " + status + "\r\nContent-Length: 0\r\n\r\n";
}

// The encodings of notices and of result events. Their texts have the same id.
std::vector<NotificationClient::Encoding> AllEncodings() {
  return {NotificationClient::PlatformEncoding(),
          NotificationClient::BatchEncoding(
              "/results", [](const Message& message) { return "{\"id\":\"" + message.request.id + "\"}"; })};
}

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
    std::set<std::string> acknowledged;
    for (const auto& [id, time] : receiver.acknowledged) acknowledged.insert(id);
    EXPECT_EQ(acknowledged, told) << copy_delay.count() << " us";
  }
}

// Guards against review/1: one notice that the platform can't read kept all later ones from being heard.
TEST(NotificationClient, NoticeThatIsNeverAcceptedDelaysNoOther) {
  constexpr std::uint64_t kMessages = 450;
  for (const NotificationClient::Encoding& encoding : AllEncodings()) {
    for (const char* const status : {"400 Bad Request", "413 Content Too Large"}) {
      EventLoop loop;
      SelectiveReceiver receiver(loop, Refusal(status));
      Logger log;
      NotificationClient client(
          loop, {"127.0.0.1", receiver.port}, encoding, [](std::uint64_t) {}, log);
      for (std::uint64_t number = 1; number <= kMessages; ++number) client.Notify(Undelivered(number));
      RunFor(loop, kNoticeDeadline);
      EXPECT_EQ(receiver.acknowledged.size(), kMessages - 1);
      EXPECT_FALSE(client.is_idle());
      receiver.refused = "none";
      RunUntil(loop, [&] { return client.is_idle(); });
      EXPECT_TRUE(receiver.acknowledged.contains("m1"));
    }
  }
}

// Guards against review/1 where the receiver's response, or its silence, does not say that the notice itself
// is at fault. Once that is known, each further notice must be heard in time.
TEST(NotificationClient, NoticeThatAlwaysFailsDelaysNoLaterOne) {
  constexpr const char* kNoHttp = "no response\r\n\r\n";
  constexpr const char* kSilence = "";
  for (const NotificationClient::Encoding& encoding : AllEncodings()) {
    for (const std::string& refusal : {Refusal("500 Oops"), std::string(kNoHttp), std::string(kSilence)}) {
      EventLoop loop;
      SelectiveReceiver receiver(loop, refusal);
      Logger log;
      NotificationClient client(
          loop, {"127.0.0.1", receiver.port}, encoding, [](std::uint64_t) {}, log);
      for (std::uint64_t number = 1; number <= 200; ++number) client.Notify(Undelivered(number));
      RunUntil(loop, [&] { return receiver.acknowledged.size() == 199; });
      std::map<std::string, std::chrono::steady_clock::time_point> notified;
      for (std::uint64_t number = 201; number <= 400; ++number) {
        notified["m" + std::to_string(number)] = std::chrono::steady_clock::now();
        client.Notify(Undelivered(number));
        RunFor(loop, 5ms);
      }
      RunFor(loop, kNoticeDeadline);
      ASSERT_EQ(receiver.acknowledged.size(), 399U) << refusal;
      for (const auto& [id, time] : notified) {
        EXPECT_LE(receiver.acknowledged.at(id) - time, kNoticeDeadline) << refusal << id;
      }
    }
  }
}

// Guards against a busy loop: a notice that is never accepted is posted ever less often.
TEST(NotificationClient, NoticeThatIsNeverAcceptedIsPostedEverLessOften) {
  EventLoop loop;
  SelectiveReceiver receiver(loop, Refusal("400 Bad Request"));
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
