package websocket

import (
	"bytes"
	"errors"
	"io"
	"reflect"

	"github.com/fxamacker/cbor/v2"

	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// Limits for decoding frames of other VMs.
const (
	maxNesting  = 16
	maxElements = 131_072
	// maxNameBytes is the bound that the settings set for names of VMs and failure domains.
	maxNameBytes    = 64
	maxAddressBytes = 320
	// maxReasonBytes is the longest reason that a close frame can hold.
	maxReasonBytes = 123
)

// hello is the first message on a link.
type hello struct {
	Name        core.VMName
	Incarnation core.Incarnation
	Domain      core.FailureDomain
	PeerAddress string
}

// MessageName implements kinds.Message.
func (hello) MessageName() string { return "hello" }

// envelope frames one message; a frame is a sequence of envelopes.
type envelope struct {
	_    struct{} `cbor:",toarray"`
	Name string
	Body cbor.RawMessage
}

var decMode = newDecMode()

func newDecMode() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxNestedLevels: maxNesting, MaxArrayElements: maxElements, MaxMapPairs: maxElements,
		// No VM sends these forms. Accepting them would allow frames whose decoding costs more than their size suggests.
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

func encodeMessage(m kinds.Message) ([]byte, error) {
	body, err := cbor.Marshal(m)
	if err != nil {
		return nil, err
	}
	return cbor.Marshal(envelope{Name: m.MessageName(), Body: body})
}

// decodeFrame calls handle for each message of a frame until it fails. Messages of unknown names are skipped, so that VMs of
// different releases interoperate.
func (ps *peers) decodeFrame(frame []byte, handle func(h handler, m kinds.Message) error) error {
	decoder := decMode.NewDecoder(bytes.NewReader(frame))
	for {
		var e envelope
		if err := decoder.Decode(&e); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		h, ok := ps.handlers[e.Name]
		if !ok {
			continue
		}
		value := reflect.New(h.prototype)
		if err := decMode.Unmarshal(e.Body, value.Interface()); err != nil {
			return err
		}
		if err := handle(h, value.Interface().(kinds.Message)); err != nil {
			return err
		}
	}
}
