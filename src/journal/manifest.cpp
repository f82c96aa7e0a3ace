#include "journal/manifest.h"

#include <nlohmann/json.hpp>

#include "base/byte_codec.h"
#include "journal/errors.h"
#include "journal/segment.h"

namespace sagetally {
namespace {

using Json = nlohmann::ordered_json;
constexpr std::size_t kMaxManifestBytes = 1 << 20;

// Returns the JSON text as it is written to the file. The checksum covers the same text without its own
// field.
std::string ToText(const Json& json) { return json.dump(-1, ' ', false, Json::error_handler_t::replace); }

}  // namespace

std::string EncodeManifest(const Manifest& manifest) {
  const Timestamp& written = manifest.written;
  Json json = {{"format", kJournalFormat},
               {"node", manifest.node},
               {"epoch", manifest.epoch},
               {"oldest", manifest.oldest},
               {"newest", manifest.newest},
               {"unknown_from", manifest.unknown_from},
               {"migrating", manifest.migrating},
               {"salt", manifest.salt},
               {"classes", manifest.classes},
               {"written", {written.wall_time.count(), written.steady_time.count(), written.boot_id}}};
  json["crc32c"] = Crc32c(ToText(json));
  return ToText(json) + "\n";
}

std::optional<Manifest> DecodeManifest(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    const auto format = json.at("format").get<std::uint32_t>();
    if (format > kJournalFormat) throw UnsupportedFormatError("", format);
    const auto checksum = json.at("crc32c").get<std::uint32_t>();
    json.erase("crc32c");
    if (Crc32c(ToText(json)) != checksum) return std::nullopt;
    Manifest manifest;
    manifest.node = json.at("node").get<std::string>();
    manifest.epoch = json.at("epoch").get<std::uint64_t>();
    manifest.oldest = json.at("oldest").get<std::uint64_t>();
    manifest.newest = json.at("newest").get<std::uint64_t>();
    manifest.unknown_from = json.at("unknown_from").get<std::uint64_t>();
    manifest.migrating = json.at("migrating").get<bool>();
    manifest.salt = json.at("salt").get<std::uint64_t>();
    manifest.classes = json.at("classes").get<std::vector<std::string>>();
    const Json& written = json.at("written");
    manifest.written = {Time(written.at(0).get<std::int64_t>()), Time(written.at(1).get<std::int64_t>()),
                        written.at(2).get<std::uint64_t>()};
    if (manifest.oldest > manifest.newest) return std::nullopt;
    return manifest;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

ManifestFile ReadManifestFile(FileSystem& files, const std::string& folder) {
  const auto opened = files.Open(folder + "/" + kManifestName, FileSystem::Mode::kRead);
  if (!opened.ok()) return {std::nullopt, opened.error};
  const auto text = ReadAll(*opened.value, kMaxManifestBytes);
  if (!text.ok()) return {std::nullopt, text.error};
  return {DecodeManifest(text.value), 0};
}

int WriteManifest(FileSystem& files, const std::string& folder, const Manifest& manifest, bool sync) {
  const std::string path = folder + "/" + kManifestName;
  const std::string next_path = folder + "/" + kNextManifestName;
  const auto opened = files.Open(next_path, FileSystem::Mode::kCreate);
  if (!opened.ok()) return opened.error;
  int error = WriteAll(*opened.value, EncodeManifest(manifest)).error;
  if (error == 0 && sync) error = opened.value->Sync();
  if (error == 0) error = files.Rename(next_path, path);
  if (error != 0) {
    files.Remove(next_path);
    return error;
  }
  return sync ? files.SyncFolder(folder) : 0;
}

}  // namespace sagetally
