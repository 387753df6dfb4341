// The lease's row in the platform's table: `lease/{pool}` with a JSON object
// whose member "fence" is the fencing number of its present holder.
#ifndef ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_
#define ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_

#include <optional>

#include "state/store.h"
#include "types.h"

namespace acaciachute {

// Zero for a lease that nobody ever held; none for a row that cannot be read,
// which gives nobody the right to order.
std::optional<FenceNumber> FenceOfLeaseRow(const StoreRow& row);

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_PROTOCOL_LEASE_CODEC_H_
