// The names of CloudEvents' context attributes that the dispatcher reads or writes.
#ifndef SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_
#define SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_

#include <string_view>

namespace sagetally::cloudevents {

// Of the specification.
inline constexpr char kSpecVersion[] = "specversion";
inline constexpr char kId[] = "id";
inline constexpr char kSource[] = "source";
inline constexpr char kType[] = "type";
inline constexpr char kDataContentType[] = "datacontenttype";

inline constexpr char kSupportedSpecVersion[] = "1.0";

// Extensions that say what the dispatcher is to do with an event.
inline constexpr char kMessageClass[] = "messageclass";
inline constexpr char kDestination[] = "destination";
inline constexpr char kDeadline[] = "deadlinems";  // absent: the class's deadline
inline constexpr char kIdempotencyKey[] = "idempotencykey";

// In binary mode an attribute is a header, whose name is this and the attribute's.
inline constexpr std::string_view kHeaderPrefix = "ce-";

}  // namespace sagetally::cloudevents

#endif  // SAGETALLY_SRC_FRONTEND_CLOUDEVENTS_ATTRIBUTE_NAMES_H_
