package gdcapacity

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"godwitdrift.example/godwitdrift/internal/rig/gdrigup"
)

// dumpTimeout is the timeout for reading one dump.
const dumpTimeout = 10 * time.Second

// Usage is the resource usage that a process reports in its dump.
type Usage struct {
	CPUSeconds    float64 `json:"cpu-seconds"`
	ResidentBytes float64 `json:"resident-bytes"`
	HeapBytes     float64 `json:"heap-bytes"`
	StackBytes    float64 `json:"stack-bytes"`
	Goroutines    float64 `json:"goroutines"`
	PeerBytes     float64 `json:"peer-bytes"`
}

// readUsage reads a process's usage from its dump.
func readUsage(ctx context.Context, p *gdrigup.Process) (Usage, error) {
	ctx, cancel := context.WithTimeout(ctx, dumpTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.OperatorAddress()+"/dump", http.NoBody)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "read the dump of %s", p.Name())
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Do(req)
	if err != nil {
		return Usage{}, errors.Wrapf(err, "read the dump of %s", p.Name())
	}
	defer res.Body.Close()
	var dump struct {
		Usage Usage `json:"usage"`
	}
	err = json.NewDecoder(res.Body).Decode(&dump)
	return dump.Usage, errors.Wrapf(err, "decode the dump of %s", p.Name())
}
