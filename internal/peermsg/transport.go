// Package mesh carries protobuf messages between controllers over TCP: one
// outgoing connection to each member, frames of a length and an Envelope.
// Losing a message is allowed: everything told here is either repeated at
// the next heartbeat or asked again.
package peermsg

//go:generate protoc --go_out=. --go_opt=paths=source_relative peermsg.proto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"time"

	"google.golang.org/protobuf/proto"
)

// Version says which records and messages this program understands, beside those of
// the programs before it:
//
//	0  all before there were versions
//	1  jobs that need others; a group's machines may move from one key to another
const Version = VersionDependencies

// VersionDependencies is the first that understands what stands at 1.
const VersionDependencies = 1

// maxFrameBytes bounds what a member may make us hold.
const maxFrameBytes = 1 << 20

// Transport sends and receives.
type Transport struct {
	queues map[string]chan *Envelope
	self   string
}

// Listen starts the transport; every frame that arrives is given to deliver,
// which must not block for long. timeout bounds a dial or write.
func Listen(addr, self string, members map[string]string, timeout time.Duration, deliver func(*Envelope)) (*Transport, error) {
	l, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, err
	}
	t := &Transport{queues: map[string]chan *Envelope{}, self: self}
	for name, a := range members {
		ch := make(chan *Envelope, 64)
		t.queues[name] = ch
		go t.sendLoop(a, ch, timeout)
	}
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil { // no free sockets: wait for some
				time.Sleep(timeout / 10)
				continue
			}
			go receiveLoop(c, 20*timeout, deliver)
		}
	}()
	return t, nil
}

func receiveLoop(c net.Conn, idle time.Duration, deliver func(*Envelope)) {
	defer c.Close()
	r := bufio.NewReader(c)
	var buf []byte
	for {
		// A member behind a cut is silent; its connection must not stay.
		_ = c.SetReadDeadline(time.Now().Add(idle))
		n, err := binary.ReadUvarint(r)
		if err != nil || n > maxFrameBytes {
			return
		}
		if uint64(cap(buf)) < n {
			buf = make([]byte, n)
		}
		buf = buf[:n]
		if _, err := io.ReadFull(r, buf); err != nil {
			return
		}
		e := &Envelope{}
		if err := proto.Unmarshal(buf, e); err != nil {
			slog.Error("mesh: bad frame", "from", c.RemoteAddr(), "err", err)
			return
		}
		deliver(e)
	}
}

// Send queues e for a member; with a full queue it is lost.
func (t *Transport) Send(member string, e *Envelope) {
	e.From = t.self
	if ch := t.queues[member]; ch != nil {
		select {
		case ch <- e:
		default:
		}
	}
}

func (t *Transport) sendLoop(addr string, ch chan *Envelope, timeout time.Duration) {
	var c net.Conn
	for e := range ch {
		b, err := proto.Marshal(e)
		if err != nil {
			slog.Error("mesh: marshal", "err", err)
			continue
		}
		b = append(binary.AppendUvarint(nil, uint64(len(b))), b...)
		if c == nil {
			c, err = net.DialTimeout("tcp4", addr, timeout)
			if err != nil {
				c = nil
				discardQueued(ch) // what waited meanwhile is old news
				continue
			}
			go func(c net.Conn) { // notice at once when the member ends
				_, _ = io.Copy(io.Discard, c)
				c.Close()
			}(c)
		}
		_ = c.SetWriteDeadline(time.Now().Add(timeout))
		if _, err := c.Write(b); err != nil {
			c.Close()
			c = nil
		}
	}
}

func discardQueued(ch chan *Envelope) {
	for {
		select {
		case <-ch:
		default:
			return
		}
	}
}
