package relay

import (
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/zstd"

	"slipcrank.example/daemon/watch"
)

const (
	// minPackedBytes is the size from which on values are packed. Rows of servers and hosts
	// are smaller.
	minPackedBytes = 4 << 10
	// maxPackings bounds the packings that a server keeps for its other clients. Most of
	// them have the same base.
	maxPackings = 8
)

type (
	// message is an update as it is sent. The values in Packed are left out of its rows.
	message struct {
		watch.Update
		Packed []packedValue `cbor:"10,keyasint,omitempty"`
	}

	// packedValue is the value of a row, compressed by the value that the same stream has
	// had for that row before. A small change of a large value takes few bytes.
	packedValue struct {
		Row    int    `cbor:"1,keyasint"` // index in the update
		Base   uint64 `cbor:"2,keyasint"` // digest of the value before, 0 for none
		Digest uint64 `cbor:"3,keyasint"` // digest of this value
		Data   []byte `cbor:"4,keyasint"`
	}

	// rowID identifies a row on a stream.
	rowID struct{ table, key string }

	// base is the last value of a row on a stream, empty for none, and its digest.
	base struct {
		value  []byte
		digest uint64
	}

	// packer packs the values of one stream.
	packer struct {
		bases    map[rowID]base // that the client has
		packings *packings
	}

	// unpacker unpacks the values of one stream.
	unpacker struct {
		bases map[rowID]base
	}

	// packings keeps the newest packings. It is safe for concurrent use.
	packings struct {
		mu    sync.Mutex
		order []packingID
		data  map[packingID][]byte
	}

	// packingID has the digests of a value and of its base.
	packingID struct{ base, value uint64 }
)

// errWrongBase reports a value that was packed by another one than this host has.
var errWrongBase = errors.New("a packed value belongs to another one than the last of its row")

func newPackings() *packings { return &packings{data: map[packingID][]byte{}} }

func newPacker(p *packings) *packer { return &packer{bases: map[rowID]base{}, packings: p} }

func newUnpacker() *unpacker { return &unpacker{bases: map[rowID]base{}} }

// pack returns the message for an update, which it leaves unchanged.
func (p *packer) pack(u watch.Update) (*message, error) {
	m := &message{Update: u}
	for i, r := range u.Rows {
		if len(r.Value) < minPackedBytes {
			continue
		}
		if m.Packed == nil {
			m.Rows = slices.Clone(u.Rows)
		}
		id := rowID{u.Table, r.Key}
		v, err := p.packings.get(p.bases[id], r.Value)
		if err != nil {
			return nil, err
		}
		v.Row = i
		p.bases[id], m.Rows[i].Value = base{r.Value, v.Digest}, nil
		m.Packed = append(m.Packed, v)
	}
	return m, nil
}

// unpack returns the update of a message. It fails unless the message is the next one of the
// stream.
func (p *unpacker) unpack(m *message) (watch.Update, error) {
	for _, v := range m.Packed {
		if v.Row < 0 || v.Row >= len(m.Rows) {
			return watch.Update{}, errors.Newf("packed value of row %d of %d", v.Row, len(m.Rows))
		}
		id := rowID{m.Table, m.Rows[v.Row].Key}
		last := p.bases[id]
		if last.digest != v.Base {
			return watch.Update{}, errWrongBase
		}
		value, err := decompress(last.value, v.Data)
		if err != nil {
			return watch.Update{}, errors.Wrap(err, "unpack a value")
		}
		if xxhash.Sum64(value) != v.Digest {
			return watch.Update{}, errWrongBase
		}
		p.bases[id], m.Rows[v.Row].Value = base{value, v.Digest}, value
	}
	return m.Update, nil
}

// get returns a value packed by its base.
func (p *packings) get(b base, value []byte) (packedValue, error) {
	id := packingID{b.digest, xxhash.Sum64(value)}
	p.mu.Lock()
	defer p.mu.Unlock()
	data, ok := p.data[id]
	if !ok {
		var err error
		if data, err = compress(b.value, value); err != nil {
			return packedValue{}, errors.Wrap(err, "pack a value")
		}
		p.add(id, data)
	}
	return packedValue{Base: id.base, Digest: id.value, Data: data}, nil
}

// add keeps a packing, and drops the oldest one above the limit.
func (p *packings) add(id packingID, data []byte) {
	if len(p.order) == maxPackings {
		delete(p.data, p.order[0])
		p.order = p.order[1:]
	}
	p.order = append(p.order, id)
	p.data[id] = data
}

const (
	// dictionaryID is the number of the dictionary in compressed values. Each has one at most.
	dictionaryID = 1
	// maxFastestBytes is the size of bases up to which the fastest compressor finds all that a
	// value has in common with its base. Its tables are too small for larger ones.
	maxFastestBytes = 512 << 10
)

func compress(base, value []byte) ([]byte, error) {
	level := zstd.SpeedFastest
	if len(base) > maxFastestBytes {
		level = zstd.SpeedBetterCompression
	}
	opts := []zstd.EOption{
		zstd.WithEncoderLevel(level), zstd.WithEncoderConcurrency(1), zstd.WithLowerEncoderMem(true),
		zstd.WithEncoderCRC(false), // the message has a digest
	}
	if len(base) > 0 {
		opts = append(opts, zstd.WithEncoderDictRaw(dictionaryID, base))
	}
	e, err := zstd.NewWriter(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer func() { _ = e.Close() }() // nothing was written to a stream
	return e.EncodeAll(value, nil), nil
}

func decompress(base, data []byte) ([]byte, error) {
	opts := []zstd.DOption{zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxMessageBytes)}
	if len(base) > 0 {
		opts = append(opts, zstd.WithDecoderDictRaw(dictionaryID, base))
	}
	d, err := zstd.NewReader(nil, opts...)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	return d.DecodeAll(data, nil)
}
