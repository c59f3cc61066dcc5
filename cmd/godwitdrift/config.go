package main

import (
	"net/http"

	"github.com/samber/do/v2"
	"github.com/urfave/cli/v3"
)

func configCommand(i do.Injector) *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check, print and compare configurations",
		Description: help(sourceHelp, `
   godwitdrift config check deployment.toml
   godwitdrift config print --values published/ deployment.toml
   godwitdrift config diff http://192.0.2.2:8080 deployment.toml`),
		Commands: []*cli.Command{
			configCheckCommand(i),
			configPrintCommand(i),
			configDiffCommand(i),
		},
	}
}

func sourcesOf(i do.Injector) sources {
	return sources{console: do.MustInvoke[console](i), http: do.MustInvoke[*http.Client](i)}
}
