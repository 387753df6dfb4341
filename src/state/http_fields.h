// Header fields of an HTTP message, in the order in which they were received.
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

// Returns the value of the first field with that name, ignoring case, or null
// when there is none.
const std::string* FindField(const HttpFields& fields, std::string_view name);

// Returns whether a field applies to one connection only and must not be
// forwarded (RFC 9110, section 7.6.1). The fields that `Connection` lists are
// included.
bool IsHopByHop(const HttpFields& fields, std::string_view name);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_HTTP_FIELDS_H_
