package peermsg

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
)

const (
	// maxFrameBytes bounds the memory that a message from a member can make this controller use.
	maxFrameBytes = 1 << 20
	// queueLength is how many messages may wait for one member. Further ones are dropped.
	queueLength = 64
	// idleTimeoutFactor is how long a connection may be idle before it is closed, as a multiple of
	// the timeout that is passed to Listen.
	idleTimeoutFactor = 20
)

// errFrameTooLarge means that a frame is longer than maxFrameBytes.
var errFrameTooLarge = errors.New("frame too large")

// Transport sends messages to the other members and receives theirs.
type Transport struct {
	self   string
	queues map[string]chan *Envelope // by member
}

// Listen starts a transport that listens on addr. self is the name of this controller, and members
// holds the addresses of the others by name. Each received message is passed to deliver, which is
// called from several goroutines and must not block for long. timeout bounds each dial and each
// write. Listen returns an error if it cannot listen on addr.
func Listen(addr, self string, members map[string]string, timeout time.Duration, deliver func(*Envelope)) (*Transport, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	t := &Transport{self: self, queues: map[string]chan *Envelope{}}
	for name, memberAddr := range members {
		queue := make(chan *Envelope, queueLength)
		t.queues[name] = queue
		s := &sender{addr: memberAddr, timeout: timeout}
		go s.run(queue)
	}
	go acceptLoop(listener, timeout, deliver)
	return t, nil
}

// Send queues a message for a member. The message is dropped if the queue is full or there is no
// such member.
func (t *Transport) Send(member string, envelope *Envelope) {
	envelope.From = t.self
	queue := t.queues[member]
	if queue == nil {
		return
	}
	select {
	case queue <- envelope:
	default:
	}
}

// acceptLoop accepts connections until the listener is closed, and starts a receiveLoop for each.
func acceptLoop(listener net.Listener, timeout time.Duration, deliver func(*Envelope)) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // for example, no socket is free; the next attempt follows after a pause
			time.Sleep(timeout / 10)
			continue
		}
		go receiveLoop(conn, idleTimeoutFactor*timeout, deliver)
	}
}

// receiveLoop delivers the messages of one connection until the connection fails or is idle for too
// long. The idle timeout closes connections from members behind a network partition.
func receiveLoop(conn net.Conn, idleTimeout time.Duration, deliver func(*Envelope)) {
	defer closeQuietly(conn)
	reader := bufio.NewReader(conn)
	var buffer []byte
	for {
		_ = conn.SetReadDeadline(time.Now().Add(idleTimeout)) // errors are ignored: on a closed connection, reading fails, too
		frame, err := readFrame(reader, buffer)
		if err != nil {
			return
		}
		buffer = frame
		envelope := &Envelope{}
		if err := proto.Unmarshal(frame, envelope); err != nil {
			slog.Error("peermsg: bad frame", "from", conn.RemoteAddr(), "error", err)
			return
		}
		deliver(envelope)
	}
}

// readFrame reads the content of one frame. It reuses buffer if that is large enough.
func readFrame(reader *bufio.Reader, buffer []byte) ([]byte, error) {
	length, err := binary.ReadUvarint(reader)
	if err != nil {
		return nil, err
	}
	if length > maxFrameBytes {
		return nil, errFrameTooLarge
	}
	if uint64(cap(buffer)) < length {
		buffer = make([]byte, length)
	}
	buffer = buffer[:length]
	_, err = io.ReadFull(reader, buffer)
	return buffer, err
}

// encodeFrame encodes a message as a frame.
func encodeFrame(envelope *Envelope) ([]byte, error) {
	content, err := proto.Marshal(envelope)
	if err != nil {
		return nil, fmt.Errorf("encoding a message: %w", err)
	}
	return append(binary.AppendUvarint(nil, uint64(len(content))), content...), nil
}

// sender sends the messages of one queue to one member.
type sender struct {
	addr    string
	timeout time.Duration
	conn    net.Conn // nil if not connected
}

// run sends messages until the queue is closed.
func (s *sender) run(queue <-chan *Envelope) {
	for envelope := range queue {
		frame, err := encodeFrame(envelope)
		if err != nil {
			slog.Error("peermsg: message not sent", "to", s.addr, "error", err)
			continue
		}
		if err := s.connect(); err != nil {
			discardQueued(queue) // the queued messages would be outdated once the member is reachable
			continue
		}
		s.write(frame)
	}
}

// connect dials the member if there is no connection.
func (s *sender) connect() error {
	if s.conn != nil {
		return nil
	}
	conn, err := net.DialTimeout("tcp4", s.addr, s.timeout)
	if err != nil {
		return err
	}
	s.conn = conn
	go func() { // close the connection as soon as the member closes its end
		_, _ = io.Copy(io.Discard, conn)
		closeQuietly(conn)
	}()
	return nil
}

// write sends a frame. If that fails, the frame is lost, and the next message makes connect dial
// again.
func (s *sender) write(frame []byte) {
	_ = s.conn.SetWriteDeadline(time.Now().Add(s.timeout)) // errors are ignored: on a closed connection, writing fails, too
	if _, err := s.conn.Write(frame); err != nil {
		closeQuietly(s.conn)
		s.conn = nil
	}
}

// closeQuietly closes a connection that is no longer used, and ignores errors.
func closeQuietly(conn net.Conn) { _ = conn.Close() }

// discardQueued drops all messages in a queue.
func discardQueued(queue <-chan *Envelope) {
	for {
		select {
		case <-queue:
		default:
			return
		}
	}
}
