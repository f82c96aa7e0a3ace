// Which completed events the message table retains to recognise repeated submissions.
#include "core/message_table.h"

#include <gtest/gtest.h>

namespace sagetally {
namespace {

using namespace std::chrono_literals;

// Adds an event that has completed, and returns its number. The notification of a failed one is pending.
std::uint64_t AddCompleted(MessageTable& table, FinalStatus status, Time now) {
  static int id = 0;
  Message message;
  message.request.protocol = IngressProtocol::kCloudEvents;
  message.request.id = std::to_string(++id);
  Message& added = table.Add(std::move(message));
  table.Complete(added, status, Duration(0), now);
  table.RemoveIfFinished(added);
  return added.number;
}

std::uint64_t OneForEach(const Message&) { return 1; }

// Guards against a full journal that takes on nothing more, because the oldest retained event has a
// notification that its receiver never accepts.
TEST(MessageTable, PendingNotificationDoesNotKeepLaterEventsFromBeingRemoved) {
  MessageTable table;
  const std::uint64_t pending = AddCompleted(table, FinalStatus::kFailed, Time(1));
  const std::uint64_t delivered = AddCompleted(table, FinalStatus::kDelivered, Time(2));
  EXPECT_EQ(table.RemoveRetained(1, OneForEach), 1U);
  EXPECT_EQ(table.Find(delivered), nullptr);
  EXPECT_NE(table.Find(pending), nullptr);
  EXPECT_EQ(table.RemoveRetained(1, OneForEach), std::nullopt);
  table.Find(pending)->notification_pending = false;
  EXPECT_EQ(table.RemoveRetained(1, OneForEach), 1U);
  EXPECT_EQ(table.size(), 0U);
}

// Guards against memory that grows without a limit behind such a notification.
TEST(MessageTable, PendingNotificationDoesNotKeepLaterEventsFromExpiring) {
  MessageTable table;
  const std::uint64_t pending = AddCompleted(table, FinalStatus::kFailed, Time(0));
  for (int i = 0; i < 10'000; ++i) {
    AddCompleted(table, FinalStatus::kDelivered, Time(1ms * i));
    table.ExpireRetained(Time(1ms * i));
  }
  EXPECT_EQ(table.size(), MessageTable::kMaxRetainedMessages + 1);
  const std::uint64_t newest =
      AddCompleted(table, FinalStatus::kDelivered, Time(MessageTable::kDeduplicationWindow));
  table.ExpireRetained(Time(MessageTable::kDeduplicationWindow) + 10s);
  EXPECT_EQ(table.size(), 2U);
  EXPECT_NE(table.Find(pending), nullptr);
  EXPECT_NE(table.Find(newest), nullptr);
}

// Guards against ends that are forgotten after a restart, because those of which compaction had made copies
// counted several times, and as the newest ones.
TEST(MessageTable, EndsThatTheJournalHoldsTwiceCountOnce) {
  MessageTable table;
  Message message;
  message.request.protocol = IngressProtocol::kCloudEvents;
  message.final_status = FinalStatus::kDelivered;
  for (std::size_t i = MessageTable::kMaxRetainedMessages; i > 0; --i) {
    message.number = i;
    message.completed_at = Time(1ms * i);
    message.request.id = std::to_string(i);
    for (int copies = 0; copies < 2; ++copies) {
      table.Remove(message.number);
      table.Add(message);
    }
  }
  table.ExpireRetained(Time(2s));
  EXPECT_EQ(table.size(), MessageTable::kMaxRetainedMessages);
  AddCompleted(table, FinalStatus::kDelivered, Time(2s));
  table.ExpireRetained(Time(2s));
  EXPECT_EQ(table.Find(1), nullptr);
  EXPECT_NE(table.Find(2), nullptr);
}

TEST(MessageTable, NewestEventsStayAlthoughManyOlderOnesArePending) {
  MessageTable table;
  for (std::size_t i = 0; i < 2 * MessageTable::kMaxRetainedMessages; ++i) {
    AddCompleted(table, FinalStatus::kFailed, Time(1));
  }
  const std::uint64_t delivered = AddCompleted(table, FinalStatus::kDelivered, Time(2));
  table.ExpireRetained(Time(3));
  EXPECT_NE(table.Find(delivered), nullptr);
  EXPECT_EQ(table.size(), 2 * MessageTable::kMaxRetainedMessages + 1);
}

}  // namespace
}  // namespace sagetally
