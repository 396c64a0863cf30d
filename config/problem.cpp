#include "config/problem.h"

namespace damaskglade::config {

std::string describe(const Problem &Value) {
  std::string Text = Value.File_.empty() ? "settings" : Value.File_;
  if (Value.Line_ > 0)
    Text += ":" + std::to_string(Value.Line_);
  return Text + ": " + Value.Message_;
}

Error problemError(const std::vector<Problem> &Problems) {
  std::string Text;
  for (const Problem &Each : Problems)
    Text += (Text.empty() ? "" : "\n") + describe(Each);
  return Error{Reason::InvalidField, Effect::None, "check settings",
               Problems.empty() ? "" : Problems.front().File_, Text};
}

} // namespace damaskglade::config
