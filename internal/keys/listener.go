package keys

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
	ready chan net.Conn
	done  chan struct{}
	once  sync.Once
	shake chan struct{}
	open  chan struct{}
}

// patience is how long a handshake may take.
const patience = 3 * time.Second

// Listen wraps l; at most open connections stand at a time, a quarter as many
// in their handshake.
func Listen(l net.Listener, c *tls.Config, open int) *Listener {
	k := &Listener{Listener: l, ready: make(chan net.Conn), done: make(chan struct{}), open: make(chan struct{}, open), shake: make(chan struct{}, max(2, open/4))}
	go k.accept(c)
	return k
}

func (k *Listener) accept(c *tls.Config) {
	told := rate.Sometimes{Interval: time.Second} // many would fill the log
	refuse := func(conn net.Conn, why string) {
		_ = conn.Close()
		told.Do(func() { slog.Info("federation: caller refused", "addr", conn.RemoteAddr(), "why", why) })
	}
	for {
		conn, err := k.Listener.Accept()
		if err != nil {
			select {
			case <-k.done:
				return
			case <-time.After(100 * time.Millisecond): // no free sockets
				continue
			}
		}
		select {
		case k.open <- struct{}{}:
		default:
			refuse(conn, "too many connections")
			continue
		}
		held := &heldConn{Conn: conn, free: func() { <-k.open }}
		select {
		case k.shake <- struct{}{}:
		default:
			refuse(held, "too many handshakes")
			continue
		}
		go func() {
			defer func() { <-k.shake }()
			t := tls.Server(held, c)
			_ = held.SetDeadline(time.Now().Add(patience))
			if err := t.Handshake(); err != nil {
				refuse(held, err.Error())
				return
			}
			_ = held.SetDeadline(time.Time{})
			select {
			case k.ready <- t:
			case <-time.After(patience): // the server takes no more
				refuse(held, "busy")
			case <-k.done:
				held.Close()
			}
		}()
	}
}

// Accept gives the next one.
func (k *Listener) Accept() (net.Conn, error) {
	select {
	case c := <-k.ready:
		return c, nil
	case <-k.done:
		return nil, net.ErrClosed
	}
}

// Close ends it.
func (k *Listener) Close() error {
	k.once.Do(func() { close(k.done) })
	return k.Listener.Close()
}

// heldConn gives its place back when it is closed.
type heldConn struct {
	net.Conn
	once sync.Once
	free func()
}

func (c *heldConn) Close() error {
	c.once.Do(c.free)
	return c.Conn.Close()
}
