#include "core/codec.h"
#include "main/cli_run.h"

#include <boost/algorithm/string/join.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <filesystem>
#include <fstream>
#include <gflags/gflags.h>
#include <sstream>

using namespace damaskglade;
using namespace damaskglade::cli;

namespace {

// Answers with prepared replies and records the requests.
class FakeApi : public NodeApi {
public:
  Result<ApiReply> get(const std::string &Path, Millis) override {
    Requests_.push_back("GET " + Path);
    return next();
  }
  Result<ApiReply> send(const std::string &Method, const std::string &Path,
                        const std::string &Body, const std::string &,
                        Millis) override {
    Requests_.push_back(Method + " " + Path);
    Bodies_.push_back(Body);
    return next();
  }

  std::deque<Result<ApiReply>> Replies_;
  std::vector<std::string> Requests_;
  std::vector<std::string> Bodies_;

private:
  Result<ApiReply> next() {
    if (Replies_.empty())
      return Error{Reason::ConnectFailed, Effect::None, "call node", "", "no"};
    auto Reply = std::move(Replies_.front());
    Replies_.pop_front();
    return Reply;
  }
};

// Passes calls on to an API that outlives the command.
class SharedApi : public NodeApi {
public:
  explicit SharedApi(FakeApi &Target) : Target_(Target) {}
  Result<ApiReply> get(const std::string &Path, Millis Timeout) override {
    return Target_.get(Path, Timeout);
  }
  Result<ApiReply> send(const std::string &Method, const std::string &Path,
                        const std::string &Body, const std::string &Type,
                        Millis Timeout) override {
    return Target_.send(Method, Path, Body, Type, Timeout);
  }

private:
  FakeApi &Target_;
};

struct Fixture {
  int run(const std::vector<std::string> &Arguments) {
    const gflags::FlagSaver Saver;
    Out_.str("");
    Err_.str("");
    return static_cast<int>(runCli(
        Arguments,
        [this](const auto &) { return std::make_unique<SharedApi>(Api_); },
        Out_, Err_));
  }
  void reply(int Status, const std::string &Body) {
    Api_.Replies_.emplace_back(ApiReply{Status, Body});
  }

  FakeApi Api_;
  std::ostringstream Out_;
  std::ostringstream Err_;
};

const std::vector<std::string> Submit = {"submit", "--team=dock", "--key=w1",
                                         "--class=batch"};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Cli, Fixture)

// Guards against bad input that reaches a node, ends in an exception, or has
// the exit code of another failure.
BOOST_AUTO_TEST_CASE(WrongUsageIsRefusedLocally) {
  const std::vector<std::vector<std::string>> Lines = {
      {},
      {"frobnicate"},
      {"status"},
      {"status", ""},
      {"status", "a", "b"},
      {"config"},
      {"config", "push", "dir"},
      {"nodes", "--bogus"},
      {"nodes", "--flagfile=/dev/null"},
      {"nodes", "--team=dock"},
      {"nodes", "--timeout_ms=0"},
      {"nodes", "--timeout_ms=soon"},
      {"nodes", "--timeout_ms"},
      {"nodes", "--output=xml"},
      {"nodes", "--server=localhost:7000"},
      {"nodes", "--server="},
      {"submit", "--team=dock", "--key=w1", "--class=poetry"},
      {"submit", "--team=dock", "--class=batch"},
      {"submit", "--team=dock", "--key=w1", "--class=batch", "--tasks=-1"},
  };
  for (const auto &Line : Lines) {
    const std::string Words = boost::algorithm::join(Line, " ");
    BOOST_TEST_CONTEXT(Words) {
      BOOST_TEST(run(Line) == 2);
      BOOST_TEST(!Err_.str().empty());
      BOOST_TEST(Out_.str().empty());
    }
  }
  BOOST_TEST(Api_.Requests_.empty());
}

// Guards against commands without help.
BOOST_AUTO_TEST_CASE(EachCommandHasHelp) {
  BOOST_TEST(run({"--help"}) == 0);
  BOOST_TEST(Out_.str().find("quarantine ID") != std::string::npos);
  BOOST_TEST(run({"submit", "--help"}) == 0);
  BOOST_TEST(Out_.str().find("--non_idempotent") != std::string::npos);
  BOOST_TEST(Out_.str().find("exit codes:") != std::string::npos);
  BOOST_TEST(run({"help", "config", "push"}) == 0);
  BOOST_TEST(Out_.str().find("--based_on") != std::string::npos);
}

// Guards against flags that do not arrive in the submission.
BOOST_AUTO_TEST_CASE(SubmitSendsEachField) {
  reply(202, R"({"id":"j1","state":"queued","ran":"pending"})");
  BOOST_TEST(run({"submit", "--team", "dock", "--key=w1", "--class=gang",
                  "--urgency=urgent", "--milli_cpus=500", "--memory_mib=128",
                  "--accelerators=1", "--slots=2", "--connections=3",
                  "--tasks=4", "--run_ms=50", "--deadline_ms=900",
                  "--non_idempotent", "--payload=crates"}) == 0);
  const auto Spec = decodeJobSpec(parseJson(Api_.Bodies_[0], "test").value());
  const JobSpec Expected{"dock",
                         "w1",
                         TaskClass::Gang,
                         Urgency::Urgent,
                         Resources{500, 128, 1, 2, 3},
                         4,
                         Millis{50},
                         Millis{900},
                         false,
                         "crates"};
  BOOST_TEST((Spec.value() == Expected));
  BOOST_TEST(Api_.Requests_[0] == "POST /v1/jobs");
  BOOST_TEST(Out_.str() == "id     j1\nran    pending\nstate  queued\n");
}

// Guards against exit codes that hide whether the work ran.
BOOST_AUTO_TEST_CASE(ExitCodeTellsWhatIsKnown) {
  reply(429, R"({"error":{"reason":"queue_full","message":"full",)"
             R"("ran":"not_run","retry_after_ms":500}})");
  BOOST_TEST(run(Submit) == 1);
  BOOST_TEST(Err_.str() == "damaskglade: queue_full: full; no effect; retry "
                           "after 500 ms\n");
  reply(504, R"({"error":{"reason":"timeout","message":"late",)"
             R"("ran":"unknown"}})");
  BOOST_TEST(run(Submit) == 3);
  BOOST_TEST(Err_.str().find("same key is safe") != std::string::npos);
  reply(500, "<html>not an error of the API</html>");
  BOOST_TEST(run(Submit) == 3);
  reply(200, "[broken");
  BOOST_TEST(run(Submit) == 3);
  Api_.Replies_.emplace_back(
      Error{Reason::AnswerLost, Effect::Unknown, "call node", "n1", "reset"});
  BOOST_TEST(run({"cancel", "j1"}) == 3);
  BOOST_TEST(run({"nodes"}) == 4);
}

// Guards against a wait that ends early or reports a failed job as done.
BOOST_AUTO_TEST_CASE(WaitReportsTheOutcomeOfTheJob) {
  const auto Whole = [](bool Ok, const std::string &Text) {
    Json::Value Job;
    Job["state"] = "finished";
    Job["tasks"].append(encodeAnswer(makeAnswer(Ok, Text)));
    return Job;
  };
  reply(200, R"({"state":"running","ran":"pending"})");
  reply(200, writeJson(Whole(true, "done")));
  BOOST_TEST(run({"wait", "j/1"}) == 0);
  BOOST_TEST(Api_.Requests_[0].find("GET /v1/jobs/j%2F1/wait?timeout_ms=") ==
             0U);
  reply(200, writeJson(Whole(false, "dirty")));
  BOOST_TEST(run({"wait", "j1"}) == 1);
  Json::Value Short = Whole(true, "whole answer");
  Short["tasks"][0]["answer"] = "whole";
  reply(200, writeJson(Short));
  BOOST_TEST(run({"wait", "j1"}) == 3);
  reply(200, R"({"state":"canceled","ran":"not_run"})");
  BOOST_TEST(run({"wait", "j1"}) == 1);
  reply(200, R"({"state":"canceled","ran":"unknown"})");
  BOOST_TEST(run({"wait", "j1"}) == 3);
  reply(200, R"({"state":"running","ran":"pending"})");
  BOOST_TEST(run({"wait", "j1", "--timeout_ms=50"}) == 3);
  reply(202, R"({"state":"queued"})");
  reply(200, R"({"state":"not_run","ran":"not_run"})");
  std::vector<std::string> Line = Submit;
  Line.emplace_back("--wait");
  BOOST_TEST(run(Line) == 1);
}

// Guards against a push of a folder with errors, and against operators who are
// not told all of them.
BOOST_AUTO_TEST_CASE(ConfigIsCheckedBeforeThePush) {
  const std::filesystem::path Dir =
      std::filesystem::temp_directory_path() /
      ("damaskglade-cli-test-" + std::to_string(getpid()));
  std::filesystem::create_directories(Dir);
  std::ofstream(Dir / "10.ini") << "[ownership]\nlease_ms = x\ncolour = 1\n";
  BOOST_TEST(run({"config", "push", Dir.string(), "--based_on=3"}) == 1);
  BOOST_TEST(Api_.Requests_.empty());
  BOOST_TEST(Err_.str().find("10.ini:2: ") != std::string::npos);
  BOOST_TEST(Err_.str().find("10.ini:3: ") != std::string::npos);
  BOOST_TEST(run({"config", "check", Dir.string(), "--output=json"}) == 1);
  const auto Report = parseJson(Out_.str(), "test");
  BOOST_TEST(Report.value()["problems"].size() == 2U);

  std::ofstream(Dir / "10.ini") << "[ownership]\nlease_ms = 4500\n";
  reply(409, R"({"error":{"reason":"version_moved","message":)"
             R"("version moved, yours was based on 3","ran":"not_run"}})");
  BOOST_TEST(run({"config", "push", Dir.string(), "--based_on=3"}) == 1);
  BOOST_TEST(Api_.Requests_[0] == "PUT /v1/config?based_on=3");
  BOOST_TEST(Api_.Bodies_[0] == "[ownership]\nlease_ms = 4500\n");
  BOOST_TEST(Err_.str().find("yours was based on 3") != std::string::npos);
  std::filesystem::remove_all(Dir);
  BOOST_TEST(run({"config", "check", Dir.string()}) == 1);
}

// Guards against lists that lose rows or members.
BOOST_AUTO_TEST_CASE(ListsArePrintedAsTables) {
  const std::string Body = R"({"nodes":[{"id":"n1","zone":"a","live":true},)"
                           R"({"id":"node-2","zone":"b"}],"shards":[]})";
  reply(200, Body);
  BOOST_TEST(run({"nodes"}) == 0);
  BOOST_TEST(Out_.str() == "shards  []\n"
                           "nodes:\n"
                           "id      live  zone\n"
                           "n1      true  a\n"
                           "node-2  -     b\n");
  reply(200, Body);
  BOOST_TEST(run({"nodes", "--output", "json"}) == 0);
  BOOST_TEST((parseJson(Out_.str(), "test").value() ==
              parseJson(Body, "test").value()));
  reply(200, R"({"version":2,"text":"[retry]\nbudget_percent = 5\n"})");
  BOOST_TEST(run({"config", "show"}) == 0);
  BOOST_TEST(Out_.str() == "version  2\ntext:\n[retry]\nbudget_percent = 5\n");
  reply(200, R"({"worker":"w1","action":"drain"})");
  BOOST_TEST(run({"drain", "w1"}) == 0);
  BOOST_TEST(Api_.Requests_.back() == "POST /v1/workers/w1/drain");
}

BOOST_AUTO_TEST_SUITE_END()
