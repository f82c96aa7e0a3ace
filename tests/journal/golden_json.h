// Converts what was read from a journal to JSON, with the names that tests/golden/expected/*.json uses.
#ifndef SAGETALLY_TESTS_JOURNAL_GOLDEN_JSON_H_
#define SAGETALLY_TESTS_JOURNAL_GOLDEN_JSON_H_

#include <array>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
#include <vector>

#include "core/message_table.h"
#include "journal/replay.h"

namespace sagetally {

using Json = nlohmann::json;

// The names of the enumerators in tests/golden/expected/*.json, indexed by their stored number.
inline constexpr std::array<std::string_view, 5> kFinalStatusNames = {"none", "delivered", "undeliverable",
                                                                      "deferred", "over"};
inline constexpr std::array<std::string_view, 8> kOutcomeNames = {
    "ok", "error", "full", "timeout", "connect_failed", "reset", "cancelled", "not_sent"};
inline constexpr std::array<std::string_view, 10> kReasonNames = {"none",
                                                                  "attempts_used_up",
                                                                  "out_of_time_unsent",
                                                                  "out_of_time_after_calls",
                                                                  "refused_to_the_end",
                                                                  "may_not_be_repeated",
                                                                  "repeat_window_over",
                                                                  "restart",
                                                                  "shed",
                                                                  "forbidden_on_restart"};

template <typename Enum, std::size_t kCount>
std::string NameOf(Enum value, const std::array<std::string_view, kCount>& names) {
  return std::string(names.at(static_cast<std::size_t>(value)));
}

inline std::string Hex(std::string_view bytes) {
  constexpr std::string_view digits = "0123456789abcdef";
  std::string hex;
  for (const char byte : bytes) {
    const auto value = static_cast<unsigned char>(byte);
    hex += digits[value / 16];
    hex += digits[value % 16];
  }
  return hex;
}

inline Json ToJson(const Timestamp& timestamp) {
  return {{"wall_us", timestamp.wall_time.count()},
          {"steady_us", timestamp.steady_time.count()},
          {"boot", timestamp.boot_id}};
}

inline Json ToJson(const std::vector<AttemptRecord>& history) {
  Json list = Json::array();
  for (const AttemptRecord& attempt : history) {
    list.push_back({{"sent", ToJson(attempt.sent_at)},
                    {"endpoint", attempt.endpoint},
                    {"outcome", attempt.outcome ? Json(NameOf(*attempt.outcome, kOutcomeNames)) : Json()},
                    {"told_wait_us", attempt.retry_after.count()}});
  }
  return list;
}

inline Json ToJson(const Message& message) {
  const Request& request = message.request;
  const auto& uncertain = message.first_uncertain_attempt;
  return {{"number", message.number},
          {"id", request.id},
          {"class_number", request.message_class},
          {"destination", request.destination},
          {"deadline_us", message.deadline.count()},
          {"key", request.idempotency_key},
          {"body_hex", Hex(request.body)},
          {"form", request.protocol == IngressProtocol::kCloudEvents ? "event" : "plain"},
          {"attributes", request.attributes},
          {"attempts", message.attempts},
          {"out", message.is_in_flight},
          {"out_since_us", message.in_flight_since.count()},
          {"out_at", message.in_flight_endpoint},
          {"may_have_run_us", uncertain ? Json(uncertain->count()) : Json()},
          {"may_have_run_at", message.first_uncertain_endpoint},
          {"end", NameOf(message.final_status, kFinalStatusNames)},
          {"again_us", message.retry_after.count()},
          {"ended_us", message.completed_at.count()},
          {"notice_owed", message.notification_pending},
          {"taken_us", message.accepted_at.count()},
          {"reason", NameOf(message.failure_reason, kReasonNames)},
          {"kept_owed", message.dead_letter_pending},
          {"kept_as", message.redrive_number},
          {"kept_life", message.redrive_incarnation},
          {"kept_node", message.redrive_node},
          {"history", ToJson(message.history)}};
}

inline Json ToJson(const MessageTable& messages) {
  Json list = Json::array();
  for (const auto& [number, message] : messages.messages()) list.push_back(ToJson(message));
  return list;
}

inline Json ToJson(const Manifest& manifest) {
  return {{"node", manifest.node},
          {"epoch", manifest.epoch},
          {"oldest", manifest.oldest},
          {"newest", manifest.newest},
          {"unknown_from", manifest.unknown_from},
          {"migrating", manifest.migrating},
          {"salt", manifest.salt},
          {"classes", manifest.classes},
          {"written", ToJson(manifest.written)}};
}

inline Json ToJson(const ReplayReport& report) {
  Json segments = Json::array();
  for (const SegmentReport& segment : report.segments) {
    Json unreadable = Json::array();
    for (const UnreadableRange& range : segment.unreadable) {
      unreadable.push_back({{"offset", range.offset}, {"bytes", range.bytes}});
    }
    segments.push_back({{"number", segment.number},
                        {"epoch", segment.epoch},
                        {"bytes", segment.bytes},
                        {"frames", segment.frames},
                        {"missing", segment.missing},
                        {"no_header", segment.header_missing},
                        {"unreadable", unreadable}});
  }
  Json missing = Json::array();
  for (const MissingRecords& range : report.missing) {
    missing.push_back({{"from", range.from}, {"to", range.to}});
  }
  return {{"manifest", ToJson(report.manifest)},
          {"manifest_lost", report.manifest_lost},
          {"segments", segments},
          {"records", report.records},
          {"bytes", report.bytes},
          {"unreadable_bytes", report.unreadable_bytes},
          {"missing_records", missing},
          {"rejected_records", report.invalid_records},
          {"next_sequence", report.next_sequence},
          {"may_have_run", report.incomplete_histories},
          {"messages_lost", report.lost_messages},
          {"last_moment", ToJson(report.latest_timestamp)},
          {"damaged", report.is_damaged()}};
}

}  // namespace sagetally

#endif  // SAGETALLY_TESTS_JOURNAL_GOLDEN_JSON_H_
