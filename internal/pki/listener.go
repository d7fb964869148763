package pki

import (
	"crypto/tls"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// Listener hands out connections whose callers have proven who they are. A
// caller that is slow to, or cannot, holds one of few places for a few seconds
// and never a server's worker.
type Listener struct {
	net.Listener
	ready           chan net.Conn
	done            chan struct{}
	once            sync.Once
	handshakeSlots  chan struct{}
	connectionSlots chan struct{}
}

// handshakeTimeout is how long a handshake may take.
const handshakeTimeout = 3 * time.Second

// Listen wraps l; at most open connections stand at a time, a quarter as many
// in their handshake.
func Listen(l net.Listener, c *tls.Config, open int) *Listener {
	k := &Listener{Listener: l, ready: make(chan net.Conn), done: make(chan struct{}), connectionSlots: make(chan struct{}, open), handshakeSlots: make(chan struct{}, max(2, open/4))}
	go k.accept(c)
	return k
}

func (l *Listener) accept(c *tls.Config) {
	told := rate.Sometimes{Interval: time.Second} // many would fill the log
	refuse := func(conn net.Conn, why string) {
		_ = conn.Close()
		told.Do(func() { slog.Info("federation: caller refused", "addr", conn.RemoteAddr(), "why", why) })
	}
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			select {
			case <-l.done:
				return
			case <-time.After(100 * time.Millisecond): // no free sockets
				continue
			}
		}
		select {
		case l.connectionSlots <- struct{}{}:
		default:
			refuse(conn, "too many connections")
			continue
		}
		held := &countedConn{Conn: conn, release: func() { <-l.connectionSlots }}
		select {
		case l.handshakeSlots <- struct{}{}:
		default:
			refuse(held, "too many handshakes")
			continue
		}
		go func() {
			defer func() { <-l.handshakeSlots }()
			t := tls.Server(held, c)
			_ = held.SetDeadline(time.Now().Add(handshakeTimeout))
			if err := t.Handshake(); err != nil {
				refuse(held, err.Error())
				return
			}
			_ = held.SetDeadline(time.Time{})
			select {
			case l.ready <- t:
			case <-time.After(handshakeTimeout): // the server takes no more
				refuse(held, "busy")
			case <-l.done:
				_ = held.Close()
			}
		}()
	}
}

// Accept gives the next one.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ready:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
