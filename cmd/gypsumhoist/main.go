// Command gypsumhoist runs and operates the fleet.
package main

import (
	"github.com/alecthomas/kong"
)

// commands holds all commands of the program.
type commands struct {
	Serve serveCmd `cmd:"" help:"Run one process of the fleet."`
	Check checkCmd `cmd:"" help:"Check settings files and say what is wrong with them."`
	Demo  demoCmd  `cmd:"" help:"Run a whole small fleet in this process and show what it does."`

	Table  tableCmd  `cmd:"" help:"Look at and edit the table."`
	Key    keyCmd    `cmd:"" help:"Grant and withdraw keys."`
	Status statusCmd `cmd:"" help:"Say which revision of the table is in force where."`
	Domain domainCmd `cmd:"" help:"Take failure domains out of the table."`

	Route      routeCmd      `cmd:"" help:"Say where a request would go now from one node, and why, without sending it."`
	Explain    explainCmd    `cmd:"" help:"Say what each instance decided about a request, and why."`
	Losses     lossesCmd     `cmd:"" help:"Say from saved logs which requests were lost, when, and where in their chain of calls it began."`
	Report     reportCmd     `cmd:"" help:"Report on the whole fleet."`
	Quarantine quarantineCmd `cmd:"" help:"Look at and lift quarantines of requests that crash upstreams."`
}

func main() {
	var cmds commands
	ctx := kong.Parse(&cmds,
		kong.Name("gypsumhoist"),
		kong.Description("Overload control for service call graphs: one table of workspaces and routes, made law by a fleet of small processes."),
		kong.UsageOnError(),
	)
	ctx.FatalIfErrorf(ctx.Run())
}
