#include "drivers/platform/object_client.h"

#include "drivers/platform/http_pool.h"

namespace damaskglade::drivers {

namespace {

constexpr const char *DefaultBucket = "/damaskglade";
constexpr int HttpOk = 200;
constexpr int HttpNotFound = 404;

class ObjectClient : public ObjectStore {
public:
  explicit ObjectClient(const std::string &Url) : Url_(splitUrl(Url)) {
    if (Url_.Path_.empty())
      Url_.Path_ = DefaultBucket;
  }

  Status put(const std::string &Name, const std::string &Body,
             Millis Timeout) override {
    BOOST_OUTCOME_TRY(Reply, send("PUT", Name, Body, Timeout, "store object"));
    static_cast<void>(Reply);
    return success();
  }

  Result<std::string> get(const std::string &Name, Millis Timeout) override {
    return send("GET", Name, "", Timeout, "read object");
  }

private:
  Result<std::string> send(const std::string &Method, const std::string &Name,
                           const std::string &Body, Millis Timeout,
                           const std::string &Step) {
    const HttpCall Request{Method,
                           Url_.Path_ + "/" + Name,
                           Body,
                           Method == "PUT" ? "application/octet-stream" : "",
                           {}};
    auto Sent = Pool_.call(Url_.Address_, Request, Timeout, Step);
    if (!Sent) {
      Error Failure = Sent.error();
      Failure.Message_ =
          std::string(reasonName(Failure.Reason_)) + ": " + Failure.Message_;
      Failure.Reason_ = Reason::ObjectStoreUnavailable;
      return Failure;
    }
    HttpReply Reply = std::move(Sent).value();
    if (Reply.Status_ == HttpOk)
      return std::move(Reply.Body_);
    if (Reply.Status_ == HttpNotFound)
      return Error{Reason::NotFound, Effect::None, Step, Url_.Address_,
                   "object " + Name + " does not exist"};
    return Error{Reason::ObjectStoreUnavailable, Effect::Unknown, Step,
                 Url_.Address_, "status " + std::to_string(Reply.Status_)};
  }

  HttpUrl Url_;
  HttpPool Pool_;
};

} // namespace

std::unique_ptr<ObjectStore> makeObjectClient(const std::string &Url) {
  return std::make_unique<ObjectClient>(Url);
}

} // namespace damaskglade::drivers
