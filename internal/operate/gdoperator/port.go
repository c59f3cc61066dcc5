package gdoperator

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

// maxDumps is the maximum number of concurrent dumps. Further ones are refused with
// status 503, so that dumps can't use up the process's time.
const maxDumps = 1

// Port is the operator port of one process. All fields must be set before Handler is
// called.
type Port struct {
	Status    StatusSource
	Dumper    Dumper
	Decisions DecisionSource
	Metrics   http.Handler
}

// Handler returns the handler for the operator address.
func (p Port) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /livez", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, p.Status.Status())
	})
	mux.HandleFunc("GET /dump", p.dump())
	mux.HandleFunc("GET /decisions", p.decisions)
	mux.Handle("GET /metrics", p.Metrics)
	return mux
}

func (p Port) dump() http.HandlerFunc {
	running := make(chan struct{}, maxDumps)
	return func(w http.ResponseWriter, _ *http.Request) {
		select {
		case running <- struct{}{}:
			defer func() { <-running }()
			writeJSON(w, p.Dumper.Dump())
		default:
			http.Error(w, "another dump is in progress, try again", http.StatusServiceUnavailable)
		}
	}
}

func (p Port) decisions(w http.ResponseWriter, r *http.Request) {
	last := defaultLast
	if s := r.FormValue("last"); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n < 1 || n > DefaultRecords {
			http.Error(w, "last: a number from 1 to "+strconv.Itoa(DefaultRecords)+" is required", http.StatusBadRequest)
			return
		}
		last = n
	}
	records := p.Decisions.Decisions(r.FormValue("subject"), last)
	if records == nil {
		records = []Record{}
	}
	writeJSON(w, records)
}

func writeJSON(w http.ResponseWriter, v any) {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		http.Error(w, "encode response: "+err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(append(data, '\n')) // an error means that the operator has disconnected
}
