package discovery

import (
	"sync"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// SharedConfig is the configuration in a [State]. It is encoded once for all hosts that
// it is sent to, since many hosts ask for a changed configuration at the same time. The
// encoding is that of routing.Config. It is safe for concurrent use.
type SharedConfig struct {
	config *routing.Config
	encode func() ([]byte, error)
}

// NewSharedConfig returns a configuration to be sent to other hosts. It must not be
// changed any more.
func NewSharedConfig(c *routing.Config) *SharedConfig {
	return &SharedConfig{config: c, encode: sync.OnceValues(func() ([]byte, error) { return msgpack.Marshal(c) })}
}

// Value returns the configuration, or nil if s is nil.
func (s *SharedConfig) Value() *routing.Config {
	if s == nil {
		return nil
	}
	return s.config
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *SharedConfig) EncodeMsgpack(enc *msgpack.Encoder) error {
	data, err := s.encode()
	if err != nil {
		return err
	}
	return enc.Encode(msgpack.RawMessage(data))
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (s *SharedConfig) DecodeMsgpack(dec *msgpack.Decoder) error {
	c := &routing.Config{}
	if err := dec.Decode(c); err != nil {
		return err
	}
	*s = *NewSharedConfig(c)
	return nil
}
