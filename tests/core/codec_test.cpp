#include "core/codec.h"

#include <boost/test/unit_test.hpp>

using namespace damaskglade;

namespace {

JobSpec makeSpec() {
  JobSpec Spec;
  Spec.Team_ = "dock";
  Spec.Key_ = "wash-17";
  Spec.Class_ = TaskClass::Gang;
  Spec.Tasks_ = 4;
  Spec.Size_ = Resources{500, 128, 1, 1, 2};
  Spec.Payload_ = "crates";
  return Spec;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Codec)

// Guards against fields that are lost between a row's writer and its reader.
BOOST_AUTO_TEST_CASE(JobRecordSurvivesRoundTrip) {
  JobRecord Record;
  Record.Spec_ = makeSpec();
  Record.Id_ = jobIdFor(Record.Spec_);
  Record.State_ = JobState::Running;
  Record.Home_ = "n1";
  Record.HomeIncarnation_ = 3;
  Record.Submitted_ = Millis{1234};
  Record.Attempts_ = {Attempt{0, 2, "w1", "z/r", Millis{99}}};
  Record.Answers_ = {std::nullopt, makeAnswer(true, "done")};
  Record.Version_ = 7;
  const auto Decoded = decodeJobRecord(encodeJobRecord(Record), 7);
  BOOST_REQUIRE(Decoded);
  BOOST_TEST((Decoded.value() == Record));
}

// Guards against input that is silently dropped instead of refused.
BOOST_AUTO_TEST_CASE(SubmissionRejectsBadFields) {
  Json::Value Unknown = encodeJobSpec(makeSpec());
  Unknown["colour"] = "red";
  BOOST_TEST(decodeJobSpec(Unknown).error().Peer_ == "colour");
  Json::Value Negative = encodeJobSpec(makeSpec());
  Negative["size"]["memory_mib"] = -1;
  BOOST_TEST(decodeJobSpec(Negative).error().Peer_ == "size.memory_mib");
  Json::Value Mistyped = encodeJobSpec(makeSpec());
  Mistyped["tasks"] = "four";
  BOOST_TEST(decodeJobSpec(Mistyped).error().Peer_ == "tasks");
}

// Guards against a short answer that passes as a whole one.
BOOST_AUTO_TEST_CASE(TruncatedAnswerIsNotWhole) {
  Answer Full = makeAnswer(true, "whole answer");
  BOOST_TEST(isWhole(Full));
  const Answer Short{true, "whole", Full.Length_, Full.Digest_};
  BOOST_TEST(!isWhole(Short));
  const Answer Forged{true, "whole", 5, Full.Digest_};
  BOOST_TEST(!isWhole(Forged));
}

// Guards against two submissions that share an id although they differ.
BOOST_AUTO_TEST_CASE(JobIdsSeparateTeamAndKey) {
  JobSpec A = makeSpec();
  JobSpec B = makeSpec();
  A.Team_ = "ab";
  A.Key_ = "c";
  B.Team_ = "a";
  B.Key_ = "bc";
  BOOST_TEST(jobIdFor(A) != jobIdFor(B));
}

BOOST_AUTO_TEST_SUITE_END()
