// The write-ahead log: one file of records, each with its length and checksum. What was written outlasts the
// process without a sync; a torn last record is cut off at the next start. When the file has grown past half
// of what the folder may hold, the live messages are written to a second file that takes its place.
#ifndef SAGETALLY_SRC_STORE_STORE_H_
#define SAGETALLY_SRC_STORE_STORE_H_

#include <string>
#include <string_view>

#include "core/ledger.h"
#include "core/ports.h"
#include "store/fd.h"

namespace sagetally {

class Store : public Journal {
 public:
  // Opens the log in `folder` and reads what it holds into `ledger`. Throws std::runtime_error.
  // `most_bytes`: of all files of the folder.
  Store(std::string folder, std::size_t most_bytes, Ledger& ledger);

  bool Taken(std::span<const Message* const> messages) override;
  void Attempted(const Message& message) override;
  void Outcame(const Message& message, Outcome outcome) override;
  void Ended(const Message& message) override;
  void Told(const Message& message) override;
  void Kept(const Message& message) override;

  std::size_t bytes() const { return bytes_; }
  std::size_t live_bound() const { return live_bound_; }
  std::size_t LiveBytes() const;
  bool fresh() const { return fresh_; }              // there was no log in the folder
  const std::string& note() const { return note_; }  // of the reading, for the log

 private:
  void Replay();
  bool Apply(std::string_view record);
  bool Append(const std::string& records, bool must);
  void Compact();
  static std::size_t LiveBytes(const Message& message);
  std::size_t Half() const { return most_bytes_ * 45 / 100; }

  std::string path_;
  std::size_t most_bytes_;
  Ledger& ledger_;
  Fd file_;
  std::size_t bytes_ = 0;
  std::size_t live_bound_ = 0;  // LiveBytes() is no more than this
  std::string note_;
  bool fresh_ = false;
};

}  // namespace sagetally

#endif  // SAGETALLY_SRC_STORE_STORE_H_
