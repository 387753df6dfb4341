// A client's request, and the head of a replica's answer, in the form in which
// gateways process them.
#ifndef ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_
#define ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/answer_end.h"
#include "state/http_fields.h"
#include "state/replica_statement.h"
#include "state/shared_bytes.h"
#include "types.h"

namespace acaciachute {

// A part of a prompt. Several requests may contain the same part. An engine
// that still has a part and all parts before it in its cache does not process
// that part again.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

struct ClientRequest {
  // Request id; when the client itself retries, it sends another id.
  std::string id;
  std::string method;
  std::string target;  // Byte for byte as received.
  std::string host;
  HttpFields fields;  // The fields that are forwarded to the replica.
  SharedBytes body;
  std::optional<std::string> key;  // Key of the client account.
  DurationUs deadline = 0;         // Relative to when the client sent it.
  std::string model;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;  // Maximum number of tokens to generate.
  std::vector<PromptPart> prompt;
  std::vector<std::uint32_t> pieces;  // Number of pieces by stage; zero: skip.
  std::string piece_key;  // Source of the stages that need no other stage.
  // Id of the attempt that brought the first event of the stream that the
  // client takes up again; empty: it takes none up, or does not say.
  std::string resumed_attempt;
  // Number of the last stream event that the client has received.
  std::optional<std::uint64_t> resume_after;
};

// Status and header fields of a replica's answer.
struct ReplicaHead {
  int status = 0;
  HttpFields fields;  // The fields that are forwarded to the client.
  // The replica states that it did not run the request.
  bool not_run = false;
  bool other_replica = false;  // Another replica now has the address.
  // Carries the replica's seal, which proves that the replica itself answered.
  bool sealed = false;
  bool encoded = false;  // The body has a content encoding.
  AnswerEnd expected_end = AnswerEnd::kLength;  // If the answer is complete.
  ReplicaStatement statement;

  bool ok() const { return status >= 200 && status < 300; }
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_
