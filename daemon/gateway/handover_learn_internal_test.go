package gateway

import "testing"

// TestHandoverForgetsNoFailureOfPresentServer guards against tries on servers, or of copies, that have failed at the present server meanwhile.
func TestHandoverForgetsNoFailureOfPresentServer(t *testing.T) {
	c := &call{buffer: &bodyBuffer{buffers: newBuffers(1)}, failedServers: map[string]bool{}, delegations: map[uint32]bool{}}
	h := &handover{}
	h.call = c.forHandover(h)
	h.call.failedServers["next"] = true
	c.failedServers["helper"], c.copiesFailed, c.freshConn, c.unreached = true, true, true, 1
	c.learn(h)
	if !c.failedServers["helper"] || !c.failedServers["next"] || !c.copiesFailed || !c.freshConn || c.unreached != 1 {
		t.Errorf("failed: %v, copies %t, new connection %t, unreached %d; want all", c.failedServers, c.copiesFailed, c.freshConn, c.unreached)
	}
}
