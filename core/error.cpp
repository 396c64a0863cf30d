#include "core/error.h"

namespace damaskglade {

std::string describe(const Error &Failure) {
  std::string Text = Failure.Step_;
  if (!Failure.Peer_.empty())
    Text += " (" + Failure.Peer_ + ")";
  Text += ": ";
  Text += reasonName(Failure.Reason_);
  if (!Failure.Message_.empty())
    Text += ": " + Failure.Message_;
  return Text;
}

} // namespace damaskglade
