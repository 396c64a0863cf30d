#include "main/cli_http.h"
#include "main/cli_run.h"

#include <exception>
#include <iostream>

using namespace damaskglade;

int main(int ArgCount, char **Args) {
  try {
    const std::vector<std::string> Arguments(Args + 1, Args + ArgCount);
    return static_cast<int>(
        cli::runCli(Arguments, cli::makeHttpApi, std::cout, std::cerr));
  } catch (const std::exception &Failure) {
    std::cerr << "damaskglade: internal error: " << Failure.what() << "\n";
    return static_cast<int>(cli::ExitCode::OutcomeUnknown);
  }
}
