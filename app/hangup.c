//go:build cgo

#include <signal.h>

static void (*inherited_hangup)(int);

/* Runs when the program is loaded, before the Go runtime starts, which takes some tens of milliseconds to reach main. */
__attribute__((constructor)) static void ignore_hangup(void) { inherited_hangup = signal(SIGHUP, SIG_IGN); }

void restore_hangup(void) { signal(SIGHUP, inherited_hangup); }
