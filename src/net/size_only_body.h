// A body type for Boost.Beast's parsers that counts the bytes of a body and keeps none of them.
#ifndef SAGETALLY_SRC_NET_SIZE_ONLY_BODY_H_
#define SAGETALLY_SRC_NET_SIZE_ONLY_BODY_H_

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/optional.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <cstdint>

namespace sagetally {

// Fulfils Beast's requirements of a Body that can be parsed, which prescribe these names.
// NOLINTBEGIN(readability-identifier-naming)
struct SizeOnlyBody {
  using value_type = std::size_t;  // the number of bytes, without the framing of chunks

  class reader {
   public:
    template <bool kIsRequest, typename Fields>
    reader(boost::beast::http::header<kIsRequest, Fields>&, value_type& size) : size_(size) {}

    void init(const boost::optional<std::uint64_t>&, boost::system::error_code& error) { error = {}; }

    template <typename Buffers>
    std::size_t put(const Buffers& buffers, boost::system::error_code& error) {
      error = {};
      const std::size_t added = boost::asio::buffer_size(buffers);
      size_ += added;
      return added;
    }

    void finish(boost::system::error_code& error) { error = {}; }

   private:
    value_type& size_;
  };
};
// NOLINTEND(readability-identifier-naming)

}  // namespace sagetally

#endif  // SAGETALLY_SRC_NET_SIZE_ONLY_BODY_H_
