// The fields of an HTTP head, in the order in which they came.
#ifndef ACACIACHUTE_SRC_STATE_HTTP_FIELDS_H_
#define ACACIACHUTE_SRC_STATE_HTTP_FIELDS_H_

#include <string>
#include <string_view>
#include <vector>

namespace acaciachute {

struct HttpField {
  std::string name;
  std::string value;
};
using HttpFields = std::vector<HttpField>;

// The first field of that name, in any case; null when there is none.
const std::string* FindField(const HttpFields& fields, std::string_view name);

// Whether a field concerns one connection only and is never passed on
// (RFC 9110, 7.6.1), `Connection`'s own list of names included.
bool IsHopByHop(const HttpFields& fields, std::string_view name);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_HTTP_FIELDS_H_
