package pki

import (
	"crypto/tls"
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

const (
	// handshakeTimeout limits the time for a TLS handshake and, separately, the time that an
	// authenticated connection then waits until the server accepts it.
	handshakeTimeout = 3 * time.Second
	// acceptRetryInterval is the pause after a failed accept, which may fail because no socket is
	// free.
	acceptRetryInterval = 100 * time.Millisecond
	// refusalLogInterval is the minimum interval between log lines about refused callers. It
	// keeps callers from filling the log.
	refusalLogInterval = time.Second
)

// Reasons for refusing a caller, apart from errors in its handshake.
var (
	errTooManyConnections = errors.New("too many connections")
	errTooManyHandshakes  = errors.New("too many handshakes")
	errServerBusy         = errors.New("busy")
)

// Listener accepts only connections whose callers have authenticated themselves. A caller that is
// slow to do so occupies a slot for at most handshakeTimeout. No caller occupies one of the server's
// workers before it is authenticated.
type Listener struct {
	net.Listener
	config          *tls.Config
	ready           chan net.Conn
	done            chan struct{}
	closeOnce       sync.Once
	handshakeSlots  chan struct{}
	connectionSlots chan struct{}
	refusalLog      rate.Sometimes
}

// Listen wraps a listener. At most maxOpen connections can be open at a time. At most a quarter of
// maxOpen, but at least 2, can be in their handshake.
func Listen(listener net.Listener, config *tls.Config, maxOpen int) *Listener {
	l := &Listener{
		Listener:        listener,
		config:          config,
		ready:           make(chan net.Conn),
		done:            make(chan struct{}),
		connectionSlots: make(chan struct{}, maxOpen),
		handshakeSlots:  make(chan struct{}, max(2, maxOpen/4)),
		refusalLog:      rate.Sometimes{Interval: refusalLogInterval},
	}
	go l.acceptAll()
	return l
}

// acceptAll accepts connections until the listener is closed.
func (l *Listener) acceptAll() {
	for {
		conn, err := l.Listener.Accept()
		if err == nil {
			l.admit(conn)
			continue
		}
		select {
		case <-l.done:
			return
		case <-time.After(acceptRetryInterval):
		}
	}
}

// admit starts the handshake of a connection, or refuses the connection if no slot is free.
func (l *Listener) admit(conn net.Conn) {
	select {
	case l.connectionSlots <- struct{}{}:
	default:
		l.refuse(conn, errTooManyConnections)
		return
	}
	counted := &countedConn{Conn: conn, release: func() { <-l.connectionSlots }}
	select {
	case l.handshakeSlots <- struct{}{}:
	default:
		l.refuse(counted, errTooManyHandshakes)
		return
	}
	go func() {
		defer func() { <-l.handshakeSlots }()
		l.handshake(counted)
	}()
}

// handshake authenticates a caller and passes the connection to Accept.
func (l *Listener) handshake(conn net.Conn) {
	secured := tls.Server(conn, l.config)
	_ = conn.SetDeadline(time.Now().Add(handshakeTimeout)) // errors are ignored: on a closed connection, the handshake fails, too
	if err := secured.Handshake(); err != nil {
		l.refuse(conn, err)
		return
	}
	_ = conn.SetDeadline(time.Time{}) // errors are ignored: on a closed connection, the server's reads fail, too
	select {
	case l.ready <- secured:
	case <-time.After(handshakeTimeout):
		l.refuse(conn, errServerBusy)
	case <-l.done:
		_ = conn.Close() // the error is ignored: the connection is not used any more
	}
}

// refuse closes a connection. It logs the reason, but at most once per refusalLogInterval.
func (l *Listener) refuse(conn net.Conn, err error) {
	_ = conn.Close() // the error is ignored: the connection is not used any more
	l.refusalLog.Do(func() { slog.Info("pki: caller refused", "address", conn.RemoteAddr(), "error", err) })
}

// Accept returns the next connection whose caller is authenticated, or net.ErrClosed after Close.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.ready:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the wrapped listener. Accept then returns net.ErrClosed.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// countedConn is a connection that releases its slot when it is closed.
type countedConn struct {
	net.Conn
	once    sync.Once
	release func()
}

// Close closes the connection. The first call releases its slot.
func (c *countedConn) Close() error {
	c.once.Do(c.release)
	return c.Conn.Close()
}
