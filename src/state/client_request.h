// One request of a client as the serving path sees it.
#ifndef ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_
#define ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "state/http_fields.h"
#include "types.h"

namespace acaciachute {

// A part of a prompt. Requests share parts; an engine that still holds one, and
// all parts before it, does not read it again.
struct PromptPart {
  std::string id;
  std::uint32_t tokens = 0;
};

struct ClientRequest {
  std::string id;  // Of this attempt; the client's own retry has another.
  std::string method;
  std::string target;  // Byte for byte.
  std::string host;
  HttpFields fields;  // Those that are passed on.
  std::string body;
  std::optional<std::string> key;
  DurationUs deadline = 0;  // From when the client sent it.
  std::string model;
  std::uint64_t prompt_tokens = 0;
  std::uint64_t output_tokens = 0;  // At most.
  std::vector<PromptPart> prompt;
  std::vector<std::uint32_t> pieces;  // By stage; zero leaves a stage out.
  std::string piece_key;              // What first stages work on.
  std::optional<std::uint64_t> resume_after;  // Last event that it has.
};

// What a replica said before the body of its answer.
struct ReplicaHead {
  int status = 0;
  HttpFields fields;  // Those that are passed on.
  // The replica's own word that it did not run the request.
  bool not_run = false;
  bool other_replica = false;  // The address belongs to another one now.
  bool sealed = false;         // Carries the replica's proof.
  bool encoded = false;        // The body is not the replica's own bytes.
  std::optional<std::uint32_t> running;
  std::optional<std::uint32_t> waiting;

  bool ok() const { return status >= 200 && status < 300; }
};

}  // namespace acaciachute

#endif  // ACACIACHUTE_SRC_STATE_CLIENT_REQUEST_H_
