package heartbeat

import (
	"gooseberrylane.example/coord/ownership"
	"gooseberrylane.example/core"
	"gooseberrylane.example/kernel/kinds"
)

// The messages of coord/ownership as peer messages.
type (
	heartbeatMessage ownership.Heartbeat
	ackMessage       ownership.HeartbeatAck
	claimMessage     ownership.Claim
	clearMessage     ownership.Clear
	holdingsMessage  ownership.Holdings
	contestMessage   ownership.Contest
	leftMessage      ownership.Left
	leftAckMessage   ownership.LeftAck
)

// MessageName implements kinds.Message.
func (heartbeatMessage) MessageName() string { return "heartbeat" }

// MessageName implements kinds.Message.
func (ackMessage) MessageName() string { return "heartbeat_ack" }

// MessageName implements kinds.Message.
func (claimMessage) MessageName() string { return "claim" }

// MessageName implements kinds.Message.
func (clearMessage) MessageName() string { return "clear" }

// MessageName implements kinds.Message.
func (holdingsMessage) MessageName() string { return "holdings" }

// MessageName implements kinds.Message.
func (contestMessage) MessageName() string { return "contest" }

// MessageName implements kinds.Message.
func (leftMessage) MessageName() string { return "left" }

// MessageName implements kinds.Message.
func (leftAckMessage) MessageName() string { return "left_ack" }

// prototypes lists one value of each message.
var prototypes = []kinds.Message{
	heartbeatMessage{}, ackMessage{}, claimMessage{}, clearMessage{}, holdingsMessage{}, contestMessage{}, leftMessage{}, leftAckMessage{},
}

// encode returns the peer message for a message of the agent, or nil for an unknown type.
func encode(message any) kinds.Message {
	switch m := message.(type) {
	case ownership.Heartbeat:
		return heartbeatMessage(m)
	case ownership.HeartbeatAck:
		return ackMessage(m)
	case ownership.Claim:
		return claimMessage(m)
	case ownership.Clear:
		return clearMessage(m)
	case ownership.Holdings:
		return holdingsMessage(m)
	case ownership.Contest:
		return contestMessage(m)
	case ownership.Left:
		return leftMessage(m)
	case ownership.LeftAck:
		return leftAckMessage(m)
	default:
		return nil
	}
}

// decode returns the message for the agent and the VM that the message declares as its sender.
func decode(message kinds.Message) (any, core.VM) {
	switch m := message.(type) {
	case *heartbeatMessage:
		return ownership.Heartbeat(*m), m.From
	case *ackMessage:
		return ownership.HeartbeatAck(*m), m.From
	case *claimMessage:
		return ownership.Claim(*m), m.From
	case *clearMessage:
		return ownership.Clear(*m), m.From
	case *holdingsMessage:
		return ownership.Holdings(*m), m.From
	case *contestMessage:
		return ownership.Contest(*m), m.From
	case *leftMessage:
		return ownership.Left(*m), m.From
	case *leftAckMessage:
		return ownership.LeftAck(*m), m.From
	default:
		return nil, core.VM{}
	}
}
