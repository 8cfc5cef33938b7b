package oriolemessage

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"

	"github.com/orioleswitch/orioleswitch/pkg/oriole"
)

// MaxFrameSize is the maximum size of an encoded frame in bytes. It leaves room for
// an assignment of 8192 ranges; long bodies are sent in parts that are much smaller.
const MaxFrameSize = 2 << 20

// Limits on decoded values. Decode fails on a frame that exceeds them.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 64
	maxNestedLevels  = 12
)

// ErrFrameTooLarge is returned for a frame larger than [MaxFrameSize].
var ErrFrameTooLarge = errors.New("frame is too large")

var (
	encoder = mustMode(cbor.EncOptions{Sort: cbor.SortNone}.EncMode())
	decoder = mustMode(decOptions(cbor.ExtraDecErrorUnknownField).DecMode())
	// skippingDecoder skips unknown fields.
	skippingDecoder = mustMode(decOptions(cbor.ExtraDecErrorNone).DecMode())
)

func decOptions(extra cbor.ExtraDecErrorCond) cbor.DecOptions {
	return cbor.DecOptions{
		// Paths and header values of callers and upstreams need not be UTF-8. Byte
		// strings are accepted for strings as well, so that a later version may
		// send them while gateways are upgraded one by one.
		UTF8:               cbor.UTF8DecodeInvalid,
		ByteStringToString: cbor.ByteStringToStringAllowed,
		DupMapKey:          cbor.DupMapKeyEnforcedAPF,
		IndefLength:        cbor.IndefLengthForbidden,
		TagsMd:             cbor.TagsForbidden,
		ExtraReturnErrors:  extra,
		MaxArrayElements:   maxArrayElements,
		MaxMapPairs:        maxMapPairs,
		MaxNestedLevels:    maxNestedLevels,
	}
}

// mustMode panics if the CBOR library rejects the options. They are constant, so
// only a programming error can cause that.
func mustMode[T any](mode T, err error) T {
	if err != nil {
		panic(err)
	}
	return mode
}

// Encode returns the CBOR encoding of v. It fails with [ErrFrameTooLarge] if that is
// larger than [MaxFrameSize].
func Encode[T any](v T) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "encoding a frame") }()
	data, err = encoder.Marshal(v)
	if err == nil && len(data) > MaxFrameSize {
		return nil, ErrFrameTooLarge
	}
	return data, err
}

// Decode decodes a value from CBOR. It fails on unknown or repeated fields, trailing
// data, and values that exceed the limits.
func Decode[T any](data []byte) (v T, err error) {
	defer func() { err = errors.Wrap(err, "decoding a frame") }()
	if len(data) > MaxFrameSize {
		return v, ErrFrameTooLarge
	}
	err = decoder.Unmarshal(data, &v)
	return v, err
}

// UnreadableResponse returns a response with an unknown outcome to the request that a
// frame which Decode rejects responds to. found is false if the frame names none.
func UnreadableResponse(data []byte) (r *Response, found bool) {
	var frame struct {
		Response *struct {
			Number uint64 `json:"number"`
			ID     string `json:"id"`
		} `json:"reply"`
	}
	if len(data) > MaxFrameSize || skippingDecoder.Unmarshal(data, &frame) != nil || frame.Response == nil {
		return nil, false
	}
	return FromResponse(frame.Response.Number, frame.Response.ID, oriole.UnknownResponse(oriole.ReasonBadResponse)), true
}
