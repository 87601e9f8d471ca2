package peer

import (
	"github.com/gypsumlug/gypsumlug/internal/peerwire"
	"github.com/gypsumlug/gypsumlug/internal/result"
)

// handle passes a frame to the handler. An error means that the payload cannot
// be decoded or that the kind does not belong in this direction.
func (c *session) handle(frame Frame) error {
	h := c.server.handler
	switch frame.Kind {
	case peerwire.KindPing:
		c.write(peerwire.KindPong, frame.ID, nil)
		return nil
	case peerwire.KindHeartbeat:
		return oneWay(c, frame, h.Heartbeat)
	case peerwire.KindDispatch:
		return oneWay(c, frame, h.Dispatch)
	case peerwire.KindReplies:
		return oneWay(c, frame, h.Replies)
	case peerwire.KindCancel:
		return oneWay(c, frame, h.Cancel)
	case peerwire.KindManifestRequest:
		return request(c, frame, func(peerwire.ManifestRequest) any { return h.Manifest(c.server.ctx, c.from) })
	case peerwire.KindDocumentRequest:
		return request(c, frame, func(m peerwire.DocumentRequest) any { return h.Document(c.server.ctx, c.from, m) })
	case peerwire.KindSubmit:
		return request(c, frame, func(m peerwire.Submit) any { return h.Submit(c.server.ctx, c.from, m) })
	case peerwire.KindHandover:
		return request(c, frame, func(m peerwire.Handover) any { return h.Handover(c.server.ctx, c.from, m) })
	default:
		return result.Errorf(result.FrameInvalid, "a %s frame is out of place", frame.Kind)
	}
}

func oneWay[M any](c *session, frame Frame, handle func(from string, m M)) error {
	var message M
	if err := frame.Decode(&message); err != nil {
		return err
	}
	handle(c.from, message)
	return nil
}

// request runs a handler beside the reading of further frames and writes its
// answer. Above the call limit it refuses the request, since to wait would
// leave pings unanswered.
func request[M any](c *session, frame Frame, handle func(m M) any) error {
	var message M
	if err := frame.Decode(&message); err != nil {
		return err
	}
	select {
	case c.calls <- struct{}{}:
	default:
		c.refuse(frame, result.Errorf(result.PeerQueueFull, "%d requests of %s are running", cap(c.calls), c.from))
		return nil
	}
	c.running.Go(func() {
		defer func() { <-c.calls }()
		c.write(answerKinds[frame.Kind], frame.ID, handle(message))
	})
	return nil
}
