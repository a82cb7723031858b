package gateway

import (
	"slices"
	"strings"
)

const (
	// maxParts is the number of a prompt's parts that are considered, the first ones.
	maxParts = 16
	// maxPartIDBytes bounds the ID of a part.
	maxPartIDBytes = 64
)

// parseSharedParts returns the IDs of the parts that a prompt may share with others: all but the
// last one, each once. It skips malformed ones.
func parseSharedParts(header string) []string {
	parts := strings.Split(header, ",")
	var ids []string
	for _, p := range parts[:len(parts)-1] {
		id, _, ok := strings.Cut(strings.TrimSpace(p), ":")
		if ok && id != "" && len(id) <= maxPartIDBytes && len(ids) < maxParts && !slices.Contains(ids, id) {
			ids = append(ids, id)
		}
	}
	return ids
}
