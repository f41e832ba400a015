// Package hangup keeps a SIGHUP that comes before the program handles it, while it is still
// being loaded, from ending the process. A program that imports it ignores SIGHUP until it
// asks for the signal by package os/signal.
package hangup

/*
#include <signal.h>

// Runs before the Go runtime starts, which leaves an ignored SIGHUP ignored.
__attribute__((constructor)) static void ignore_hangup(void)
{
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
