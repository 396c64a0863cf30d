#ifndef DAMASKGLADE_TESTS_FAKES_PROPERTY_H
#define DAMASKGLADE_TESTS_FAKES_PROPERTY_H

#include <iostream>
#include <rapidcheck.h>

namespace damaskglade::fakes {

/// Checks a property with a fixed seed, so that failures are reproducible.
/// Returns whether it held; otherwise rapidcheck prints the counterexample.
template <typename Property>
bool holds(const char *Description, Property Body) {
  rc::detail::TestMetadata Metadata;
  Metadata.id = Description;
  Metadata.description = Description;
  rc::detail::TestParams Params;
  Params.seed = 20261204;
  Params.maxSuccess = 200;
  const rc::detail::TestResult Outcome =
      rc::detail::checkTestable(Body, Metadata, Params);
  rc::detail::printResultMessage(Outcome, std::cerr);
  std::cerr << "\n";
  return Outcome.template is<rc::detail::SuccessResult>();
}

} // namespace damaskglade::fakes

#endif
