// Eureka's JSON: the lists of applications that are read, and the registration that is written. No I/O.
#ifndef SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_
#define SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace sagetally {

// One registered process of an application.
struct Instance {
  // What an application says about itself, by its own keys.
  using Metadata = std::map<std::string, std::string>;

  std::string id = {};
  std::string app = {};
  std::string host = {};
  std::string status = {};  // in Eureka's words
  std::uint16_t port = 0;   // 0: none
  Metadata metadata = {};

  bool is_up() const { return status == "UP"; }
  bool operator==(const Instance&) const = default;
};

// The instances of one application by their ids.
using InstancesById = std::map<std::string, Instance>;
// Instances by application, in upper case.
using Applications = std::map<std::string, InstancesById>;

// Reads the response to GET apps. Throws FormatError.
Applications ReadApplications(std::string_view text);
// Applies the response to GET apps/delta. Returns false if the resulting list has another hash code than the
// delta names: then a full fetch is due. Throws FormatError, and then may have applied a part.
bool ApplyDelta(std::string_view text, Applications& applications);
// Returns the number of instances by status, as Eureka writes it: "DOWN_1_UP_3_".
std::string HashCode(const Applications& applications);

// The terms on which an instance stays registered.
struct Lease {
  std::chrono::seconds renewal_interval{0};
  std::chrono::seconds duration{
      0};  // the registry drops an instance that has not renewed its lease for so long
};
// Returns the body of POST apps/APP, which registers an instance as up.
std::string FormatRegistration(const Instance& instance, const Lease& lease);

}  // namespace sagetally

#endif  // SAGETALLY_SRC_SERVICE_REGISTRY_EUREKA_FORMAT_H_
