#include "node/messages.h"

#include "core/codec.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

constexpr Resources Size{1000, 2048, 1, 2, 3};

Attempt someAttempt() { return Attempt{3, 2, "w1", "z1/r1", Millis{12345}}; }

ReserveRequest someReserve() {
  ReserveRequest Value;
  Value.Job_ = "job";
  Value.Home_ = "home";
  Value.Team_ = "dock";
  Value.Class_ = TaskClass::Gang;
  Value.Urgency_ = Urgency::Urgent;
  Value.Size_ = Size;
  Value.Run_ = Millis{60000};
  Value.Idempotent_ = false;
  Value.MayPreempt_ = true;
  Value.MayBlock_ = true;
  Value.Tries_ = {someAttempt(), Attempt{4, 1, {}, {}, {}}};
  return Value;
}

StartCommand someStart() {
  return StartCommand{"job", someAttempt(), Millis{60000}, "\"payload\"\n"};
}

AttemptList someList() { return AttemptList{"job", {someAttempt()}}; }

FinishedNotice someNotice() {
  return FinishedNotice{"job.3.2", OwnerStatus{OwnerVerdict::Finished,
                                               makeAnswer(true, "clean")}};
}

ExecuteRequest someExecute() {
  ExecuteRequest Value;
  Value.Spec_.Team_ = "dock";
  Value.Spec_.Key_ = "key";
  Value.Spec_.Class_ = TaskClass::Lookup;
  Value.Spec_.Urgency_ = Urgency::Urgent;
  Value.Spec_.Size_ = Size;
  Value.Spec_.Run_ = Millis{20};
  Value.Spec_.Deadline_ = Millis{5000};
  Value.Spec_.Payload_ = "crate 7";
  Value.Number_ = 9;
  Value.Entry_ = "node-a";
  Value.Timeout_ = Millis{4900};
  return Value;
}

Heartbeat someHeartbeat() {
  Heartbeat Value;
  Value.Headroom_ =
      Headroom{"node-a", Size, Resources{1, 2, 3, 4, 5},
               Resources{6, 7, 8, 9, 10}, Resources{11, 12, 13, 14, 15}};
  Value.ConfigVersion_ = 17;
  Value.ConfigHash_ = "abc";
  Value.Leaving_ = true;
  return Value;
}

/// Encodes to text and back, as between two nodes.
template <typename Message, typename Decode>
bool survives(const Message &Value, Decode Decoder) {
  const auto Parsed = parseJson(writeJson(encode(Value)), "test");
  if (!Parsed)
    return false;
  const auto Back = Decoder(Parsed.value());
  return Back && Back.value() == Value;
}

/// The field that a decoder names in its refusal; "accepted" if it does not
/// refuse, "exception" if it throws.
template <typename Decode>
std::string refusedField(const Json::Value &Value, Decode Decoder) {
  try {
    const auto Decoded = Decoder(Value);
    if (Decoded)
      return "accepted";
    return Decoded.error().Reason_ == Reason::InvalidField
               ? Decoded.error().Peer_
               : "other reason";
  } catch (const std::exception &) {
    return "exception";
  }
}

/// Each of the fields is named when it is missing.
template <typename Decode>
void checkMissing(const Json::Value &Whole,
                  const std::vector<std::string> &Fields, Decode Decoder) {
  for (const std::string &Field : Fields) {
    Json::Value Part = Whole;
    Part.removeMember(Field);
    BOOST_TEST(refusedField(Part, Decoder) == Field);
  }
  BOOST_TEST(refusedField(Json::Value(Json::arrayValue), Decoder) == "message");
  BOOST_TEST(refusedField(Json::Value("text"), Decoder) == "message");
}

/// Each of the fields is named when it has another JSON type.
template <typename Decode>
void checkMistyped(const Json::Value &Whole,
                   const std::vector<std::string> &Fields, Decode Decoder) {
  Json::Value Object(Json::objectValue);
  Object["x"] = 1;
  for (const std::string &Field : Fields) {
    Json::Value Wrong = Whole;
    Wrong[Field] = Object;
    BOOST_TEST(refusedField(Wrong, Decoder) == Field);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Messages)

// Guards against a field that is not sent or is read under another name.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesARoundTrip) {
  BOOST_TEST(survives(someReserve(), decodeReserveRequest));
  BOOST_TEST(survives(ReserveRequest{}, decodeReserveRequest));
  BOOST_TEST(survives(ReserveReply{{someAttempt()}}, decodeReserveReply));
  BOOST_TEST(survives(ReserveReply{}, decodeReserveReply));
  BOOST_TEST(survives(someStart(), decodeStartCommand));
  BOOST_TEST(survives(someList(), decodeAttemptList));
  BOOST_TEST(survives(someNotice(), decodeFinishedNotice));
  BOOST_TEST(survives(someExecute(), decodeExecuteRequest));
  BOOST_TEST(survives(someHeartbeat(), decodeHeartbeat));
  BOOST_TEST(survives(Heartbeat{}, decodeHeartbeat));
  for (const OwnerVerdict Verdict :
       {OwnerVerdict::Running, OwnerVerdict::Pending, OwnerVerdict::NotRun,
        OwnerVerdict::Lost})
    BOOST_TEST(survives(OwnerStatus{Verdict, {}}, decodeOwnerStatus));
  BOOST_TEST(
      survives(OwnerStatus{OwnerVerdict::Finished, makeAnswer(false, "dirty")},
               decodeOwnerStatus));
}

// Guards against a message that is acted on although a part is missing, and
// against a refusal that does not say which.
BOOST_AUTO_TEST_CASE(MissingFieldIsNamed) {
  checkMissing(encode(someReserve()),
               {"job", "home", "team", "class", "urgency", "tries", "size"},
               decodeReserveRequest);
  checkMissing(encode(ReserveReply{}), {"held"}, decodeReserveReply);
  checkMissing(encode(someStart()), {"job", "try", "run_ms", "payload"},
               decodeStartCommand);
  checkMissing(encode(someList()), {"job", "tries"}, decodeAttemptList);
  checkMissing(encode(someNotice()), {"attempt", "status"},
               decodeFinishedNotice);
  checkMissing(encode(someNotice().Status_), {"verdict"}, decodeOwnerStatus);
  checkMissing(encode(someExecute()), {"spec", "number", "entry", "timeout_ms"},
               decodeExecuteRequest);
  checkMissing(encode(someHeartbeat()), {"node", "free", "config"},
               decodeHeartbeat);
}

// Guards against a value of a newer or faulty peer that is taken as a default.
BOOST_AUTO_TEST_CASE(UnknownValueIsNamed) {
  Json::Value Value = encode(someReserve());
  Value["class"] = "cron";
  BOOST_TEST(refusedField(Value, decodeReserveRequest) == "class");
  Value = encode(someReserve());
  Value["urgency"] = "soon";
  BOOST_TEST(refusedField(Value, decodeReserveRequest) == "urgency");
  Value = encode(someReserve());
  Value["size"]["slots"] = -1;
  BOOST_TEST(refusedField(Value, decodeReserveRequest) == "size.slots");
  Value["size"] = "large";
  BOOST_TEST(refusedField(Value, decodeReserveRequest) == "size");
  Value = encode(someNotice());
  Value["status"]["verdict"] = "maybe";
  BOOST_TEST(refusedField(Value, decodeFinishedNotice) == "verdict");
  Value = encode(someExecute());
  Value["spec"]["colour"] = "red";
  BOOST_TEST(refusedField(Value, decodeExecuteRequest) == "colour");
}

// Guards against a field of the wrong type that ends the call with an
// exception of the JSON library or is read as empty.
BOOST_AUTO_TEST_CASE(MistypedFieldIsNamed) {
  checkMistyped(encode(someReserve()),
                {"job", "home", "team", "class", "urgency", "run_ms", "tries"},
                decodeReserveRequest);
  checkMistyped(encode(ReserveReply{}), {"held"}, decodeReserveReply);
  checkMistyped(encode(someStart()), {"job", "try", "run_ms", "payload"},
                decodeStartCommand);
  checkMistyped(encode(someList()), {"job", "tries"}, decodeAttemptList);
  checkMistyped(encode(someNotice().Status_), {"verdict"}, decodeOwnerStatus);
  checkMistyped(encode(someNotice()), {"attempt"}, decodeFinishedNotice);
  checkMistyped(encode(someExecute()), {"number", "entry", "timeout_ms"},
                decodeExecuteRequest);
  checkMistyped(encode(someHeartbeat()), {"node", "free", "config"},
                decodeHeartbeat);
}

// Guards against ids in a worker's listing that are read as another attempt.
BOOST_AUTO_TEST_CASE(AttemptIdIsSplit) {
  std::string Job;
  Attempt Try;
  BOOST_REQUIRE(splitAttemptId(attemptId("job", someAttempt()), Job, Try));
  BOOST_TEST(Job == "job");
  BOOST_TEST(Try.Member_ == 3);
  BOOST_TEST(Try.Number_ == 2);
  // The entry node's name may contain dots.
  BOOST_REQUIRE(splitAttemptId("lookup-10.0.0.1-ab.0.1", Job, Try));
  BOOST_TEST(Job == "lookup-10.0.0.1-ab");
}

// Guards against tasks that are adopted under an id that is none.
BOOST_AUTO_TEST_CASE(MalformedAttemptIdIsRefused) {
  std::string Job;
  Attempt Try;
  for (const char *Id : {"", ".", "..", "job", "job.1", ".1", "job..1",
                         "job.1.", "job.x.1", "job.1.x", "job.1x.1", "job.1.1x",
                         "job. 1.1", "job.+1.1", "job.1.99999999999999999999"})
    BOOST_TEST(!splitAttemptId(Id, Job, Try), "accepted \"" << Id << "\"");
}

// Guards against a member index below zero, and against an empty job id.
BOOST_AUTO_TEST_CASE(AttemptIdOutOfRangeIsRefused) {
  std::string Job;
  Attempt Try;
  for (const char *Id : {".0.1", "job.-1.1", "job.0.-1"})
    BOOST_TEST(!splitAttemptId(Id, Job, Try), "accepted \"" << Id << "\"");
}

BOOST_AUTO_TEST_SUITE_END()
