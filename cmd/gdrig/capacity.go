package main

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/rig/gdcapacity"
)

const capacityHelp = `Measures the memory, processor time and traffic that flows, feeds and requests
cost a balancer and an agent, at several sizes. Prints for each cost the slope of
the regression line, its value at size 0, the coefficient of determination and
the measurements. The figures of docs/CAPACITY.md are computed from these slopes.

Example:
   gdrig capacity --flows 500 --flows 1000 --flows 2000`

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:        "capacity",
		Usage:       "measure the cost of flows, feeds and requests",
		Description: capacityHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "binary", Usage: "godwitdrift program (default: in the directory of gdrig)"},
			&cli.IntSliceFlag{Name: "agents", Usage: "numbers of agents of one service", Value: []int{1, 2, 4, 8}},
			&cli.IntSliceFlag{Name: "flows", Usage: "numbers of idle flows", Value: []int{250, 500, 1000, 2000}},
			&cli.IntSliceFlag{Name: "feeds", Usage: "numbers of open feeds", Value: []int{250, 500, 1000}},
			&cli.IntSliceFlag{Name: "requests", Usage: "numbers of requests", Value: []int{1000, 2000, 4000}},
		},
		Action: capacity,
	}
}

func capacity(ctx context.Context, cmd *cli.Command) error {
	binary, err := godwitdriftBinary(cmd)
	if err != nil {
		return err
	}
	m := &gdcapacity.Meter{
		Binary:   binary,
		Agents:   cmd.IntSlice("agents"),
		Flows:    cmd.IntSlice("flows"),
		Feeds:    cmd.IntSlice("feeds"),
		Requests: cmd.IntSlice("requests"),
		Progress: printStep,
	}
	series, err := m.Measure(ctx)
	for _, s := range series {
		fmt.Println(s)
	}
	return err
}
