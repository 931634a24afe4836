#include "core/Deflate.h"

#include <algorithm>

#include <zlib.h>

namespace zinniarail {

namespace {

constexpr std::size_t ChunkBytes = 65536;

Bytef *toZlibInput(std::string_view text) {
  // zlib only reads the input, although its interface takes a non-const
  // pointer.
  return reinterpret_cast<Bytef *>(const_cast<char *>(text.data()));
}

} // namespace

std::string deflateBytes(std::string_view bytes) {
  uLongf size = compressBound(bytes.size());
  std::string out(size, '\0');
  compress(reinterpret_cast<Bytef *>(out.data()), &size, toZlibInput(bytes),
           bytes.size());
  out.resize(size);
  return out;
}

std::optional<std::string> inflateBytes(std::string_view bytes,
                                        std::size_t maxBytes) {
  z_stream stream{};
  if (inflateInit(&stream) != Z_OK) {
    return std::nullopt;
  }
  stream.next_in = toZlibInput(bytes);
  stream.avail_in = static_cast<uInt>(bytes.size());
  std::string out;
  int result = Z_OK;
  while (result == Z_OK && out.size() <= maxBytes) {
    const std::size_t before = out.size();
    out.resize(before + ChunkBytes);
    stream.next_out = reinterpret_cast<Bytef *>(out.data() + before);
    stream.avail_out = ChunkBytes;
    result = inflate(&stream, Z_NO_FLUSH);
    out.resize(out.size() - stream.avail_out);
  }
  inflateEnd(&stream);
  if (result != Z_STREAM_END || out.size() > maxBytes) {
    return std::nullopt;
  }
  return out;
}

} // namespace zinniarail
