// Command plumbarrow is the operator's command line.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Config     *configCommand     `arg:"subcommand:config" help:"check, apply and show the configuration"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"run a policy beside its baselines"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a mix of requests to a running deployment"`
	Replay     *replayCommand     `arg:"subcommand:replay" help:"play a trace through today's decisions"`
	Rollout    *rolloutCommand    `arg:"subcommand:rollout" help:"start, watch, resume and abort roll-outs"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a service"`
}

// Description heads the help text.
func (arguments) Description() string { return "plumbarrow operates a fleet of entry instances." }

func main() {
	var args arguments
	parser := arg.MustParse(&args)
	var err error
	switch {
	case args.Config != nil:
		err = args.Config.run()
	case args.Experiment != nil:
		err = args.Experiment.run()
	case args.Load != nil:
		err = args.Load.run()
	case args.Replay != nil:
		err = args.Replay.run()
	case args.Rollout != nil:
		err = args.Rollout.run()
	case args.Standin != nil:
		err = args.Standin.run()
	default:
		parser.WriteHelp(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
