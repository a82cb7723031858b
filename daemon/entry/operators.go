package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
)

// maxBodyBytes bounds the body of an operator's request.
const maxBodyBytes = 4 << 10

type (
	// suspectStatus describes a suspect to operators.
	suspectStatus struct {
		Fingerprint string `json:"print"`
		HeadHash    string `json:"same"`
		Workspace   string `json:"workspace"`
		Stage       string `json:"stage"`
		Crashes     int    `json:"ended"` // number of crashed servers
		// Part reports that it is a part of prompts instead of a request.
		Part bool `json:"part"`
	}

	suspectsReply struct {
		Suspects []suspectStatus `json:"suspects"`
	}

	// pardonOrder is the body of a pardon. Its name appears in the errors of
	// encoding/json that an operator gets.
	pardonOrder struct {
		Fingerprint quarantine.Fingerprint `json:"print"`
	}

	pardonReply struct {
		Pardoned bool `json:"pardoned"`
	}

	errorReply struct {
		Error errorBody `json:"error"`
	}

	errorBody struct {
		Kind    fault.Kind `json:"kind"`
		Message string     `json:"message"`
		Remedy  string     `json:"remedy"`
	}
)

// operatorHandler returns the handler of the metrics address, which also serves the
// operators' requests about suspects.
func (e *Entry) operatorHandler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/suspects", e.listSuspects)
	m.HandleFunc("POST /v1/suspects/pardon", e.pardonSuspect)
	m.HandleFunc("/", e.serveMetrics)
	return m
}

func (e *Entry) listSuspects(w http.ResponseWriter, _ *http.Request) {
	reply := suspectsReply{Suspects: []suspectStatus{}}
	for _, reg := range []*quarantine.Registry{e.quarantine, e.parts} {
		for _, r := range reg.Records() {
			reply.Suspects = append(reply.Suspects, suspectStatus{
				Fingerprint: r.Fingerprint.String(), HeadHash: r.HeadHash.String(), Workspace: r.Workspace,
				Stage: reg.Stage(r.Fingerprint).String(), Crashes: len(r.Crashes), Part: reg == e.parts,
			})
		}
	}
	e.reply(w, http.StatusOK, reply)
}

func (e *Entry) pardonSuspect(w http.ResponseWriter, r *http.Request) {
	var req pardonOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&req); err != nil {
		e.reply(w, http.StatusBadRequest, errorReply{errorBody{fault.BadRequest, err.Error(), "take the print from slipcrank suspects list"}})
		return
	}
	e.reply(w, http.StatusOK, pardonReply{e.gateway.Pardon(req.Fingerprint)})
}

// reply answers an operator's request with v in JSON.
func (e *Entry) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.log.Write(event.InternalError, slog.String("doing", "answer an operator"), slog.String("error", err.Error()))
	}
}
