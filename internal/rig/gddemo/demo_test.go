package gddemo_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gddemo"
	"godwitdrift.example/godwitdrift/internal/rig/gdload"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

const (
	examples = "../../../examples"
	program  = "godwitdrift.example/godwitdrift/cmd/godwitdrift"
	duration = 5 * time.Second
)

// build builds the product without the race detector and returns the binary's path.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "godwitdrift")
	out, err := exec.Command("go", "build", "-o", binary, program).CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// TestDemoKeepsThePromises runs each example deployment, in separate processes,
// under the default plan. It checks counts only, no times.
func TestDemoKeepsThePromises(t *testing.T) {
	binary := build(t)
	for _, name := range []string{"rejilla-norte", "kiosks"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := run(t, binary, name, gddemo.Demo{Duration: duration})
			require.NotZero(t, r.Answered)
		})
	}
}

// TestFlowsAreAbortedAfterLostClose drops all packets while a failure domain goes out
// of service, so that the agent's close of each flow is lost. The callers must still
// observe that their flows were aborted.
func TestFlowsAreAbortedAfterLostClose(t *testing.T) {
	r := run(t, build(t), "kiosks", gddemo.Demo{Plan: "lost-close", Duration: duration})
	require.NotZero(t, r.AbortedFlows)
}

// run runs the demo and requires that it breaks no promise.
func run(t *testing.T, binary, name string, d gddemo.Demo) gdload.Result {
	spec, err := gdrigup.ReadSpec(filepath.Join(examples, name))
	require.NoError(t, err)
	progress := func(s string) { t.Log(s) }
	d.Rig = &gdrigup.Rig{Spec: spec, Binary: binary, Progress: progress}
	d.Progress = progress
	d.Seed = 1
	require.NoError(t, d.Rig.Start(context.Background()))
	defer d.Rig.Stop()
	r, err := d.Run(context.Background())
	require.NoError(t, err)
	require.False(t, d.Failed(r), "%+v", r)
	return r
}

func TestUnknownPlanIsAnError(t *testing.T) {
	rig := &gdrigup.Rig{}
	_, err := (&gddemo.Demo{Rig: rig, Plan: "nonesuch"}).Run(context.Background())
	require.Error(t, err)
}
