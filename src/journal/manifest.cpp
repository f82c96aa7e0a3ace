#include "journal/manifest.h"

#include <fmt/format.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "base/byte_codec.h"
#include "journal/segment.h"

namespace sagetally {
namespace {

using Json = nlohmann::ordered_json;
constexpr std::size_t kMostManifest = 1 << 20;

}  // namespace

std::string EncodeManifest(const Manifest& m) {
  Json json = {{"format", kJournalFormat},
               {"node", m.node},
               {"epoch", m.epoch},
               {"oldest", m.oldest},
               {"newest", m.newest},
               {"unknown_from", m.unknown_from},
               {"migrating", m.migrating},
               {"salt", m.salt},
               {"classes", m.classes},
               {"written", {m.written.wall_time.count(), m.written.steady_time.count(), m.written.boot_id}}};
  const auto text = [&] { return json.dump(-1, ' ', false, Json::error_handler_t::replace); };
  json["crc32c"] = Crc32c(text());
  return text() + "\n";
}

std::optional<Manifest> DecodeManifest(const std::string& text) {
  Json json = Json::parse(text, nullptr, false);
  if (!json.is_object()) return std::nullopt;
  try {
    const auto format = json.at("format").get<std::uint32_t>();
    if (format > kJournalFormat) {
      throw std::runtime_error(fmt::format("the journal has format {}; this program reads formats up to {}",
                                           format, kJournalFormat));
    }
    const auto crc = json.at("crc32c").get<std::uint32_t>();
    json.erase("crc32c");
    if (Crc32c(json.dump(-1, ' ', false, Json::error_handler_t::replace)) != crc) return std::nullopt;
    Manifest m;
    m.node = json.at("node").get<std::string>();
    m.epoch = json.at("epoch").get<std::uint64_t>();
    m.oldest = json.at("oldest").get<std::uint64_t>();
    m.newest = json.at("newest").get<std::uint64_t>();
    m.unknown_from = json.at("unknown_from").get<std::uint64_t>();
    m.migrating = json.at("migrating").get<bool>();
    m.salt = json.at("salt").get<std::uint64_t>();
    m.classes = json.at("classes").get<std::vector<std::string>>();
    const Json& written = json.at("written");
    m.written = {Time(written.at(0).get<std::int64_t>()), Time(written.at(1).get<std::int64_t>()),
                 written.at(2).get<std::uint64_t>()};
    if (m.oldest > m.newest) return std::nullopt;
    return m;
  } catch (const nlohmann::json::exception&) {
    return std::nullopt;
  }
}

std::optional<Manifest> ReadManifestFile(FileSystem& files, const std::string& folder, int& error) {
  const auto file = files.Open(folder + "/" + kManifestName, FileSystem::Mode::kRead, error);
  if (!file) return std::nullopt;
  const std::string text = ReadAll(*file, kMostManifest, error);
  return error == 0 ? DecodeManifest(text) : std::nullopt;
}

int WriteManifest(FileSystem& files, const std::string& folder, const Manifest& manifest, bool synced) {
  const std::string path = folder + "/" + kManifestName, beside = path + ".new";
  int error = 0;
  const auto file = files.Open(beside, FileSystem::Mode::kCreate, error);
  if (!file) return error;
  WriteAll(*file, EncodeManifest(manifest), error);
  if (error == 0 && synced) error = file->Sync();
  if (error == 0) error = files.Rename(beside, path);
  if (error != 0) {
    files.Remove(beside);
    return error;
  }
  return synced ? files.SyncFolder(folder) : 0;
}

}  // namespace sagetally
