package devel_test

import (
	"io"
	"os"
	"testing"

	"k8s.io/klog/v2"
)

// TestMain discards the daemons' logs.
func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}
