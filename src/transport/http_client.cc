#include "transport/http_client.h"

#include <gio/gio.h>
#include <libsoup/soup.h>

#include <map>

#include "transport/glib_ptr.h"

namespace acaciachute {
namespace {

// Above the number of calls that one process has in progress to one host.
constexpr int kMaxConnections = 1024;
constexpr gsize kReadBufferBytes = 64 << 10;
constexpr int kHttpOk = 200;

struct PendingCall {
  HttpClient::CallId id = 0;
  GPtr<SoupMessage> message;
  GPtr<GCancellable> cancellable{g_cancellable_new()};
  GPtr<GInputStream> stream;
  HttpClient::DoneFn done;
  HttpClient::PartFn part;
  HttpResult result;
  std::uint64_t received = 0;  // Bytes of the body.
  std::size_t parts = 0;       // In which a collected body arrived.
  bool ended = false;  // Cancelled, finished, or the client was destroyed.
  std::map<HttpClient::CallId, std::shared_ptr<PendingCall>>* calls = nullptr;
};
using CallPtr = std::shared_ptr<PendingCall>;

gpointer Hold(const CallPtr& call) {
  return new CallPtr(call);
}
CallPtr Release(gpointer data) {
  const std::unique_ptr<CallPtr> held(static_cast<CallPtr*>(data));
  return *held;
}

void Finish(const CallPtr& call) {
  if (call->ended) {
    return;
  }
  call->ended = true;
  call->calls->erase(call->id);
  if (call->stream) {
    g_input_stream_close(call->stream.get(), nullptr, nullptr);
    call->stream.reset();
  }
  call->done(call->result);
}

void ReadMore(const CallPtr& call);

// How an answer ended whose body libsoup read to its end without an error.
// libsoup reports none if the connection is closed in order before the stated
// end. Whether the last chunk came can't be learned from it.
AnswerEnd EndOf(const PendingCall& call) {
  SoupMessageHeaders* headers =
      soup_message_get_response_headers(call.message.get());
  const int status = call.result.status;
  if (status == SOUP_STATUS_NO_CONTENT || status == SOUP_STATUS_NOT_MODIFIED) {
    return AnswerEnd::kNoBody;
  }
  if (soup_message_headers_get_encoding(headers) !=
      SOUP_ENCODING_CONTENT_LENGTH) {
    return AnswerEnd::kClosed;
  }
  return call.received == static_cast<std::uint64_t>(
                              soup_message_headers_get_content_length(headers))
             ? AnswerEnd::kLength
             : AnswerEnd::kBroken;
}

void OnRead(GObject* source, GAsyncResult* result, gpointer data) {
  const CallPtr call = Release(data);
  GError* error = nullptr;
  const GBytesPtr bytes(
      g_input_stream_read_bytes_finish(G_INPUT_STREAM(source), result, &error));
  const GErrorPtr owned(error);
  if (call->ended) {
    return;
  }
  if (!bytes) {
    call->result.error = error->message;
    Finish(call);
    return;
  }
  if (g_bytes_get_size(bytes.get()) == 0) {
    call->result.end = EndOf(*call);
    Finish(call);
    return;
  }
  call->received += g_bytes_get_size(bytes.get());
  const bool collects = !call->part || call->result.status != kHttpOk;
  if (collects && (call->received > HttpClient::kMaxBodyBytes ||
                   ++call->parts > HttpClient::kMaxBodyParts)) {
    call->result.error = "the answer is too long";
    call->result.body.clear();
    // Closing the stream alone would read the answer to its end.
    g_cancellable_cancel(call->cancellable.get());
    Finish(call);
    return;
  }
  if (call->part && call->result.status == kHttpOk) {
    call->part(TextOf(bytes.get()));
  } else {
    call->result.body += TextOf(bytes.get());
  }
  ReadMore(call);
}

void ReadMore(const CallPtr& call) {
  g_input_stream_read_bytes_async(call->stream.get(), kReadBufferBytes,
                                  G_PRIORITY_DEFAULT, call->cancellable.get(),
                                  OnRead, Hold(call));
}

void OnHead(GObject* source, GAsyncResult* result, gpointer data) {
  const CallPtr call = Release(data);
  GError* error = nullptr;
  GPtr<GInputStream> stream(
      soup_session_send_finish(SOUP_SESSION(source), result, &error));
  const GErrorPtr owned(error);
  if (call->ended) {
    return;
  }
  if (!stream) {
    call->result.error = error->message;
    Finish(call);
    return;
  }
  call->stream = std::move(stream);
  call->result.status = soup_message_get_status(call->message.get());
  soup_message_headers_foreach(
      soup_message_get_response_headers(call->message.get()),
      [](const char* name, const char* value, gpointer user_data) {
        static_cast<HttpResult*>(user_data)->headers.emplace_back(name, value);
      },
      &call->result);
  ReadMore(call);
}

}  // namespace

struct HttpClient::Impl {
  GPtr<SoupSession> session;
  CallId next_id = 1;
  std::map<CallId, CallPtr> calls;
};

HttpClient::HttpClient(DurationUs timeout) : impl_(std::make_unique<Impl>()) {
  const auto seconds = static_cast<guint>((timeout + kSecond - 1) / kSecond);
  impl_->session.reset(soup_session_new_with_options(
      "max-conns", kMaxConnections, "max-conns-per-host", kMaxConnections,
      "timeout", seconds, nullptr));
}

HttpClient::~HttpClient() {
  for (const auto& [unused, call] : impl_->calls) {
    call->ended = true;
    g_cancellable_cancel(call->cancellable.get());
  }
}

HttpClient::CallId HttpClient::Call(const HttpRequest& request,
                                    DoneFn done,
                                    PartFn part) {
  auto call = std::make_shared<PendingCall>();
  call->id = impl_->next_id++;
  call->done = std::move(done);
  call->part = std::move(part);
  call->calls = &impl_->calls;
  call->message.reset(
      soup_message_new(request.method.c_str(), request.url.c_str()));
  impl_->calls[call->id] = call;
  if (!call->message) {
    call->result.error = "malformed URL";
    g_idle_add_once([](gpointer data) { Finish(Release(data)); }, Hold(call));
    return call->id;
  }
  SoupMessage* message = call->message.get();
  for (const auto& [name, value] : request.headers) {
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 name.c_str(), value.c_str());
  }
  if (!request.body.empty()) {
    const auto bytes = BytesOf(request.body);
    soup_message_set_request_body_from_bytes(message, "application/json",
                                             bytes.get());
  }
  if (request.repeatable) {
    soup_message_add_flags(message, SOUP_MESSAGE_IDEMPOTENT);
  }
  if (!request.repeatable || !request.named) {
    soup_message_add_flags(message, SOUP_MESSAGE_NEW_CONNECTION);
    soup_message_headers_replace(soup_message_get_request_headers(message),
                                 "Connection", "close");
  }
  g_signal_connect(message, "starting",
                   G_CALLBACK(+[](SoupMessage*, gpointer data) {
                     static_cast<HttpResult*>(data)->sent = true;
                   }),
                   &call->result);
  soup_session_send_async(impl_->session.get(), message, G_PRIORITY_DEFAULT,
                          call->cancellable.get(), OnHead, Hold(call));
  return call->id;
}

void HttpClient::Cancel(CallId id) {
  const auto it = impl_->calls.find(id);
  if (it == impl_->calls.end()) {
    return;
  }
  const CallPtr call = it->second;
  impl_->calls.erase(it);
  call->ended = true;
  g_cancellable_cancel(call->cancellable.get());
}

}  // namespace acaciachute
