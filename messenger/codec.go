package messenger

import (
	"google.golang.org/grpc/encoding"

	"github.com/dotterelrill/dotterelrill/encoder"
)

// codecName is the gRPC content subtype of the internal protocol.
const codecName = "dotterelrill-cbor"

// codec is the gRPC codec that encodes messages as CBOR with the encoder.
type codec struct{}

func init() {
	encoding.RegisterCodec(codec{})
}

// Marshal implements encoding.Codec.
func (codec) Marshal(value any) ([]byte, error) { return encoder.Marshal(value) }

// Unmarshal implements encoding.Codec.
func (codec) Unmarshal(data []byte, value any) error { return encoder.Unmarshal(data, value) }

// Name implements encoding.Codec.
func (codec) Name() string { return codecName }
