package settings

import (
	"context"
	"os"
	"time"

	"slipcrank.example/core/pause"
)

// Follow calls f with the settings of an entry host, or the error of LoadEntry, at once
// and each time that their file has changed, until ctx ends. It compares the file's
// modification time and size once per period.
func Follow(ctx context.Context, path string, period time.Duration, f func(Entry, error)) {
	last := stamp(path)
	f(LoadEntry(path)) // the file may have changed since the caller read it
	for pause.For(ctx, period) == nil {
		if now := stamp(path); now != last {
			last = now
			f(LoadEntry(path))
		}
	}
}

// fileStamp identifies a version of a file by its metadata.
type fileStamp struct {
	modified time.Time
	size     int64
}

// stamp returns the stamp of a file, zero if its metadata can't be read. A file that
// disappears or reappears thus counts as changed, and f gets the error or the new
// settings.
func stamp(path string) fileStamp {
	info, err := os.Stat(path)
	if err != nil {
		return fileStamp{}
	}
	return fileStamp{info.ModTime(), info.Size()}
}
