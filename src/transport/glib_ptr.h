// Smart pointers that own GLib objects, and conversions between `GBytes` and
// `std::string`.
#ifndef ACACIACHUTE_SRC_TRANSPORT_GLIB_PTR_H_
#define ACACIACHUTE_SRC_TRANSPORT_GLIB_PTR_H_

#include <glib-object.h>
#include <glib.h>

#include <memory>
#include <string>

namespace acaciachute {

struct GObjectUnref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using GPtr = std::unique_ptr<T, GObjectUnref>;

// Returns an owning pointer that holds a reference of its own to `object`.
template <typename T>
GPtr<T> Share(T* object) {
  return GPtr<T>(static_cast<T*>(g_object_ref(object)));
}

struct GErrorFree {
  void operator()(GError* error) const { g_error_free(error); }
};
using GErrorPtr = std::unique_ptr<GError, GErrorFree>;

struct GBytesUnref {
  void operator()(GBytes* bytes) const { g_bytes_unref(bytes); }
};
using GBytesPtr = std::unique_ptr<GBytes, GBytesUnref>;

inline GBytesPtr BytesOf(const std::string& text) {
  return GBytesPtr(g_bytes_new(text.data(), text.size()));
}

inline std::string TextOf(GBytes* bytes) {
  gsize n = 0;
  const auto* data = static_cast<const char*>(g_bytes_get_data(bytes, &n));
  return n == 0 ? std::string() : std::string(data, n);
}

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_TRANSPORT_GLIB_PTR_H_
