// Eureka's JSON formats: parses lists of applications and formats registrations. Does no I/O and keeps no
// state.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace sagetally {

// One registered instance of an application.
struct Instance {
  // Values that the instance publishes, by keys that its application defines.
  using Metadata = std::map<std::string, std::string>;

  std::string id = {};
  std::string app = {};     // the name of the application
  std::string host = {};    // the IP address or, if the registry names none, the host name
  std::string status = {};  // Eureka's status, such as "UP" or "DOWN"
  std::uint16_t port = 0;   // 0 if the registry names none
  Metadata metadata = {};

  bool is_up() const { return status == "UP"; }
  bool operator==(const Instance&) const = default;
};

// The instances of one application by their ids.
using InstancesById = std::map<std::string, Instance>;
// The instances of all applications by the application's name in upper case.
using Applications = std::map<std::string, InstancesById>;

// Parses the response to GET apps. Leaves out instances whose name, id or status can't be read; one whose
// address or metadata can't be read has neither. Adds the errors of those left out to `errors`. Throws
// FormatError if the response itself or all of its instances are malformed.
Applications ReadApplications(std::string_view text, std::vector<std::string>& errors);
// Applies the response to GET apps/delta to `applications`. Returns false if the result has another hash code
// than the one in the delta, in which case a full fetch is needed. Throws FormatError like
// ReadApplications(); a part of it may have been applied then.
bool ApplyDelta(std::string_view text, Applications& applications, std::vector<std::string>& errors);
// Returns Eureka's hash code of a list: the number of instances with each status, such as "DOWN_1_UP_3_".
std::string HashCode(const Applications& applications);

// How long an instance stays registered.
struct Lease {
  std::chrono::seconds renewal_interval{0};
  // The registry removes an instance that has not renewed its lease for this time.
  std::chrono::seconds duration{0};
};
// Returns the body of POST apps/APP, which registers an instance as up.
std::string FormatRegistration(const Instance& instance, const Lease& lease);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_
