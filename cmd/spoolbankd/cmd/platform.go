package cmd

import (
	"io"

	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/platform"
	"github.com/spoolbank/spoolbank/settings"
)

// servePlatform runs the daemon on the users' platform until it exits.
func servePlatform(stdout io.Writer, policy settings.Policy) error {
	log, flush := daemon.NewLogger(stdout)
	defer flush()
	err := platform.Run(log, policy)
	if err != nil {
		log.Error(err, "process ends")
	}
	return err
}
