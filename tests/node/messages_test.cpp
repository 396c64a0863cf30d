#include "node/messages.h"

#include "core/codec.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;
using namespace damaskglade::node;

namespace {

constexpr Resources Size{1000, 2048, 1, 2, 3};

Attempt sampleAttempt() { return Attempt{3, 2, "w1", "z1/r1", Millis{12345}}; }

ReserveRequest sampleReserve() {
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
  Value.Tries_ = {sampleAttempt(), Attempt{4, 1, {}, {}, {}}};
  return Value;
}

StartCommand sampleStart() {
  return StartCommand{"job", sampleAttempt(), Millis{60000}, "\"payload\"\n"};
}

AttemptList sampleList() { return AttemptList{"job", {sampleAttempt()}}; }

FinishedNotice sampleNotice() {
  return FinishedNotice{"job.3.2", OwnerStatus{OwnerVerdict::Finished,
                                               makeAnswer(true, "clean")}};
}

ExecuteRequest sampleExecute() {
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

Heartbeat sampleHeartbeat() {
  Heartbeat Value;
  Value.Headroom_ =
      Headroom{"node-a", Size, Resources{1, 2, 3, 4, 5},
               Resources{6, 7, 8, 9, 10}, Resources{11, 12, 13, 14, 15}};
  Value.ConfigVersion_ = 17;
  Value.ConfigHash_ = "abc";
  Value.Leaving_ = true;
  return Value;
}

/// True if a message is equal after encoding to text and decoding, as between
/// two nodes.
template <typename Message, typename Decode>
bool roundTrips(const Message &Value, Decode Decoder) {
  const auto Parsed = parseJson(writeJson(encode(Value)), "test");
  if (!Parsed)
    return false;
  const auto DecodedValue = Decoder(Parsed.value());
  return DecodedValue && DecodedValue.value() == Value;
}

/// The field that a decoder names in its error; "accepted" if it returns no
/// error, "exception" if it throws.
template <typename Decode>
std::string rejectedField(const Json::Value &Value, Decode Decoder) {
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

/// Checks that the error names each of the fields when it is missing.
template <typename Decode>
void checkMissing(const Json::Value &Complete,
                  const std::vector<std::string> &Fields, Decode Decoder) {
  for (const std::string &Field : Fields) {
    Json::Value Incomplete = Complete;
    Incomplete.removeMember(Field);
    BOOST_TEST(rejectedField(Incomplete, Decoder) == Field);
  }
  BOOST_TEST(rejectedField(Json::Value(Json::arrayValue), Decoder) ==
             "message");
  BOOST_TEST(rejectedField(Json::Value("text"), Decoder) == "message");
}

/// Checks that the error names each of the fields when it has another JSON
/// type.
template <typename Decode>
void checkMistyped(const Json::Value &Complete,
                   const std::vector<std::string> &Fields, Decode Decoder) {
  Json::Value WrongType(Json::objectValue);
  WrongType["x"] = 1;
  for (const std::string &Field : Fields) {
    Json::Value Mistyped = Complete;
    Mistyped[Field] = WrongType;
    BOOST_TEST(rejectedField(Mistyped, Decoder) == Field);
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Messages)

// Guards against fields that are not sent, or are read under another name.
BOOST_AUTO_TEST_CASE(EveryMessageSurvivesARoundTrip) {
  BOOST_TEST(roundTrips(sampleReserve(), decodeReserveRequest));
  BOOST_TEST(roundTrips(ReserveRequest{}, decodeReserveRequest));
  BOOST_TEST(roundTrips(ReserveReply{{sampleAttempt()}}, decodeReserveReply));
  BOOST_TEST(roundTrips(ReserveReply{}, decodeReserveReply));
  BOOST_TEST(roundTrips(sampleStart(), decodeStartCommand));
  BOOST_TEST(roundTrips(sampleList(), decodeAttemptList));
  BOOST_TEST(roundTrips(sampleNotice(), decodeFinishedNotice));
  BOOST_TEST(roundTrips(sampleExecute(), decodeExecuteRequest));
  BOOST_TEST(roundTrips(sampleHeartbeat(), decodeHeartbeat));
  BOOST_TEST(roundTrips(Heartbeat{}, decodeHeartbeat));
  for (const OwnerVerdict Verdict :
       {OwnerVerdict::Running, OwnerVerdict::Pending, OwnerVerdict::NotRun,
        OwnerVerdict::Lost})
    BOOST_TEST(roundTrips(OwnerStatus{Verdict, {}}, decodeOwnerStatus));
  BOOST_TEST(roundTrips(
      OwnerStatus{OwnerVerdict::Finished, makeAnswer(false, "dirty")},
      decodeOwnerStatus));
}

// Guards against incomplete messages that are accepted, and against errors that
// do not name the missing field.
BOOST_AUTO_TEST_CASE(MissingFieldIsNamed) {
  checkMissing(encode(sampleReserve()),
               {"job", "home", "team", "class", "urgency", "tries", "size"},
               decodeReserveRequest);
  checkMissing(encode(ReserveReply{}), {"held"}, decodeReserveReply);
  checkMissing(encode(sampleStart()), {"job", "try", "run_ms", "payload"},
               decodeStartCommand);
  checkMissing(encode(sampleList()), {"job", "tries"}, decodeAttemptList);
  checkMissing(encode(sampleNotice()), {"attempt", "status"},
               decodeFinishedNotice);
  checkMissing(encode(sampleNotice().Status_), {"verdict"}, decodeOwnerStatus);
  checkMissing(encode(sampleExecute()),
               {"spec", "number", "entry", "timeout_ms"}, decodeExecuteRequest);
  checkMissing(encode(sampleHeartbeat()), {"node", "free", "config"},
               decodeHeartbeat);
}

// Guards against unknown values from a newer or faulty peer that are read as
// the default.
BOOST_AUTO_TEST_CASE(UnknownValueIsNamed) {
  Json::Value Value = encode(sampleReserve());
  Value["class"] = "cron";
  BOOST_TEST(rejectedField(Value, decodeReserveRequest) == "class");
  Value = encode(sampleReserve());
  Value["urgency"] = "soon";
  BOOST_TEST(rejectedField(Value, decodeReserveRequest) == "urgency");
  Value = encode(sampleReserve());
  Value["size"]["slots"] = -1;
  BOOST_TEST(rejectedField(Value, decodeReserveRequest) == "size.slots");
  Value["size"] = "large";
  BOOST_TEST(rejectedField(Value, decodeReserveRequest) == "size");
  Value = encode(sampleNotice());
  Value["status"]["verdict"] = "maybe";
  BOOST_TEST(rejectedField(Value, decodeFinishedNotice) == "verdict");
  Value = encode(sampleExecute());
  Value["spec"]["colour"] = "red";
  BOOST_TEST(rejectedField(Value, decodeExecuteRequest) == "colour");
}

// Guards against fields of the wrong type that are read as empty, or that raise
// an exception of the JSON library.
BOOST_AUTO_TEST_CASE(MistypedFieldIsNamed) {
  checkMistyped(encode(sampleReserve()),
                {"job", "home", "team", "class", "urgency", "run_ms", "tries"},
                decodeReserveRequest);
  checkMistyped(encode(ReserveReply{}), {"held"}, decodeReserveReply);
  checkMistyped(encode(sampleStart()), {"job", "try", "run_ms", "payload"},
                decodeStartCommand);
  checkMistyped(encode(sampleList()), {"job", "tries"}, decodeAttemptList);
  checkMistyped(encode(sampleNotice().Status_), {"verdict"}, decodeOwnerStatus);
  checkMistyped(encode(sampleNotice()), {"attempt"}, decodeFinishedNotice);
  checkMistyped(encode(sampleExecute()), {"number", "entry", "timeout_ms"},
                decodeExecuteRequest);
  checkMistyped(encode(sampleHeartbeat()), {"node", "free", "config"},
                decodeHeartbeat);
}

// Guards against attempt ids in a worker's listing that are read as those of
// another attempt.
BOOST_AUTO_TEST_CASE(AttemptIdIsSplit) {
  std::string Job;
  Attempt Try;
  BOOST_REQUIRE(splitAttemptId(attemptId("job", sampleAttempt()), Job, Try));
  BOOST_TEST(Job == "job");
  BOOST_TEST(Try.Member_ == 3);
  BOOST_TEST(Try.Number_ == 2);
  // The entry node's name may contain dots.
  BOOST_REQUIRE(splitAttemptId("lookup-10.0.0.1-ab.0.1", Job, Try));
  BOOST_TEST(Job == "lookup-10.0.0.1-ab");
}

// Guards against tasks that are adopted under a malformed attempt id.
BOOST_AUTO_TEST_CASE(MalformedAttemptIdIsRefused) {
  std::string Job;
  Attempt Try;
  for (const char *Id : {"", ".", "..", "job", "job.1", ".1", "job..1",
                         "job.1.", "job.x.1", "job.1.x", "job.1x.1", "job.1.1x",
                         "job. 1.1", "job.+1.1", "job.1.99999999999999999999"})
    BOOST_TEST(!splitAttemptId(Id, Job, Try), "accepted \"" << Id << "\"");
}

// Guards against negative member indexes and attempt numbers, and against empty
// job ids.
BOOST_AUTO_TEST_CASE(AttemptIdOutOfRangeIsRefused) {
  std::string Job;
  Attempt Try;
  for (const char *Id : {".0.1", "job.-1.1", "job.0.-1"})
    BOOST_TEST(!splitAttemptId(Id, Job, Try), "accepted \"" << Id << "\"");
}

BOOST_AUTO_TEST_SUITE_END()
