package gdrigup_test

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"godwitdrift.example/godwitdrift/config"
	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

const examples = "../../../examples"

// TestExamplesHaveTheUsersNumbers checks that both example deployments have the
// numbers that their users gave, and that each deployment.toml is what the example's
// program prints.
func TestExamplesHaveTheUsersNumbers(t *testing.T) {
	for _, tc := range []struct {
		dir            string
		services       []string
		slots          int
		caller, domain float64
	}{
		{"rejilla-norte", []string{"booking", "gallery"}, 3, 3, 1},
		{"kiosks", []string{"bay-control", "receipts"}, 2, 1, 0.5},
	} {
		t.Run(tc.dir, func(t *testing.T) {
			dir := filepath.Join(examples, tc.dir)
			spec, err := gdrigup.ReadSpec(dir)
			require.NoError(t, err)
			require.Len(t, spec.Deployment.Domains, 4)
			require.Equal(t, 3, spec.Settings.Balancers)
			require.Equal(t, tc.caller, spec.Settings.CallerDelayMS)
			require.Equal(t, tc.domain, spec.Settings.DomainDelayMS)
			for i, upstreams := range []int{7, 4} {
				s := spec.Deployment.Services[i]
				require.Equal(t, tc.services[i], s.Name)
				require.Len(t, s.Upstreams, upstreams)
				requireSlots(t, s, tc.slots)
			}
			printed, err := exec.Command("go", "run", dir).Output()
			require.NoError(t, err)
			file, err := os.ReadFile(filepath.Join(dir, "deployment.toml"))
			require.NoError(t, err)
			require.Equal(t, string(printed), string(file))
		})
	}
}

func requireSlots(t *testing.T, s config.Service, slots int) {
	for _, u := range s.Upstreams {
		require.Equal(t, slots, u.Slots)
	}
}

func TestReadSpecNamesTheFile(t *testing.T) {
	_, err := gdrigup.ReadSpec(t.TempDir())
	require.ErrorContains(t, err, "deployment.toml")
}
