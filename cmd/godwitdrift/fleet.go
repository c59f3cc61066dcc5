package main

import (
	"cmp"
	"context"
	"net/http"
	"slices"

	"github.com/pkg/errors"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/urfave/cli/v3"

	"godwitdrift.example/godwitdrift/internal/operate/gdoperator"
	"godwitdrift.example/godwitdrift/internal/platform/gdplatform"
)

// target is a process to query.
type target struct {
	name    string
	address string
	leaving bool
}

// fleetFlags returns the flags that select the processes to query.
func fleetFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: "process", Usage: "operator `ADDRESS` of a process (may be repeated)"},
		&cli.StringFlag{Name: "platform", Usage: "http `URL` of the platform, whose list of hosts names the processes"},
	}
}

// targetsOf returns the processes that the command line selects. Without --process
// these are all hosts in the platform's list.
func targetsOf(ctx context.Context, cmd *cli.Command, i do.Injector) ([]target, error) {
	addresses := cmd.StringSlice("process")
	if len(addresses) > 0 {
		return lo.Map(addresses, func(a string, _ int) target { return target{name: a, address: a} }), nil
	}
	if cmd.String("platform") == "" {
		return nil, errors.Errorf("%s: --process or --platform is required (see --help)", cmd.FullName())
	}
	hosts, err := platformOf(cmd, i).hosts(ctx)
	if err != nil {
		return nil, err
	}
	slices.SortFunc(hosts, func(a, b gdplatform.Host) int { return cmp.Compare(a.Name, b.Name) })
	serving := lo.Filter(hosts, func(h gdplatform.Host, _ int) bool { return h.OperatorAddress != "" })
	return lo.Map(serving, func(h gdplatform.Host, _ int) target {
		return target{name: h.Name, address: h.OperatorAddress, leaving: h.State == gdplatform.HostLeaving}
	}), nil
}

func platformOf(cmd *cli.Command, i do.Injector) platform {
	return newPlatform(cmd.String("platform"), do.MustInvoke[*http.Client](i))
}

// reply is the response of one process, or the error.
type reply[T any] struct {
	target target
	value  T
	err    error
}

// queryAll queries every process and returns the replies in the order of the targets.
func queryAll[T any](
	i do.Injector, targets []target, query func(gdoperator.Client) (T, error),
) []reply[T] {
	client := do.MustInvoke[*http.Client](i)
	return inParallel(do.MustInvoke[console](i).err, targets, func(t target) reply[T] {
		v, err := query(gdoperator.Client{Address: t.address, HTTP: client})
		return reply[T]{target: t, value: v, err: err}
	})
}
