package callers

import (
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"slipcrank.example/core/fault"
)

type (
	errorBody struct {
		Error errorDetail `json:"error"`
	}

	errorDetail struct {
		Kind         fault.Kind `json:"kind"`
		Message      string     `json:"message"`
		Remedy       string     `json:"remedy"`
		Request      string     `json:"request_id,omitempty"`
		RetryAfterMS int64      `json:"retry_after_ms,omitempty"`
	}

	model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Version string `json:"version"`
	}

	modelList struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}
)

// respondFault counts a fault and writes it as the response.
func (s *Server) respondFault(c *fasthttp.RequestCtx, id string, f *fault.Error) {
	s.metrics.Count("faults_total", 1, "kind", string(f.Kind()))
	writeFault(c, id, f)
}

func writeFault(c *fasthttp.RequestCtx, id string, f *fault.Error) {
	c.Response.ResetBody()
	c.SetStatusCode(f.Status())
	if d := f.RetryAfter(); d > 0 {
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(d.Seconds()))))
	}
	writeJSON(c, faultBody(id, f))
}

func faultBody(id string, f *fault.Error) errorBody {
	return errorBody{Error: errorDetail{
		Kind:         f.Kind(),
		Message:      f.Message(),
		Remedy:       f.Remedy(),
		Request:      id,
		RetryAfterMS: int64(f.RetryAfter() / time.Millisecond),
	}}
}

func writeJSON(c *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil { // can't happen: all types used here can be encoded
		b = []byte(`{"error":{"kind":"internal"}}`)
	}
	c.SetContentType("application/json")
	c.SetBody(b)
}

func (s *Server) serveModels(c *fasthttp.RequestCtx, r request) error {
	l := modelList{Object: "list", Data: []model{}}
	for _, m := range r.workspace.Models {
		l.Data = append(l.Data, model{ID: m.Name, Object: "model", Version: m.Version})
	}
	writeJSON(c, l)
	return nil
}
