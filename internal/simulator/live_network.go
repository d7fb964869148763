package simulator

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"curlewspool/internal/protocol"
	"curlewspool/internal/settings"

	"github.com/valyala/fasthttp"
)

// LiveNetwork drives the stand-ins by the real clock and real sockets of the
// loopback, for controllers that are real processes. One goroutine owns all
// state; the others translate between sockets and its queue.
type LiveNetwork struct {
	Log     io.Writer // the trace, if set
	net     *Network
	start   time.Time
	queue   chan func()
	done    chan struct{}
	client  *fasthttp.Client
	mu      sync.Mutex
	servers map[string]*fasthttp.Server
}

// NewLiveNetwork starts the clock of an empty network; Run plays it.
func NewLiveNetwork(seed uint64) (*Network, *LiveNetwork) {
	network := newNetwork(seed)
	live := &LiveNetwork{net: network, start: time.Now(), queue: make(chan func(), 4096), done: make(chan struct{}), servers: map[string]*fasthttp.Server{},
		client: &fasthttp.Client{MaxIdemponentCallAttempts: 1, MaxConnsPerHost: 1 << 14, NoDefaultUserAgentHeader: true, DisablePathNormalizing: true,
			Dial: func(addr string) (net.Conn, error) { return net.DialTimeout("tcp4", addr, time.Second) }}}
	network.live = live
	return network, live
}

// Run plays until ctx ends, then closes all sockets.
func (l *LiveNetwork) Run(ctx context.Context) {
	network := l.net
	timer := time.NewTimer(0)
	for {
		network.now = time.Since(l.start)
		for len(network.queue) > 0 && network.queue[0].at <= network.now {
			heap.Pop(&network.queue).(event).run()
		}
		wait := time.Second
		if len(network.queue) > 0 {
			wait = max(0, network.queue[0].at-time.Since(l.start))
		}
		timer.Reset(wait)
		select {
		case f := <-l.queue:
			network.now = time.Since(l.start)
			f()
		case <-timer.C:
		case <-ctx.Done():
			close(l.done)
			l.mu.Lock()
			for _, s := range l.servers {
				go func() { _ = s.Shutdown() }()
			}
			l.servers = map[string]*fasthttp.Server{}
			l.mu.Unlock()
			return
		}
	}
}

// Do runs f on the owner's goroutine and waits for it; false when Run has
// ended.
func (l *LiveNetwork) Do(f func()) bool {
	ch := make(chan struct{})
	if !l.post(func() { f(); close(ch) }) {
		return false
	}
	select {
	case <-ch:
		return true
	case <-l.done:
		return false
	}
}

func (l *LiveNetwork) post(f func()) bool {
	select {
	case l.queue <- f:
		return true
	case <-l.done:
		return false
	}
}

// maxResponseTime is how long an answer may take: a watch is held for up to a minute.
const maxResponseTime = 70 * time.Second

type response struct {
	status int
	body   []byte
}

// listen serves at a free port of the loopback and gives its address; without
// one the stand-in could not exist, so it panics.
func (l *LiveNetwork) listen(srv requestHandler) string {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		panic(fmt.Sprintf("no free port on the loopback: %v", err))
	}
	return l.serve(ln, func(method, path string, body []byte, answer func(response)) {
		l.post(func() {
			srv(method, path, body, func(status int, b any) {
				r := response{status: status}
				if b != nil {
					r.body = protocol.Encode(b)
				}
				answer(r)
			})
		})
	})
}

func (l *LiveNetwork) serve(ln net.Listener, handle func(method, path string, body []byte, answer func(response))) string {
	s := &fasthttp.Server{NoDefaultServerHeader: true, IdleTimeout: 2 * maxResponseTime, Handler: func(c *fasthttp.RequestCtx) {
		ch := make(chan response, 1)
		handle(string(c.Method()), string(c.Request.RequestURI()), append([]byte(nil), c.PostBody()...), func(r response) {
			select {
			case ch <- r:
			default:
			}
		})
		t := time.NewTimer(maxResponseTime)
		defer t.Stop()
		select {
		case r := <-ch:
			c.Response.Header.SetContentType("application/cbor")
			c.SetStatusCode(r.status)
			c.SetBody(r.body)
		case <-l.done:
			c.SetStatusCode(503)
		case <-t.C:
			c.SetStatusCode(504)
		}
	}}
	addr := ln.Addr().String()
	l.mu.Lock()
	l.servers[addr] = s
	l.mu.Unlock()
	go func() { _ = s.Serve(ln) }()
	return addr
}

func (l *LiveNetwork) unlisten(addr string) {
	l.mu.Lock()
	s := l.servers[addr]
	delete(l.servers, addr)
	l.mu.Unlock()
	if s != nil {
		go func() { _ = s.Shutdown() }()
	}
}

// request makes one request; done runs on the owner's goroutine, with status 0
// when there was no answer.
func (l *LiveNetwork) request(addr, method, path string, body []byte, timeout time.Duration, done func(status int, b []byte)) {
	go func() {
		status, b := l.exchange(addr, method, path, body, timeout)
		l.post(func() { done(status, b) })
	}()
}

func (l *LiveNetwork) exchange(addr, method, path string, body []byte, timeout time.Duration) (int, []byte) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + addr + path)
	req.Header.SetMethod(method)
	if body != nil {
		req.Header.SetContentType("application/cbor")
		req.SetBodyRaw(body)
	}
	if err := l.client.DoTimeout(req, resp, timeout); err != nil {
		return 0, nil
	}
	return resp.StatusCode(), append([]byte(nil), resp.Body()...)
}

// AddCluster puts the surroundings of a cluster there: platform settings of each
// controller, with real addresses, and machines that are up. The controllers
// themselves are processes of their own.
func (l *LiveNetwork) AddCluster(name string, p []settings.Platform, machines int, left int) *Cluster {
	network := l.net
	var cluster *Cluster
	l.Do(func() {
		cluster = network.newCluster(name)
		for i := range p {
			cluster.controllerNames = append(cluster.controllerNames, p[i].Name)
			cluster.Controllers[p[i].Name] = &ControllerProcess{cluster: cluster, name: p[i].Name, settings: &settings.Settings{Platform: p[i], Operators: settings.Defaults()}}
		}
		cluster.Settings = cluster.Controllers[cluster.controllerNames[0]].settings
		cluster.State, cluster.Cloud = newStateService(cluster), newCloud(cluster)
		zones := cluster.Settings.Deployment.Zones
		for i := range cluster.Cloud.Types {
			cluster.Cloud.Types[i].Zones = zones
		}
		for i := 0; i < machines; i++ {
			typ := "small"
			if i%4 == 3 {
				typ = "big"
			}
			cluster.AddMachine(typ, zones[i%len(zones)], false)
		}
		for _, t := range cluster.Cloud.Types {
			for _, zone := range zones {
				cluster.Cloud.Capacity[fmt.Sprintf("%s/%s/false", t.Name, zone)] = left
				cluster.Cloud.Capacity[fmt.Sprintf("%s/%s/true", t.Name, zone)] = left
			}
		}
	})
	return cluster
}

// Violations lists the rules that were seen broken; to be called after Run's end.
func (l *LiveNetwork) Violations() []string { return l.net.Violations }
