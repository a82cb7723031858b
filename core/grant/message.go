package grant

import (
	"time"

	"slipcrank.example/core/notice"
)

type (
	// Request asks the holder of a server's bucket to grant one request to it.
	Request struct {
		ID uint32
		// Server is the ID of the server's start, and Hall its data hall.
		Server, Hall string
		// Limit is the limit that the server has reported, as the requesting host knows
		// it.
		Limit notice.Limit
		// ColdRate is the rate of the server if it is cold, as the requesting host knows
		// it, in requests per second; 0 if it isn't.
		ColdRate float64
		// Ping asks for a reply only and takes no request from the bucket.
		Ping bool
	}

	// Reply answers a [Request].
	Reply struct {
		ID     uint32
		Server string
		// Limit is the limit that the server has reported, as the replying host knows
		// it.
		Limit notice.Limit
		// Granted reports whether one request may be sent to the server now. If not,
		// Wait is the time until one may.
		Granted bool
		Wait    time.Duration
	}
)
