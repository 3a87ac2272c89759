// Package encoder owns the binary encoding of log entries, snapshots and
// messages between processes: deterministic CBOR, with fields under their Go
// names in Pascal case.
//
// Equal values encode to equal bytes, so checksums of state can be compared
// between replicas. Unknown fields are ignored when decoding, so that a newer
// replica may add fields while an older one still reads its messages.
package encoder

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
)

// Limits on decoded input, so that a corrupt or hostile message cannot claim
// excessive sizes. They are far above what the programs themselves encode.
const (
	maxElements = 16 * 1024 * 1024
	maxDepth    = 32
)

var (
	encMode = mustEncMode()
	decMode = mustDecMode()
)

func mustEncMode() cbor.EncMode {
	mode, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func mustDecMode() cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: maxElements,
		MaxMapPairs:      maxElements,
		MaxNestedLevels:  maxDepth,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Marshal returns the deterministic encoding of a value.
func Marshal(value any) ([]byte, error) {
	data, err := encMode.Marshal(value)
	if err != nil {
		return nil, eris.Wrapf(err, "encode %T", value)
	}
	return data, nil
}

// Unmarshal decodes data into the value that the pointer refers to. It fails on
// trailing bytes, so that a truncated or concatenated record is detected.
func Unmarshal(data []byte, value any) error {
	if err := decMode.Unmarshal(data, value); err != nil {
		return eris.Wrapf(err, "decode %T", value)
	}
	return nil
}
