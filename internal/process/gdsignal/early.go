package gdsignal

// #include <signal.h>
//
// __attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
import "C"
