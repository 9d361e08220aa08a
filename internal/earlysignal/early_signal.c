//go:build linux && cgo

#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

// The variable that names the settings file of a node: process.SettingsVariable.
#define SETTINGS_VARIABLE "LARCHROUTER_NODE_FILE"

static int installed;

// end_during_start ends the process. The Go runtime calls it for a SIGTERM that the program does not handle yet.
static void end_during_start(int signal_number)
{
	static const char line[] = "t=0.000 msg=\"process ends\" cause=stopped phase=start code=0\n";
	ssize_t written = write(STDERR_FILENO, line, sizeof line - 1);
	(void)written;
	(void)signal_number;
	_exit(0);
}

// set_handler sets the handler of a signal whose disposition is the default one, and reports whether it did.
static int set_handler(int signal_number, void (*handler)(int))
{
	struct sigaction current;
	if (sigaction(signal_number, NULL, &current) != 0 || current.sa_handler != SIG_DFL)
		return 0;
	struct sigaction action;
	memset(&action, 0, sizeof action);
	action.sa_handler = handler;
	action.sa_flags = SA_ONSTACK | SA_RESTART;
	return sigaction(signal_number, &action, NULL) == 0;
}

// Constructors run before the Go runtime starts.
__attribute__((constructor)) static void handle_early_signals(void)
{
	if (getenv(SETTINGS_VARIABLE) == NULL)
		return;
	set_handler(SIGHUP, SIG_IGN);
	set_handler(SIGUSR1, SIG_IGN);
	installed = set_handler(SIGTERM, end_during_start);
}

void larchrouter_release_early_signals(void)
{
	if (installed)
		signal(SIGTERM, SIG_DFL);
}
