package gddemo_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gddemo"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

const (
	examples = "../../../examples"
	program  = "godwitdrift.example/godwitdrift/cmd/godwitdrift"
	length   = 5 * time.Second
)

// build builds the product, without the race detector.
func build(t *testing.T) string {
	binary := filepath.Join(t.TempDir(), "godwitdrift")
	out, err := exec.Command("go", "build", "-o", binary, program).CombinedOutput()
	require.NoError(t, err, string(out))
	return binary
}

// TestDemoKeepsThePromises runs each deployment in separate processes through a
// change of a balancer, an upstream and a failure domain. It bounds counts, and
// no time.
func TestDemoKeepsThePromises(t *testing.T) {
	binary := build(t)
	for _, name := range []string{"rejilla-norte", "kiosks"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			spec, err := gdrigup.ReadSpec(filepath.Join(examples, name))
			require.NoError(t, err)
			rig := &gdrigup.Rig{Spec: spec, Binary: binary, Progress: func(s string) { t.Log(s) }}
			require.NoError(t, rig.Start(context.Background()))
			defer rig.Stop()
			d := &gddemo.Demo{Rig: rig, Length: length, Seed: 1, Progress: func(s string) { t.Log(s) }}
			r, err := d.Run(context.Background())
			require.NoError(t, err)
			require.False(t, d.Failed(r), "%+v", r)
			require.NotZero(t, r.Answered)
		})
	}
}

func TestUnknownPlanIsAnError(t *testing.T) {
	rig := &gdrigup.Rig{}
	_, err := (&gddemo.Demo{Rig: rig, Plan: "nonesuch"}).Run(context.Background())
	require.Error(t, err)
}
