package cmd

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"
)

// examples is the output of the help command.
const examples = `The language, by examples (send one with: spoolbank run STATEMENT)

  show targets                                  what there is
  show targets where hall = nabua and state != up
  show vms | leases | replicas                  the system's own VMs
  show requests where state = running           asked of every entry VM
  show quarantine                               requests and parts of prompts that crashed their targets
  show limits                                   targets that take so many requests a second, asked of every entry VM
  show unread                                   names that targets use and nothing reads, of every entry VM
  show backoffs                                    targets that want nothing for now, asked of every entry VM
  show pipelines | models | events | organisations | services | config

  declare model fiji layers=32 versions=[v3, v4] adapters=[notices]
  declare pipeline digest model=fiji version=v3 class=1 max_tokens=128
  declare service sign-portal class=0 repeatable=["GET /status"]
  declare target r07 address="10.0.0.7:9000" hall=nabua accelerator=a100 speed=4000 memory=16 slots=8 fence=true
  declare target s1 address="10.0.0.9:9000" hall=nabua service=sign-portal slots=32
  declare organisation bula key=HASH weight=3 limit=200
  declare event open start=2026-12-03T22:00:00Z end=2026-12-03T23:00:00Z pipelines=[digest]

  set pipeline digest version=v4                some fields of what is declared
  drain vm walu-bay-1                           no new work, what runs is finished
  admit vm walu-bay-1                           take it back
  drain target r07
  remove event open
  remove quarantine FINGERPRINT                 let one of these go
  remove backoff i-7f3a91c2                        ask a target again that wanted to be left alone

Classes run from 0 (first) to 3. A word that reads as a number is one; quote it
to make it a text. A command carries --operator and --number: sent again under
the same number it takes effect once. --expect REVISION refuses it when someone
else was faster. --wait 8s waits until it is in force on every entry VM.

Other subcommands: apply FILE, dump VM, log FILE, policy list|show VM,
key hash|authority|certificate.

Exit codes: 0 done, 1 not reached, 2 wrong statement or flags, 3 refused,
4 not known whether it took effect.
`

// helpCommand prints the examples.
func (r *root) helpCommand() *ff.Command {
	return &ff.Command{
		Name:      "help",
		Usage:     "spoolbank help",
		ShortHelp: "teach the language by examples",
		Flags:     ff.NewFlagSet("help").SetParent(r.flags),
		Exec: func(context.Context, []string) error {
			_, err := fmt.Fprint(r.stdout, examples)
			return err
		},
	}
}
