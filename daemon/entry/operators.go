package entry

import (
	"encoding/json"
	"log/slog"
	"net/http"

	"slipcrank.example/core/fault"
	"slipcrank.example/core/quarantine"
	"slipcrank.example/daemon/event"
)

// maxOrder bounds what an operator sends, in bytes.
const maxOrder = 4 << 10

type (
	// suspectStatus is a request under which servers ended, for operators.
	suspectStatus struct {
		Print     string `json:"print"`
		Same      string `json:"same"`
		Workspace string `json:"workspace"`
		Stage     string `json:"stage"`
		Ended     int    `json:"ended"`
	}

	suspectsReply struct {
		Suspects []suspectStatus `json:"suspects"`
	}

	pardonOrder struct {
		Print quarantine.Fingerprint `json:"print"`
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

// operators answers on the address for metrics.
func (e *Entry) operators() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/suspects", e.listSuspects)
	m.HandleFunc("POST /v1/suspects/pardon", e.pardonSuspect)
	m.HandleFunc("/", e.figures)
	return m
}

func (e *Entry) listSuspects(w http.ResponseWriter, _ *http.Request) {
	reply := suspectsReply{Suspects: []suspectStatus{}}
	for _, r := range e.quarantine.Records() {
		reply.Suspects = append(reply.Suspects, suspectStatus{
			Print: r.Fingerprint.String(), Same: r.HeadHash.String(), Workspace: r.Workspace, Stage: r.Stage().String(), Ended: len(r.Crashes),
		})
	}
	e.reply(w, http.StatusOK, reply)
}

func (e *Entry) pardonSuspect(w http.ResponseWriter, r *http.Request) {
	var o pardonOrder
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxOrder)).Decode(&o); err != nil {
		e.reply(w, http.StatusBadRequest, errorReply{errorBody{fault.BadRequest, err.Error(), "take the print from slipcrank suspects list"}})
		return
	}
	e.reply(w, http.StatusOK, pardonReply{e.gateway.Pardon(o.Print)})
}

func (e *Entry) reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		e.log.Write(event.HandlerPanic, slog.String("doing", "answer an operator"), slog.String("error", err.Error()))
	}
}
