package gdbench_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/internal/rig/gdbench"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

// TestBothPathsAnswered checks that a run measures answers on both paths.
func TestBothPathsAnswered(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "godwitdrift")
	out, err := exec.Command("go", "build", "-o", binary, "godwitdrift.example/godwitdrift/cmd/godwitdrift").CombinedOutput()
	require.NoError(t, err, string(out))
	spec, err := gdrigup.ReadSpec("../../../examples/kiosks")
	require.NoError(t, err)
	spec.Settings = gdbench.WithoutDelays(spec.Settings)
	rig := &gdrigup.Rig{Spec: spec, Binary: binary}
	require.NoError(t, rig.Start(context.Background()))
	defer rig.Stop()
	b := &gdbench.Bench{Rig: rig, Service: "receipts", Flows: 4, Duration: 2 * time.Second, Seed: 1}
	r, err := b.Run(context.Background())
	require.NoError(t, err)
	require.NotZero(t, r.PathAnswered*r.DirectAnswered)
}
