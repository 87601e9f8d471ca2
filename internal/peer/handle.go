package peer

import (
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// handleFrame passes a frame to the handler. It returns an error if the payload cannot
// be decoded or if clients do not send frames of this kind.
func (c *session) handleFrame(frame Frame) error {
	h := c.server.handler
	switch frame.Kind {
	case peerwire.KindPing:
		c.writeFrame(peerwire.KindPong, frame.ID, nil)
		return nil
	case peerwire.KindHeartbeat:
		return handleOneWay(c, frame, h.Heartbeat)
	case peerwire.KindDispatch:
		return handleOneWay(c, frame, h.Dispatch)
	case peerwire.KindReplies:
		return handleOneWay(c, frame, h.Replies)
	case peerwire.KindCancel:
		return handleOneWay(c, frame, h.Cancel)
	case peerwire.KindManifestRequest:
		return handleRequest(c, frame, func(peerwire.ManifestRequest) any { return h.Manifest(c.server.ctx, c.from) })
	case peerwire.KindDocumentRequest:
		return handleRequest(c, frame, func(m peerwire.DocumentRequest) any { return h.Document(c.server.ctx, c.from, m) })
	case peerwire.KindSubmit:
		return handleRequest(c, frame, func(m peerwire.Submit) any { return h.Submit(c.server.ctx, c.from, m) })
	case peerwire.KindHandover:
		return handleRequest(c, frame, func(m peerwire.Handover) any { return h.Handover(c.server.ctx, c.from, m) })
	default:
		return result.Errorf(result.FrameInvalid, "a client must not send a %s frame", frame.Kind)
	}
}

func handleOneWay[M any](c *session, frame Frame, handle func(from string, m M)) error {
	var message M
	if err := frame.Decode(&message); err != nil {
		return err
	}
	handle(c.from, message)
	return nil
}

// handleRequest runs a request's handler in a goroutine, which then writes the answer,
// so that further frames are read meanwhile. Above the call limit it refuses the
// request; waiting for a free slot would leave pings unanswered.
func handleRequest[M any](c *session, frame Frame, handle func(m M) any) error {
	var message M
	if err := frame.Decode(&message); err != nil {
		return err
	}
	select {
	case c.requestSlots <- struct{}{}:
	default:
		c.refuseFrame(frame, result.Errorf(result.PeerQueueFull, "%d requests of %s are already running", cap(c.requestSlots), c.from))
		return nil
	}
	c.running.Go(func() {
		defer func() { <-c.requestSlots }()
		c.writeFrame(answerKindOf[frame.Kind], frame.ID, handle(message))
	})
	return nil
}
