package grant

import (
	"time"

	"slipcrank.example/core/notice"
)

type (
	// Request asks the holder of a server's bucket for one request.
	Request struct {
		ID uint32
		// Server is the ID of its start, and Hall where it is.
		Server, Hall string
		// Limit is what the host that asks knows of the server.
		Limit notice.Limit
		// Ping asks for an answer only, and takes nothing.
		Ping bool
	}

	// Reply answers a question.
	Reply struct {
		ID     uint32
		Server string
		// Limit is what the host that answers knows of the server.
		Limit notice.Limit
		// Granted says that one request may go to the server now. If not, Wait is how
		// long it takes until one may.
		Granted bool
		Wait    time.Duration
	}
)
