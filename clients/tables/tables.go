// Package tables is the client of the platform's table service and object store. It
// implements the functions of a [store.Store] with HTTP requests.
//
// # Usage
//
//	s := tables.New(web.New(), "127.0.0.1:8100")
//	rows, err := s.Read(ctx, refs)
package tables

import (
	"context"
	"net/http"

	"github.com/cockroachdb/errors"

	"slipcrank.example/clients/web"
	"slipcrank.example/core/store"
)

type (
	client struct {
		web  *web.Client
		addr string
	}

	commitRequest struct {
		Writes []store.Write `json:"writes"`
	}

	readRequest struct {
		Refs []store.Ref `json:"refs"`
	}

	scanRequest struct {
		Table string `json:"table"`
		After string `json:"after"`
		Limit int    `json:"limit"`
	}

	rowsReply struct {
		Rows []store.Row `json:"rows"`
	}

	objectBody struct {
		Name  string `json:"name"`
		Bytes []byte `json:"bytes"`
	}
)

// New returns the store served at addr (an IP address and port).
func New(w *web.Client, addr string) store.Store {
	c := &client{web: w, addr: addr}
	return store.Store{
		Commit:       c.commit,
		Read:         c.read,
		Scan:         c.scan,
		PutObject:    c.putObject,
		GetObject:    c.getObject,
		DeleteObject: c.deleteObject,
	}
}

// post sends in as JSON to path and decodes the response into out. The statuses 400
// and 429 are marked as [store.ErrRefused].
func (c *client) post(ctx context.Context, path string, in, out any) error {
	err := c.web.JSON(ctx, http.MethodPost, c.addr, path, in, out)
	var statusErr *web.StatusError
	if errors.As(err, &statusErr) && (statusErr.Status == http.StatusTooManyRequests || statusErr.Status == http.StatusBadRequest) {
		return errors.Mark(err, store.ErrRefused)
	}
	return err
}

func (c *client) commit(ctx context.Context, ws []store.Write) (store.Outcome, error) {
	var o store.Outcome
	err := c.post(ctx, "/table/commit", commitRequest{Writes: ws}, &o)
	return o, err
}

func (c *client) read(ctx context.Context, rs []store.Ref) ([]store.Row, error) {
	var r rowsReply
	err := c.post(ctx, "/table/read", readRequest{Refs: rs}, &r)
	return r.Rows, err
}

func (c *client) scan(ctx context.Context, table, after string, limit int) ([]store.Row, error) {
	var r rowsReply
	err := c.post(ctx, "/table/scan", scanRequest{Table: table, After: after, Limit: limit}, &r)
	return r.Rows, err
}

func (c *client) putObject(ctx context.Context, name string, b []byte) error {
	return c.post(ctx, "/object/put", objectBody{Name: name, Bytes: b}, nil)
}

func (c *client) getObject(ctx context.Context, name string) ([]byte, error) {
	var o objectBody
	err := c.post(ctx, "/object/get", objectBody{Name: name}, &o)
	return o.Bytes, err
}

func (c *client) deleteObject(ctx context.Context, name string) error {
	return c.post(ctx, "/object/delete", objectBody{Name: name}, nil)
}
