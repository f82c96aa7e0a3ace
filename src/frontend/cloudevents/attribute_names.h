// The names of the CloudEvents context attributes that the dispatcher reads or writes.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_

#include <string_view>

namespace sagetally::cloudevents {

// Attributes of the CloudEvents specification.
inline constexpr char kSpecVersion[] = "specversion";
inline constexpr char kId[] = "id";
inline constexpr char kSource[] = "source";
inline constexpr char kType[] = "type";
inline constexpr char kDataContentType[] = "datacontenttype";

// The only value of `specversion` that the dispatcher accepts.
inline constexpr char kSupportedSpecVersion[] = "1.0";

// Extension attributes that tell the dispatcher how to deliver an event.
inline constexpr char kMessageClass[] = "messageclass";
inline constexpr char kDestination[] = "destination";
inline constexpr char kDeadline[] = "deadlinems";  // optional, in milliseconds; default: the class's deadline
inline constexpr char kIdempotencyKey[] = "idempotencykey";

// In binary mode, each attribute is an HTTP header with this prefix before the attribute's name.
inline constexpr std::string_view kHeaderPrefix = "ce-";

}  // namespace sagetally::cloudevents

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_
