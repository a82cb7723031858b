// Package codec registers a gRPC codec that encodes messages in CBOR, so that they
// need no generated code. The codec is registered on import.
//
// # Usage
//
//	conn.Invoke(ctx, method, in, out, grpc.CallContentSubtype(codec.Name))
package codec

import (
	"github.com/fxamacker/cbor/v2"
	"google.golang.org/grpc/encoding"
)

// Name is the content subtype of the codec.
const Name = "cbor"

type codec struct{}

func init() { encoding.RegisterCodec(codec{}) }

// Marshal implements [encoding.Codec].
func (codec) Marshal(v any) ([]byte, error) { return cbor.Marshal(v) }

// Unmarshal implements [encoding.Codec].
func (codec) Unmarshal(b []byte, v any) error { return cbor.Unmarshal(b, v) }

// Name implements [encoding.Codec].
func (codec) Name() string { return Name }
