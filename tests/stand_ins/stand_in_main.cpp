#include "tests/stand_ins/stand_in_main.h"

#include <csignal>
#include <cstdlib>
#include <unistd.h>

namespace damaskglade::stand_ins {

namespace {

sigset_t stopSignals() {
  sigset_t Signals;
  sigemptyset(&Signals);
  sigaddset(&Signals, SIGTERM);
  sigaddset(&Signals, SIGINT);
  return Signals;
}

} // namespace

void blockStopSignals() {
  const sigset_t Signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &Signals, nullptr);
}

void runUntilStopped() {
  const sigset_t Signals = stopSignals();
  int Received = 0;
  sigwait(&Signals, &Received);
  _exit(EXIT_SUCCESS);
}

} // namespace damaskglade::stand_ins
