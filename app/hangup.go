package app

// void restore_hangup(void);
import "C"

// restoreHangup gives SIGHUP the meaning that the process inherited, which mostly ends it. From the load of the program on it
// is ignored: a reload may be requested before the router has registered its handler, and needs no answer then, because the
// settings are read afterwards.
func restoreHangup() { C.restore_hangup() }
