package peerlink

import (
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/gypsumlug/gypsumlug/internal/catalog"
	"github.com/gypsumlug/gypsumlug/internal/discovery"
	"github.com/gypsumlug/gypsumlug/internal/evacuation"
	"github.com/gypsumlug/gypsumlug/internal/routing"
)

// State is a discovery.State as it is sent between hosts; its fields are described
// there. Its encoding is that of discovery.State.
type State struct {
	Format   int                `msgpack:"f"`
	Epoch    uint64             `msgpack:"ep,omitempty"`
	EpochAge time.Duration      `msgpack:"ea,omitempty"`
	Revision uint64             `msgpack:"r"`
	Digest   uint64             `msgpack:"d,omitempty"`
	Age      time.Duration      `msgpack:"g"`
	Config   *SharedConfig      `msgpack:"c"`
	Since    uint64             `msgpack:"n"`
	Entries  []catalog.Entry    `msgpack:"e"`
	Members  []discovery.Member `msgpack:"m,omitempty"`

	Evacuations *evacuation.State `msgpack:"u,omitempty"`

	News     *discovery.News `msgpack:"w,omitempty"`
	Informed bool            `msgpack:"o,omitempty"`

	AcrossEpochs bool   `msgpack:"ac,omitempty"`
	SinceEpoch   uint64 `msgpack:"se,omitempty"`
}

// NewState returns a state for sending. config is nil, or shares the configuration of s.
func NewState(s *discovery.State, config *SharedConfig) *State {
	return &State{Format: s.Format, Epoch: s.Epoch, EpochAge: s.EpochAge, Revision: s.Revision, Digest: s.Digest, Age: s.Age, Config: config, Since: s.Since, Entries: s.Entries, Evacuations: s.Evacuations, Members: s.Members, News: s.News, Informed: s.Informed, AcrossEpochs: s.AcrossEpochs, SinceEpoch: s.SinceEpoch}
}

// Received returns a state that was received.
func (s *State) Received() *discovery.State {
	return &discovery.State{Format: s.Format, Epoch: s.Epoch, EpochAge: s.EpochAge, Revision: s.Revision, Digest: s.Digest, Age: s.Age, Config: s.Config.Value(), Since: s.Since, Entries: s.Entries, Evacuations: s.Evacuations, Members: s.Members, News: s.News, Informed: s.Informed, AcrossEpochs: s.AcrossEpochs, SinceEpoch: s.SinceEpoch}
}

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
