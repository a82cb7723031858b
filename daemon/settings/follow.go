package settings

import (
	"context"
	"os"
	"time"

	"slipcrank.example/core/pause"
)

// Follow reads the settings of an entry host again each time their file has
// changed, and hands them to f. It looks at the file's time and size once a
// period, until ctx ends.
func Follow(ctx context.Context, path string, period time.Duration, f func(Entry, error)) {
	last := stamp(path)
	for pause.For(ctx, period) == nil {
		if now := stamp(path); now != last {
			last = now
			f(LoadEntry(path))
		}
	}
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns that of a file, zero if it can't be looked at: then it is read
// once it is back, and if it can't be read that is told.
func stamp(path string) fileStamp {
	i, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{i.ModTime(), i.Size()}
}
