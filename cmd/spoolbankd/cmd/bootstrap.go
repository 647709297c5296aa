package cmd

import (
	"errors"
	"fmt"
	"io"

	"github.com/spoolbank/spoolbank/internal/core"
	"github.com/spoolbank/spoolbank/internal/daemon"
	"github.com/spoolbank/spoolbank/settings"
)

// bootstrap initialises the data folder of the first voter of a new cluster.
func bootstrap(s settings.Settings, stdout io.Writer) error {
	if !s.HasRole(settings.RoleControl) {
		return errors.New("bootstrap is for a control VM; use the settings of one")
	}
	if err := daemon.Bootstrap(s.Data, core.VMName(s.Name)); err != nil {
		return err
	}
	fmt.Fprintf(stdout, "%s is the first voter of a new cluster; start it, then the other control VMs, which join by themselves\n", s.Name)
	return nil
}
