// Command plumbarrow is the operator's command line. It also generates load, replays traces and runs the
// demo, the experiments and the stand-ins.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"
)

type arguments struct {
	Bills      *billsCommand      `arg:"subcommand:bills" help:"print the customers' totals"`
	Config     *configCommand     `arg:"subcommand:config" help:"check, apply and show the configuration"`
	Demo       *demoCommand       `arg:"subcommand:demo" help:"run a whole deployment in this process and send it requests"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"run a policy beside its baselines"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"print what became of a request and why"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send a mix of requests to a running deployment"`
	Replay     *replayCommand     `arg:"subcommand:replay" help:"play a trace through today's decisions"`
	Route      *routeCommand      `arg:"subcommand:route" help:"print where a request would go now and why, without sending it"`
	Rollout    *rolloutCommand    `arg:"subcommand:rollout" help:"start, watch, resume and abort roll-outs"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in of the platform, an engine or a service"`
	Status     *statusCommand     `arg:"subcommand:status" help:"print the state of entry instances"`
	Upgrade    *upgradeCommand    `arg:"subcommand:upgrade" help:"check whether this build may join a fleet"`
	Version    *versionCommand    `arg:"subcommand:version" help:"withdraw a version"`
	Zone       *zoneCommand       `arg:"subcommand:zone" help:"take a zone out of service and bring it back"`
}

// Epilogue ends the help text.
func (arguments) Epilogue() string {
	return "Exit codes: 0 accepted or ok, 1 refused, invalid or failed, 2 usage, 3 outcome unknown or not accepted yet, 4 unreachable."
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
	case args.Bills != nil:
		err = args.Bills.run()
	case args.Experiment != nil:
		err = args.Experiment.run()
	case args.Explain != nil:
		err = args.Explain.run()
	case args.Status != nil:
		err = args.Status.run()
	case args.Upgrade != nil:
		err = args.Upgrade.run()
	case args.Version != nil:
		err = args.Version.run()
	case args.Zone != nil:
		err = args.Zone.run()
	case args.Demo != nil:
		err = args.Demo.run()
	case args.Load != nil:
		err = args.Load.run()
	case args.Replay != nil:
		err = args.Replay.run()
	case args.Route != nil:
		err = args.Route.run()
	case args.Rollout != nil:
		err = args.Rollout.run()
	case args.Standin != nil:
		err = args.Standin.run()
	default:
		parser.WriteHelp(os.Stdout)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}
