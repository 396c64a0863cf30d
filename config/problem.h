#ifndef DAMASKGLADE_CONFIG_PROBLEM_H
#define DAMASKGLADE_CONFIG_PROBLEM_H

#include "core/error.h"

#include <compare>
#include <string>
#include <vector>

namespace damaskglade::config {

/// An error in a settings file. Line_ is 0 if it concerns the whole.
struct Problem {
  std::string File_;
  int Line_ = 0;
  std::string Message_;

  friend auto operator<=>(const Problem &, const Problem &) = default;
};

/// "file:line: message".
std::string describe(const Problem &Value);

/// An invalid_field error that names all problems, one a line.
Error problemError(const std::vector<Problem> &Problems);

} // namespace damaskglade::config

#endif
